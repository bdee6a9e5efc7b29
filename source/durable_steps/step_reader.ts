import { LRUCache } from "lru-cache";
import type { SampleResult } from "./sample_result.ts";
import {
  hasManifest,
  type StepEntry,
  toStepRowPlace,
} from "./step_registry.ts";
import type { StepTools } from "./step_tools.ts";

const POLL_INTERVAL_MILLISECONDS = 120;
const RETRY_PAUSE_MILLISECONDS = 60;
/** Time for which ending a step is retried; a trainer waits 4 s at most for the acknowledgement. */
const END_RETRY_LIMIT_MILLISECONDS = 2500;
const MAXIMUM_CACHED_STEPS = 64;
/** Maximum estimated size of one response, in bytes; below the 1 MB that clients accept. */
const MAXIMUM_RESPONSE_BYTES = 900_000;

/** The result of reading a step. */
export type StepReadOutcome<Value> =
  | { readonly kind: "read"; readonly value: Value }
  /** The client's organisation has no such step or sample. */
  | { readonly kind: "absent" }
  /** The store did not answer, so the state of the step or sample is unknown. */
  | { readonly kind: "unavailable" };

/** Consecutive results of a step. */
export interface ResultPage {
  /** Number of samples in the step. */
  readonly total: number;
  readonly results: ReadonlyArray<SampleResult>;
}

/** A client's query for a step. */
export interface StepQuery {
  readonly identifier: string;
  /** Organisation of the client's key; steps of other organisations are reported as absent. */
  readonly organisation: string;
}

/** Reads and ends stored steps for clients, whichever node runs the steps. */
export class StepReader {
  readonly #tools: StepTools;
  /** Listed results that this node has read, by step identifier. */
  readonly #lists = new LRUCache<string, SampleResult[]>({
    max: MAXIMUM_CACHED_STEPS,
  });

  /** @param tools - The store and the other dependencies. */
  constructor(tools: StepTools) {
    this.#tools = tools;
  }

  /**
   * Reads the results from a position on, and waits for the first one if there is none yet.
   * @param query - The step and the client's organisation.
   * @param options - The position, the longest wait and a signal that ends the wait.
   */
  async readResults(
    query: StepQuery,
    options: {
      readonly position: number;
      readonly waitMilliseconds: number;
      readonly signal: AbortSignal;
    },
  ): Promise<StepReadOutcome<ResultPage>> {
    const { clock } = this.#tools;
    const found = await this.#findStep(query);
    if (found.kind !== "read") return found;
    const { manifest } = found.value;
    const until = clock.monotonic() + options.waitMilliseconds;
    for (;;) {
      const results = await this.#readFrom(
        manifest.identifier,
        options.position,
      );
      if (results === undefined) return { kind: "unavailable" };
      const isEnough = results.length > 0 ||
        options.position >= manifest.total ||
        clock.monotonic() + POLL_INTERVAL_MILLISECONDS > until ||
        options.signal.aborted;
      if (isEnough) {
        const value = { total: manifest.total, results: limitSize(results) };
        return { kind: "read", value };
      }
      await clock.sleep(POLL_INTERVAL_MILLISECONDS, options.signal);
    }
  }

  /** Reads the request body of one of a step's samples. */
  async readBody(
    query: StepQuery,
    sample: string,
  ): Promise<StepReadOutcome<Buffer>> {
    const found = await this.#findStep(query);
    if (found.kind !== "read") return found;
    const { submissionStore: submissions, storeHealth } = this.#tools;
    const { manifest } = found.value;
    const isCached = submissions.getCached(manifest.identifier) !== undefined;
    if (!isCached && storeHealth.isHanging) return { kind: "unavailable" };
    const outcome = await submissions.load(manifest);
    if (outcome.kind !== "ok") return { kind: "unavailable" };
    const request = outcome.value.samples.find(({ identifier }) =>
      identifier === sample
    );
    return request === undefined
      ? { kind: "absent" }
      : { kind: "read", value: request.body };
  }

  /** Ends a step; its listed results remain readable. */
  async end(query: StepQuery): Promise<StepReadOutcome<undefined>> {
    const { clock, table, stepRegistry: registry, log, storeHealth } =
      this.#tools;
    const until = clock.monotonic() + END_RETRY_LIMIT_MILLISECONDS;
    while (clock.monotonic() < until && !storeHealth.isHanging) {
      const found = await this.#findStep(query);
      if (found.kind === "absent") return found;
      if (found.kind === "read") {
        const { identifier } = found.value.manifest;
        if (found.value.isEnded) return { kind: "read", value: undefined };
        const place = toStepRowPlace(identifier, "end");
        const value = Buffer.from("1");
        const outcome = await table.commit({
          conditions: [],
          puts: [{ ...place, value }],
        });
        if (outcome.kind === "ok" && outcome.value.kind === "committed") {
          const { version } = outcome.value;
          registry.applyWrittenRow({ ...place, value, version });
          log.emit("durableStepEnded", { step: identifier });
          return { kind: "read", value: undefined };
        }
      }
      if (storeHealth.isUnreachable) break;
      await clock.sleep(RETRY_PAUSE_MILLISECONDS);
    }
    return { kind: "unavailable" };
  }

  async #findStep(query: StepQuery): Promise<StepReadOutcome<StepEntry>> {
    const { stepRegistry: registry, storeHealth } = this.#tools;
    const isUnknown = registry.get(query.identifier) === undefined;
    if (isUnknown && storeHealth.isHanging) return { kind: "unavailable" };
    const outcome = await registry.find(query.identifier);
    if (outcome.kind !== "ok") return { kind: "unavailable" };
    const entry = outcome.value;
    if (entry === undefined || !hasManifest(entry)) return { kind: "absent" };
    return entry.manifest.organisation === query.organisation
      ? { kind: "read", value: entry }
      : { kind: "absent" };
  }

  // Caches the results that were read, because listed results never change.
  async #readFrom(
    step: string,
    position: number,
  ): Promise<ReadonlyArray<SampleResult> | undefined> {
    const list = this.#lists.get(step) ?? [];
    this.#lists.set(step, list);
    if (this.#tools.storeHealth.isHanging) {
      const known = list.slice(position);
      return known.length > 0 ? known : undefined;
    }
    const isRead = await this.#extendList(step, { list, position });
    const results = list.slice(position);
    return isRead || results.length > 0 ? results : undefined;
  }

  // Reads results into the cached list until it extends beyond the position. The store returns a
  // long list in several responses, and only an empty response marks its end.
  async #extendList(
    step: string,
    { list, position }: { readonly list: SampleResult[]; position: number },
  ): Promise<boolean> {
    for (;;) {
      const start = list.length;
      const outcome = await this.#tools.results.read(step, start);
      if (outcome.kind !== "ok") return false;
      // A concurrent read may have extended the list in the meantime.
      list.push(...outcome.value.slice(list.length - start));
      if (outcome.value.length === 0 || list.length > position) return true;
    }
  }
}

function limitSize(
  results: ReadonlyArray<SampleResult>,
): ReadonlyArray<SampleResult> {
  let bytes = 0;
  const count = results.findIndex((result) => {
    bytes += result.kind === "completed" ? result.text.length + 500 : 200;
    return bytes > MAXIMUM_RESPONSE_BYTES;
  });
  return count < 0 ? results : results.slice(0, Math.max(1, count));
}
