import { setMaxListeners } from "node:events";
import type { LRUCache } from "lru-cache";
import { findRoute, type ServiceRoute } from "../installation/configuration.ts";
import { findEarlierSteps } from "./find_earlier_steps.ts";
import { noteFinishedSample, noteUnfinishedSample } from "./note_samples.ts";
import { type ReadSignature, scoreSample } from "./sample_scoring.ts";
import type { SampleResult } from "./sample_result.ts";
import { type SampleText, SampleTextRun } from "./sample_text_run.ts";
import type { StepManifest } from "./step_manifest.ts";
import type { SampleRequest, StepSubmission } from "./step_submission.ts";
import type { StepTools } from "./step_tools.ts";
import { ENDED } from "../utilities/ended.ts";

/** What a lost node made since the last saving is made again. */
const SAVE_INTERVAL_MILLISECONDS = 1000;
const STORE_PAUSE_MILLISECONDS = 100;
/** Listings of results that end closer together share a transaction. */
const APPEND_PAUSE_MILLISECONDS = 25;
/** Share of a step's samples, the longest, that engines take before others. */
const LONG_SHARE = 0.25;
/** Clocks of two nodes differ by less: nothing is given up too soon. */
const CLOCK_MARGIN_MILLISECONDS = 2500;
/** Keeps a step's ranks apart from those of the next one. */
const RANKS_PER_STEP = 100_000;

/** How one node runs one step. */
export interface StepRunOptions {
  readonly tools: StepTools;
  readonly manifest: StepManifest;
  /** Identity of this process. */
  readonly nodeStart: string;
  /** Whether no other process has run the step. */
  readonly isFirstOwner: boolean;
  readonly readSignature: ReadSignature;
  /** Texts begun at this node, by model and sample. */
  readonly texts: LRUCache<string, SampleText>;
}

/**
 * Runs the samples of a step that are not listed yet, and lists each result as it is whole.
 */
export class StepRun {
  readonly #options: StepRunOptions;
  readonly #stop = new AbortController();
  readonly #listed = new Set<string>();
  readonly #finished: SampleResult[] = [];
  readonly #underWay = new Map<string, SampleText>();
  #position = 0;
  #startedAt = 0;
  #wake = new AbortController();

