import { LRUCache } from "lru-cache";
import type { SampleResult } from "./sample_result.ts";
import { isWhole, type StepEntry, toStepPlace } from "./step_book.ts";
import type { StepTools } from "./step_tools.ts";

const POLL_MILLISECONDS = 120;
const PAUSE_MILLISECONDS = 60;
/** How long an end is tried again; its trainer counts it as acknowledged after 4 s at most. */
const END_PATIENCE_MILLISECONDS = 2500;
const KEPT_STEPS = 64;
/** Bytes of one answer, below the 1 MB that readers take. */
const ANSWER_BYTES = 900_000;

/** What became of reading a step. */
export type StepReading<Value> =
  | { readonly kind: "read"; readonly value: Value }
  /** The store has no such step or sample. */
  | { readonly kind: "absent" }
  /** The store can't be asked. */
  | { readonly kind: "unsure" };

/** A part of a step's list. */
export interface ResultPage {
  /** Samples in the step. */
  readonly total: number;
  readonly results: ReadonlyArray<SampleResult>;
}

/** A caller's view of a step. */
export interface StepQuestion {
  readonly identifier: string;
  /** Organisation of the caller's key; only its steps are shown. */
  readonly organisation: string;
}

/** Reads steps from the store for callers at any node, and ends them. */
export class StepReader {
  readonly #tools: StepTools;
  readonly #lists = new LRUCache<string, SampleResult[]>({ max: KEPT_STEPS });

  /** @param tools - The store. */
  constructor(tools: StepTools) {
    this.#tools = tools;
  }

  /**
   * Reads the results from a position on, waiting for one if there is none.
   * @param question - The step.
   * @param options - Position, and how long to wait.
   */
  async readResults(
    question: StepQuestion,
    options: {
      readonly position: number;
      readonly waitMilliseconds: number;
      readonly signal: AbortSignal;
    },
  ): Promise<StepReading<ResultPage>> {
    const { clock } = this.#tools;
    const found = await this.#find(question);
    if (found.kind !== "read") return found;
    const { manifest } = found.value;
    const until = clock.monotonic() + options.waitMilliseconds;
    for (;;) {
      const results = await this.#readFrom(
        manifest.identifier,
        options.position,
      );
      if (results === undefined) return { kind: "unsure" };
      const isEnough = results.length > 0 ||
        options.position >= manifest.total ||
        clock.monotonic() + POLL_MILLISECONDS > until || options.signal.aborted;
      if (isEnough) {
        const value = { total: manifest.total, results: cut(results) };
        return { kind: "read", value };
      }
      await clock.sleep(POLL_MILLISECONDS, options.signal);
    }
  }

  /** Reads the body of one of a step's samples. */
  async readBody(
    question: StepQuestion,
    sample: string,
  ): Promise<StepReading<Buffer>> {
    const found = await this.#find(question);
    if (found.kind !== "read") return found;
    const { archive, storeHealth } = this.#tools;
    const { manifest } = found.value;
    const isAtHand = archive.peek(manifest.identifier) !== undefined;
    if (!isAtHand && storeHealth.isSilent) return { kind: "unsure" };
    const outcome = await archive.load(manifest);
    if (outcome.kind !== "ok") return { kind: "unsure" };
    const request = outcome.value.samples.find(({ identifier }) =>
      identifier === sample
    );
    return request === undefined
      ? { kind: "absent" }
      : { kind: "read", value: request.body };
  }

  /** Ends a step; what is listed stays listed. */
  async end(question: StepQuestion): Promise<StepReading<undefined>> {
    const { clock, table, book, log, storeHealth } = this.#tools;
    const until = clock.monotonic() + END_PATIENCE_MILLISECONDS;
    while (clock.monotonic() < until && !storeHealth.isSilent) {
      const found = await this.#find(question);
      if (found.kind === "absent") return found;
      if (found.kind === "read") {
        const { identifier } = found.value.manifest;
        if (found.value.isEnded) return { kind: "read", value: undefined };
        const place = toStepPlace(identifier, "end");
        const value = Buffer.from("1");
        const outcome = await table.commit({
          conditions: [],
          puts: [{ ...place, value }],
        });
        if (outcome.kind === "ok" && outcome.value.kind === "committed") {
          const { version } = outcome.value;
          book.noteWritten({ ...place, value, version });
          log.emit("durableStepEnded", { step: identifier });
          return { kind: "read", value: undefined };
        }
      }
      if (storeHealth.isAway) break;
      await clock.sleep(PAUSE_MILLISECONDS);
    }
    return { kind: "unsure" };
  }

  async #find(question: StepQuestion): Promise<StepReading<StepEntry>> {
    const { book, storeHealth } = this.#tools;
    const isUnknown = book.get(question.identifier) === undefined;
    if (isUnknown && storeHealth.isSilent) return { kind: "unsure" };
    const outcome = await book.find(question.identifier);
    if (outcome.kind !== "ok") return { kind: "unsure" };
    const entry = outcome.value;
    if (entry === undefined || !isWhole(entry)) return { kind: "absent" };
    return entry.manifest.organisation === question.organisation
      ? { kind: "read", value: entry }
      : { kind: "absent" };
  }

  // Listed results never change, so those read once are kept.
  async #readFrom(
    step: string,
    position: number,
  ): Promise<ReadonlyArray<SampleResult> | undefined> {
    const list = this.#lists.get(step) ?? [];
    this.#lists.set(step, list);
    if (this.#tools.storeHealth.isSilent) {
      const known = list.slice(position);
      return known.length > 0 ? known : undefined;
    }
    const isRead = await this.#extend(step, { list, position });
    const results = list.slice(position);
    return isRead || results.length > 0 ? results : undefined;
  }

  // The store gives a long list in several answers; only an empty one is its end.
  async #extend(
    step: string,
    { list, position }: { readonly list: SampleResult[]; position: number },
  ): Promise<boolean> {
    for (;;) {
      const start = list.length;
      const outcome = await this.#tools.results.read(step, start);
      if (outcome.kind !== "ok") return false;
      // Another reading may have extended the list meanwhile.
      list.push(...outcome.value.slice(list.length - start));
      if (outcome.value.length === 0 || list.length > position) return true;
    }
  }
}

function cut(
  results: ReadonlyArray<SampleResult>,
): ReadonlyArray<SampleResult> {
  let bytes = 0;
  const count = results.findIndex((result) => {
    bytes += result.kind === "completed" ? result.text.length + 500 : 200;
    return bytes > ANSWER_BYTES;
  });
  return count < 0 ? results : results.slice(0, Math.max(1, count));
}
