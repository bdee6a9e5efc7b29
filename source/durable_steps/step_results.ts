import { ENDED } from "../utilities/ended.ts";
import type { SampleResult } from "./sample_result.ts";
import type { StepManifest } from "./step_manifest.ts";
import type { StepTools } from "./step_tools.ts";

const STORE_RETRY_PAUSE_MILLISECONDS = 100;
/** Time after which results are looked for again without having been added. */
const IDLE_WAIT_MILLISECONDS = 1000;

/** The step whose results are listed, and the dependencies. */
export interface StepResultsOptions {
  readonly tools: Pick<StepTools, "clock" | "log" | "results">;
  readonly manifest: Pick<StepManifest, "identifier" | "total">;
  /** Ends all waits. */
  readonly signal: AbortSignal;
}

/** The results of one step on the node that runs it: which are known, and which are listed. */
export class StepResults {
  readonly #options: StepResultsOptions;
  /** Identifiers of the samples whose results are listed in the store. */
  readonly #listedIdentifiers = new Set<string>();
  /** Results of this run and reused results of earlier steps, also after they were listed. */
  readonly #finishedResults = new Map<string, SampleResult>();
  /** Monotonic time, in milliseconds, at which a result was added that is not listed yet. */
  readonly #addedAt = new Map<string, number>();
  /** Number of listed results that are known, which is the position of the next result. */
  #position = 0;
  #wake = new AbortController();

  /** @param options - The step and the dependencies. */
  constructor(options: StepResultsOptions) {
    this.#options = options;
    options.signal.addEventListener("abort", () => this.#wake.abort(ENDED), {
      once: true,
    });
  }

  /** Number of listed results. */
  get listed(): number {
    return this.#listedIdentifiers.size;
  }

  /** Whether a sample has a result, listed or not. */
  has(identifier: string): boolean {
    return this.isFinished(identifier) || this.isListed(identifier);
  }

  /** Whether this run has or reuses a result of a sample. */
  isFinished(identifier: string): boolean {
    return this.#finishedResults.has(identifier);
  }

  /** Whether the result of a sample is listed in the store. */
  isListed(identifier: string): boolean {
    return this.#listedIdentifiers.has(identifier);
  }

  /** Adds a result to be listed; has no effect if the sample has one. */
  add(result: SampleResult): void {
    if (this.isFinished(result.identifier)) return;
    this.#finishedResults.set(result.identifier, result);
    const now = this.#options.tools.clock.monotonic();
    this.#addedAt.set(result.identifier, now);
    this.#wake.abort(ENDED);
  }

  /** Reads the results that were listed after the last known position, until the store answers. */
  async readListed(): Promise<void> {
    const { tools, manifest, signal } = this.#options;
    while (!signal.aborted) {
      const outcome = await tools.results.readAll(
        manifest.identifier,
        this.#position,
      );
      if (outcome.kind === "ok") {
        for (const { identifier } of outcome.value) this.#setListed(identifier);
        this.#position += outcome.value.length;
        return;
      }
      await tools.clock.sleep(STORE_RETRY_PAUSE_MILLISECONDS, signal);
    }
  }

  /** Lists each added result, until all samples of the step have a listed result. */
  async list(): Promise<void> {
    const { tools, manifest, signal } = this.#options;
    while (!signal.aborted && this.listed < manifest.total) {
      const results = [...this.#finishedResults.values()].filter((result) =>
        !this.isListed(result.identifier)
      );
      if (results.length === 0) {
        await this.#waitForResult();
        continue;
      }
      const outcome = await tools.results.append(manifest.identifier, {
        position: this.#position,
        results,
      });
      if (outcome.kind === "ok" && outcome.value.kind === "appended") {
        this.#recordAppended(results.slice(0, outcome.value.count));
        continue;
      }
      if (outcome.kind !== "ok") {
        await tools.clock.sleep(STORE_RETRY_PAUSE_MILLISECONDS, signal);
      }
      await this.readListed();
    }
  }

  async #waitForResult(): Promise<void> {
    this.#wake = new AbortController();
    const { clock } = this.#options.tools;
    await clock.sleep(IDLE_WAIT_MILLISECONDS, this.#wake.signal);
  }

  #recordAppended(results: ReadonlyArray<SampleResult>): void {
    const { tools, manifest } = this.#options;
    const now = tools.clock.monotonic();
    const waits = results.map(({ identifier }) =>
      now - (this.#addedAt.get(identifier) ?? now)
    );
    for (const { identifier } of results) this.#setListed(identifier);
    this.#position += results.length;
    tools.log.emit("resultsListed", {
      step: manifest.identifier,
      samples: results.map(({ identifier }) => identifier).join(" "),
      milliseconds: Math.round(Math.max(0, ...waits)),
    });
  }

  #setListed(identifier: string): void {
    this.#listedIdentifiers.add(identifier);
    this.#addedAt.delete(identifier);
  }
}
