import type { AddressBook } from "./address_book.ts";
import { call, type CallOptions, type CallOutcome } from "./call.ts";

const RETRY_MILLISECONDS = 200;
const PULL_WAIT_MILLISECONDS = 1000;
const PULL_MAXIMUM = 16;
const CONFIRM_TIMEOUT_MILLISECONDS = 2000;

/** Prompts of a step, each with its samples. */
export interface StepGroup {
  readonly prompt: string;
  readonly samples: number;
  readonly maximumTokens: number;
}

/** A sample as a trainer gets it. */
export interface ReceivedSample {
  readonly index: number;
  readonly group: number;
  readonly text: string;
  readonly finishReason: string;
  readonly stretches: ReadonlyArray<
    { readonly weightVersion: number; readonly tokens: number }
  >;
  /** Newest version that the trainer had published when it sent the pull that this answers. */
  readonly publishedBeforePull: number;
  /** Time from the submission in milliseconds. */
  readonly receivedAfter: number;
}

/** How a step ended for the trainer. */
export interface StepResult {
  readonly samples: ReadonlyArray<ReceivedSample>;
  readonly isWhole: boolean;
  readonly milliseconds: number;
  /** Refusals and lost answers on the way, by kind. */
  readonly troubles: Readonly<Record<string, number>>;
}

/** Who the trainer is. */
export interface TrainerClientOptions {
  readonly trainer: string;
  readonly key: string;
  readonly addresses: AddressBook;
}

interface PullBody {
  readonly samples: ReadonlyArray<
    Omit<ReceivedSample, "publishedBeforePull" | "receivedAfter">
  >;
  readonly cursor: string;
  readonly isWhole: boolean;
}

/**
 * A trainer as the service sees it: publishes versions, submits steps, pulls samples.
 * @example
 * ```ts
 * await trainer.publish(1);
 * const result = await trainer.runStep("step-1", groups, 60_000);
 * ```
 */
export class TrainerClient {
  readonly #options: TrainerClientOptions;
  readonly #path: string;
  #newestVersion = 0;

  /** @param options - Who the trainer is. */
  constructor(options: TrainerClientOptions) {
    this.#options = options;
    this.#path = `/v1/trainers/${options.trainer}`;
  }

  /** Newest version whose publication was answered. */
  get newestVersion(): number {
    return this.#newestVersion;
  }

  /**
   * Publishes a version; repeats until it is answered or the time is up.
   * @param version - The version.
   * @param limitMilliseconds - Time for all tries.
   */
  async publish(version: number, limitMilliseconds = 30_000): Promise<boolean> {
    const outcome = await this.#repeat({
      method: "POST",
      path: `${this.#path}/weights`,
      body: { version, location: `weights/version-${version}` },
    }, { endsAt: performance.now() + limitMilliseconds, troubles: new Map() });
    if (outcome?.kind !== "answer" || outcome.status !== 200) return false;
    this.#newestVersion = Math.max(this.#newestVersion, version);
    return true;
  }

  /**
   * Submits a step and pulls until it is whole or the time is up.
   * @param step - The step's name.
   * @param groups - Its prompts.
   * @param limitMilliseconds - Time for the whole step.
   */
  async runStep(
    step: string,
    groups: ReadonlyArray<StepGroup>,
    limitMilliseconds: number,
  ): Promise<StepResult> {
    const startedAt = performance.now();
    const troubles = new Map<string, number>();
    const limits = { endsAt: startedAt + limitMilliseconds, troubles };
    const samples: ReceivedSample[] = [];
    let isWhole = false;
    const submitted = await this.#repeat({
      method: "POST",
      path: `${this.#path}/steps`,
      body: { step, groups },
    }, limits);
    let cursor = readCursor(submitted);
    while (cursor !== undefined && !isWhole) {
      const publishedBeforePull = this.#newestVersion;
      const outcome = await this.#repeat({
        method: "GET",
        path: this.#pullPath(step, cursor, publishedBeforePull),
      }, limits);
      if (outcome?.kind !== "answer" || outcome.status !== 200) break;
      const body = JSON.parse(outcome.text) as PullBody;
      const receivedAfter = performance.now() - startedAt;
      for (const sample of body.samples) {
        samples.push({ ...sample, publishedBeforePull, receivedAfter });
      }
      cursor = body.cursor;
      isWhole = body.isWhole;
    }
    if (isWhole && cursor !== undefined) await this.#confirmWhole(step, cursor);
    return {
      samples,
      isWhole,
      milliseconds: performance.now() - startedAt,
      troubles: Object.fromEntries(troubles),
    };
  }

  // A pull that holds every sample lets the nodes forget the step.
  async #confirmWhole(step: string, cursor: string): Promise<void> {
    const { addresses, key } = this.#options;
    await call({
      address: await addresses.choose(),
      method: "GET",
      path: this.#pullPath(step, cursor, this.#newestVersion),
      key,
      timeoutMilliseconds: CONFIRM_TIMEOUT_MILLISECONDS,
    });
  }

  #pullPath(step: string, cursor: string, newestVersion: number): string {
    const query = new URLSearchParams({
      cursor,
      maximum: String(PULL_MAXIMUM),
      wait_milliseconds: String(PULL_WAIT_MILLISECONDS),
    });
    if (newestVersion > 0) query.set("newest_version", String(newestVersion));
    return `${this.#path}/steps/${step}/samples?${query}`;
  }

  async #repeat(
    wanted: Pick<CallOptions, "method" | "path" | "body">,
    limits: {
      readonly endsAt: number;
      readonly troubles: Map<string, number>;
    },
  ): Promise<CallOutcome | undefined> {
    const { addresses, key } = this.#options;
    let outcome: CallOutcome | undefined;
    while (performance.now() < limits.endsAt) {
      const address = await addresses.choose();
      outcome = await call({
        ...wanted,
        address,
        key,
        timeoutMilliseconds: 4 * PULL_WAIT_MILLISECONDS,
      });
      const trouble = findTrouble(outcome);
      if (trouble === undefined) return outcome;
      limits.troubles.set(trouble, (limits.troubles.get(trouble) ?? 0) + 1);
      addresses.avoid(address);
      await new Promise((resolve) => setTimeout(resolve, RETRY_MILLISECONDS));
    }
    return outcome;
  }
}

function findTrouble(outcome: CallOutcome): string | undefined {
  if (outcome.kind === "lost") return "lost";
  if (outcome.status < 500 && outcome.status !== 429) return undefined;
  try {
    return String((JSON.parse(outcome.text) as { error: unknown }).error);
  } catch {
    return `status ${outcome.status}`;
  }
}

function readCursor(outcome: CallOutcome | undefined): string | undefined {
  if (outcome?.kind !== "answer" || outcome.status !== 200) return undefined;
  return (JSON.parse(outcome.text) as { readonly cursor: string }).cursor;
}