  /** @param options - The step and what it is run with. */
  constructor(options: StepRunOptions) {
    this.#options = options;
    // Each sample listens for the end of the run.
    setMaxListeners(0, this.#stop.signal);
  }

  /** Ends the run; what is listed stays. */
  stop(): void {
    this.#stop.abort(ENDED);
    this.#wake.abort(ENDED);
  }

  /** Whether the run was ended. */
  get isStopped(): boolean {
    return this.#stop.signal.aborted;
  }

  /** Runs until all samples are listed or the run is ended. */
  async run(): Promise<void> {
    const { tools, manifest } = this.#options;
    const submission = await this.#load();
    if (submission === undefined) return;
    await this.#takeWhatWasMade(submission);
    const open = submission.samples.filter(({ identifier }) =>
      !this.#listed.has(identifier) && !this.#isFinished(identifier)
    ).sort(compareLength);
    tools.log.emit("durableStepRunStarted", {
      step: manifest.identifier,
      model: manifest.model,
      number: manifest.step,
      samples: open.length,
      listed: this.#listed.size,
    });
    this.#startedAt = tools.clock.monotonic();
    const runs = open.map((sample, index) =>
      this.#runSample(sample, {
        submission,
        index,
        isLong: index < LONG_SHARE * open.length,
      })
    );
    const saving = this.#keepSaving();
    await this.#listFinished(manifest.total);
    this.stop();
    await saving;
    await Promise.all(runs);
  }

  // The first owner of a step whose samples are all new has nothing to read.
  async #takeWhatWasMade(submission: StepSubmission): Promise<void> {
    const { manifest, isFirstOwner } = this.#options;
    const earlier = findEarlierSteps(this.#options.tools, {
      manifest,
      submission,
    });
    const steps = isFirstOwner ? earlier : [manifest, ...earlier];
    await Promise.all([
      isFirstOwner ? undefined : this.#catchUp(),
      ...steps.map((step) => this.#takeSavedTexts(step, submission)),
    ]);
    for (const step of earlier) await this.#takeResults(step, submission);
  }

  /** Saves all texts that are under way. */
  async saveTexts(): Promise<void> {
    const { tools, manifest } = this.#options;
    await tools.progress.save(manifest.identifier, this.#underWay, {
      leastNewEvents: 1,
    });
  }

  async #keepSaving(): Promise<void> {
    const { tools, manifest } = this.#options;
    while (!this.isStopped) {
      await tools.clock.sleep(SAVE_INTERVAL_MILLISECONDS, this.#stop.signal);
      if (this.isStopped) return;
      await tools.progress.save(manifest.identifier, this.#underWay);
    }
  }

  // What another node made of the samples goes on here.
  async #takeSavedTexts(
    { identifier, owner }: StepManifest,
    submission: StepSubmission,
  ): Promise<void> {
    const { tools, nodeStart, texts } = this.#options;
    if (owner === nodeStart) return;
    const wanted = new Set(submission.samples.map((each) => each.identifier));
    for (const [sample, text] of await tools.progress.load(identifier)) {
      const key = this.#toTextKey(sample);
      const known = texts.get(key)?.parts.length ?? 0;
      if (wanted.has(sample) && text.parts.length > known) texts.set(key, text);
    }
  }

  #toTextKey(sample: string): string {
    return `${this.#options.manifest.model}/${sample}`;
  }

  #isFinished(identifier: string): boolean {
    return this.#finished.some((result) => result.identifier === identifier);
  }

  async #load(): Promise<StepSubmission | undefined> {
    const { tools, manifest } = this.#options;
    while (!this.isStopped) {
      const outcome = await tools.archive.load(manifest);
      if (outcome.kind === "ok") return outcome.value;
      await this.#sleep(STORE_PAUSE_MILLISECONDS);
    }
    return undefined;
  }

  // Reads what is listed beyond the known positions.
  async #catchUp(): Promise<void> {
    const { tools, manifest } = this.#options;
    while (!this.isStopped) {
      const outcome = await tools.results.readAll(
        manifest.identifier,
        this.#position,
      );
      if (outcome.kind === "ok") {
        for (const { identifier } of outcome.value) {
          this.#listed.add(identifier);
        }
        this.#position += outcome.value.length;
        return;
      }
      await this.#sleep(STORE_PAUSE_MILLISECONDS);
    }
  }

  // A sample that came back from an earlier step may have been listed there.
  async #takeResults(
    earlier: StepManifest,
    submission: StepSubmission,
  ): Promise<void> {
    const { tools } = this.#options;
    const wanted = new Set(submission.samples.map((each) => each.identifier));
    const outcome = await tools.results.readAll(earlier.identifier, 0);
    if (this.isStopped || outcome.kind !== "ok") return;
    for (const result of outcome.value) {
      const { identifier } = result;
      if (!wanted.has(identifier) || this.#listed.has(identifier)) continue;
      if (this.#isFinished(identifier)) continue;
      if (this.#fits(result, submission)) this.#finished.push(result);
    }
  }

  #fits(result: SampleResult, submission: StepSubmission): boolean {
    if (result.kind !== "completed") return false;
    const { weightVersions } = result;
    if (this.#route()?.isSingleVersion && weightVersions.length > 1) {
      return false;
    }
    return weightVersions.every((version) =>
      version >= submission.minimumVersion
    );
  }

  async #runSample(
    sample: SampleRequest,
    place: {
      readonly submission: StepSubmission;
      readonly index: number;
      readonly isLong: boolean;
    },
  ): Promise<void> {
    const { tools, manifest, readSignature } = this.#options;
    const { identifier } = sample;
    const life = this.#startLife();
    const { signal } = life;
    const key = this.#toTextKey(identifier);
    const text = this.#takeText(key, place.submission);
    this.#underWay.set(identifier, text);
    const run = new SampleTextRun({
      ...tools,
      sample,
      text,
      host: manifest.host,
      organisation: manifest.organisation,
      model: manifest.model,
      minimumVersion: place.submission.minimumVersion,
      rank: manifest.step * RANKS_PER_STEP + place.index,
      isLong: place.isLong,
      route: () => this.#route(),
      leftMilliseconds: () => this.#leftMilliseconds(),
      signal,
    });
    const outcome = await run.run();
    const madeAt = tools.clock.monotonic();
    if (outcome.kind === "failed") {
      this.#finish({ kind: "terminated", identifier }, outcome.reason);
    } else if (outcome.kind === "whole") {
      const scoring = sample.scoring === undefined
        ? undefined
        : await scoreSample(tools, {
          scoring: sample.scoring,
          readSignature,
          signal,
        });
      if (scoring?.kind === "failed") {
        this.#finish({ kind: "terminated", identifier }, "scoring failed");
      } else if (scoring?.kind !== "cancelled") {
        this.#options.texts.delete(key);
        this.#finish({
          kind: "completed",
          identifier,
          text: text.parts.join("\n"),
          weightVersions: text.versions,
          ...(scoring === undefined ? {} : { score: scoring.score }),
        }, "whole");
        noteFinishedSample(tools, {
          step: manifest.identifier,
          sample: identifier,
          run,
          text,
          stepStartedAt: this.#startedAt,
          madeAt,
        });
      }
    }
    life.end();
    this.#underWay.delete(identifier);
    if (this.isStopped && !this.#isFinished(identifier)) {
      noteUnfinishedSample(tools, {
        step: manifest.identifier,
        sample: identifier,
        run,
        text,
      });
    }
    if (!this.isStopped && signal.aborted && !this.#isFinished(identifier)) {
      this.#finish({ kind: "terminated", identifier }, "its time is over");
    }
  }

  // Ends with the run, and when the sample may be given up.
  #startLife(): { readonly signal: AbortSignal; readonly end: () => void } {
    const controller = new AbortController();
    const { signal } = this.#stop;
    const onStop = (): void => controller.abort(ENDED);
    signal.addEventListener("abort", onStop, { once: true });
    if (signal.aborted) controller.abort(ENDED);
    const timer = setTimeout(
      () => controller.abort(ENDED),
      Math.max(0, this.#leftMilliseconds()),
    );
    const end = (): void => {
      clearTimeout(timer);
      signal.removeEventListener("abort", onStop);
    };
    return { signal: controller.signal, end };
  }

  // A text begun earlier goes on if its versions may be used in this step.
  #takeText(key: string, submission: StepSubmission): SampleText {
    const kept = this.#options.texts.get(key);
    const isUsable = kept !== undefined &&
      kept.versions.every((version) => version >= submission.minimumVersion) &&
      !(this.#route()?.isSingleVersion && kept.versions.length > 1);
    if (kept !== undefined && isUsable) return kept;
    const text: SampleText = {
      parts: [],
      versions: [],
      lastEvent: undefined,
      isWhole: false,
    };
    this.#options.texts.set(key, text);
    return text;
  }

  #finish(result: SampleResult, reason: string): void {
    const { tools, manifest } = this.#options;
    if (this.isStopped || this.#isFinished(result.identifier)) return;
    if (result.kind === "terminated") {
      tools.log.emit("sampleTerminated", {
        step: manifest.identifier,
        sample: result.identifier,
        reason,
      });
    }
    this.#finished.push(result);
    this.#wake.abort(ENDED);
  }

  async #listFinished(total: number): Promise<void> {
    const { tools, manifest } = this.#options;
    while (!this.isStopped && this.#listed.size < total) {
      const results = this.#finished.filter(({ identifier }) =>
        !this.#listed.has(identifier)
      );
      if (results.length === 0) {
        this.#wake = new AbortController();
        await this.#sleep(1000);
        await this.#sleep(APPEND_PAUSE_MILLISECONDS);
        continue;
      }
      const outcome = await tools.results.append(manifest.identifier, {
        position: this.#position,
        results,
      });
      if (outcome.kind === "ok" && outcome.value.kind === "appended") {
        const { count } = outcome.value;
        for (const { identifier } of results.slice(0, count)) {
          this.#listed.add(identifier);
        }
        this.#position += count;
        continue;
      }
      if (outcome.kind !== "ok") await this.#sleep(STORE_PAUSE_MILLISECONDS);
      await this.#catchUp();
    }
  }

  #route(): ServiceRoute | undefined {
    const { tools, manifest } = this.#options;
    const configuration = tools.configuration();
    return configuration === undefined
      ? undefined
      : findRoute(configuration, manifest.host, manifest.path);
  }

  #leftMilliseconds(): number {
    const { tools, manifest } = this.#options;
    const life = this.#route()?.sampleLifeMilliseconds ?? Infinity;
    const left = manifest.submittedAt + life + CLOCK_MARGIN_MILLISECONDS -
      tools.clock.wall();
    return Math.min(left, 0x7fff_ffff);
  }

  #sleep(milliseconds: number): Promise<void> {
    return this.#options.tools.clock.sleep(milliseconds, this.#wake.signal);
  }
}

// The longest text decides when its group is whole, so it starts first.
function compareLength(left: SampleRequest, right: SampleRequest): number {
  return (right.expectedTokens ?? 0) - (left.expectedTokens ?? 0);
}
