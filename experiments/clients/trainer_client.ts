import type { AddressBook } from "./address_book.ts";
import { call, type CallOptions, type CallOutcome } from "./call.ts";

const RETRY_MILLISECONDS = 200;
const PULL_WAIT_MILLISECONDS = 1000;
const MAXIMUM_PULLED_SAMPLES = 16;
const CONFIRM_TIMEOUT_MILLISECONDS = 2000;

/** Prompt of a step, and how many samples to generate for it. */
export interface StepGroup {
  readonly prompt: string;
  readonly samples: number;
  readonly maximumTokens: number;
}

/** Sample as the trainer receives it. */
export interface ReceivedSample {
  readonly index: number;
  readonly group: number;
  readonly text: string;
  readonly finishReason: string;
  readonly stretches: ReadonlyArray<
    { readonly weightVersion: number; readonly tokens: number }
  >;
  /** Newest version that the trainer had published when it sent the pull for the sample. */
  readonly publishedBeforePull: number;
  /** Time from the submission of the step, in milliseconds. */
  readonly receivedAfter: number;
}

/** Result of a step for the trainer. */
export interface StepResult {
  readonly samples: ReadonlyArray<ReceivedSample>;
  readonly isWhole: boolean;
  readonly milliseconds: number;
  /** Numbers of refusals and lost responses, by kind. */
  readonly failures: Readonly<Record<string, number>>;
}

/** Identity of the trainer, and the nodes to call. */
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
 * Client of a trainer: publishes versions, submits steps and pulls samples.
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

  /** @param options - Identity of the trainer, and the nodes to call. */
  constructor(options: TrainerClientOptions) {
    this.#options = options;
    this.#path = `/v1/trainers/${options.trainer}`;
  }

  /** Newest version whose publication was confirmed. */
  get newestVersion(): number {
    return this.#newestVersion;
  }

  /**
   * Publishes a version, retries until a node responds or the time limit is reached, and returns
   * whether a node confirmed the publication.
   * @param version - Version to publish.
   * @param limitMilliseconds - Time limit for all attempts, in milliseconds.
   */
  async publish(version: number, limitMilliseconds = 30_000): Promise<boolean> {
    const outcome = await this.#retry({
      method: "POST",
      path: `${this.#path}/weights`,
      body: { version, location: `weights/version-${version}` },
    }, { endsAt: performance.now() + limitMilliseconds, failures: new Map() });
    if (outcome?.kind !== "answer" || outcome.status !== 200) return false;
    this.#newestVersion = Math.max(this.#newestVersion, version);
    return true;
  }

  /**
   * Submits a step and pulls samples until it is complete or the time limit is reached.
   * @param step - Name of the step.
   * @param groups - Prompts of the step.
   * @param limitMilliseconds - Time limit for the step, in milliseconds.
   */
  async runStep(
    step: string,
    groups: ReadonlyArray<StepGroup>,
    limitMilliseconds: number,
  ): Promise<StepResult> {
    const startedAt = performance.now();
    const failures = new Map<string, number>();
    const limits = { endsAt: startedAt + limitMilliseconds, failures };
    const samples: ReceivedSample[] = [];
    let isWhole = false;
    const submitted = await this.#retry({
      method: "POST",
      path: `${this.#path}/steps`,
      body: { step, groups },
    }, limits);
    let cursor = readCursor(submitted);
    while (cursor !== undefined && !isWhole) {
      const publishedBeforePull = this.#newestVersion;
      const outcome = await this.#retry({
        method: "GET",
        path: this.#createPullPath(step, cursor, publishedBeforePull),
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
    if (isWhole && cursor !== undefined) {
      await this.#confirmComplete(step, cursor);
    }
    return {
      samples,
      isWhole,
      milliseconds: performance.now() - startedAt,
      failures: Object.fromEntries(failures),
    };
  }

  // Pulls once more with the final cursor, which confirms that the trainer has every sample, so
  // that the nodes can delete the step.
  async #confirmComplete(step: string, cursor: string): Promise<void> {
    const { addresses, key } = this.#options;
    await call({
      address: await addresses.choose(),
      method: "GET",
      path: this.#createPullPath(step, cursor, this.#newestVersion),
      key,
      timeoutMilliseconds: CONFIRM_TIMEOUT_MILLISECONDS,
    });
  }

  #createPullPath(step: string, cursor: string, newestVersion: number): string {
    const query = new URLSearchParams({
      cursor,
      maximum: String(MAXIMUM_PULLED_SAMPLES),
      wait_milliseconds: String(PULL_WAIT_MILLISECONDS),
    });
    if (newestVersion > 0) query.set("newest_version", String(newestVersion));
    return `${this.#path}/steps/${step}/samples?${query}`;
  }

  async #retry(
    request: Pick<CallOptions, "method" | "path" | "body">,
    limits: {
      readonly endsAt: number;
      readonly failures: Map<string, number>;
    },
  ): Promise<CallOutcome | undefined> {
    const { addresses, key } = this.#options;
    let outcome: CallOutcome | undefined;
    while (performance.now() < limits.endsAt) {
      const address = await addresses.choose();
      outcome = await call({
        ...request,
        address,
        key,
        timeoutMilliseconds: 4 * PULL_WAIT_MILLISECONDS,
      });
      const failure = findFailure(outcome);
      if (failure === undefined) return outcome;
      limits.failures.set(failure, (limits.failures.get(failure) ?? 0) + 1);
      addresses.avoid(address);
      await new Promise((resolve) => setTimeout(resolve, RETRY_MILLISECONDS));
    }
    return outcome;
  }
}

function findFailure(outcome: CallOutcome): string | undefined {
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
