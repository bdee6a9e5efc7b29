import { setMaxListeners } from "node:events";
import {
  mayUseVersions,
  type WeightVersionBound,
} from "../decisions/weight_version_bound.ts";
import { findRoute, type ServiceRoute } from "../installation/configuration.ts";
import { type EarlierTexts, loadEarlierWork } from "./load_earlier_work.ts";
import { findSpareGroups } from "./find_spare_groups.ts";
import { logFinishedSample, logUnfinishedSample } from "./log_samples.ts";
import { type ReadSignature, scoreSample } from "./sample_scoring.ts";
import {
  createSampleLifetime,
  type SampleLifetime,
} from "./sample_lifetime.ts";
import { SampleGeneration } from "./sample_generation.ts";
import type { SampleText } from "./sample_text.ts";
import type { SampleTexts } from "./sample_texts.ts";
import type { StepManifest } from "./step_manifest.ts";
import { StepResults } from "./step_results.ts";
import type { SampleRequest, StepSubmission } from "./step_submission.ts";
import type { StepTools } from "./step_tools.ts";
import { ENDED } from "../utilities/ended.ts";

/** Interval between saves; text generated since the last save is lost with its node. */
const SAVE_INTERVAL_MILLISECONDS = 400;
const STORE_RETRY_PAUSE_MILLISECONDS = 100;
/** Share of a step's samples, the longest ones, that engines are asked to run first. */
const LONG_SAMPLE_SHARE = 0.25;
/**
 * Time added to a sample's lifetime, longer than the clock difference of two nodes, so that no
 * sample is terminated too early.
 */
const CLOCK_MARGIN_MILLISECONDS = 2500;
/** Longest time that a timer takes. */
const MAXIMUM_LIFETIME_MILLISECONDS = 0x7fff_ffff;

/** The step to run and the dependencies of its run. */
export interface StepRunOptions {
  readonly tools: StepTools;
  readonly manifest: StepManifest;
  /** Identity of this process: the node's name and a random part that is new at each start. */
  readonly nodeStart: string;
  /** Whether no other process has owned the step. */
  readonly isFirstOwner: boolean;
  readonly readSignature: ReadSignature;
  /** Texts of the runs on this node. */
  readonly texts: SampleTexts;
}

/** A sample's place in its step. */
interface SamplePlacement {
  readonly submission: StepSubmission;
  readonly isSpare: boolean;
  readonly isLong: boolean;
}

/** A text with weight versions that its step may not list. */
interface UnusableText {
  readonly text: SampleText;
  readonly placement: SamplePlacement;
  readonly lifetime: SampleLifetime;
}

/**
 * Runs the samples of a step that have no listed result yet, and lists each result on completion.
 */
export class StepRun {
  readonly #options: StepRunOptions;
  readonly #stop = new AbortController();
  readonly #results: StepResults;
  /** Texts of the samples that this run generates or scores, by sample identifier. */
  readonly #unfinishedTexts = new Map<string, SampleText>();
  /** Numbers that divide the groups among the services of a split route. */
  readonly #draws = new Map<string, number>();
  /** Texts that were loaded from the store, by sample identifier. */
  #earlierTexts: EarlierTexts = new Map();
  /** Monotonic time, in milliseconds, at which the step was submitted. */
  #submittedAt: number | undefined;
  /** Monotonic time, in milliseconds, at which the samples were started. */
  #startedAt = 0;

  /** @param options - The step and the dependencies of its run. */
  constructor(options: StepRunOptions) {
    this.#options = options;
    // Each sample adds a listener for the end of the run, so the default limit is too low.
    setMaxListeners(0, this.#stop.signal);
    this.#results = new StepResults({ ...options, signal: this.#stop.signal });
  }

  /** Stops the run; listed results remain in the store. */
  stop(): void {
    this.#stop.abort(ENDED);
  }

  /** Whether the run has stopped. */
  get isStopped(): boolean {
    return this.#stop.signal.aborted;
  }

  /** Runs until all samples have a listed result or the run is stopped. */
  async run(): Promise<void> {
    const { tools, manifest } = this.#options;
    const submission = await this.#loadSubmission();
    if (submission === undefined) return;
    this.#earlierTexts = await loadEarlierWork({
      ...this.#options,
      results: this.#results,
      submission,
      bound: () => this.#findBound(submission),
      signal: this.#stop.signal,
    });
    const open = submission.samples.filter(({ identifier }) =>
      !this.#results.has(identifier)
    ).sort(compareLength);
    tools.log.emit("durableStepRunStarted", {
      step: manifest.identifier,
      model: manifest.model,
      stepNumber: manifest.step,
      samples: open.length,
      listed: this.#results.listed,
    });
    this.#startedAt = tools.clock.monotonic();
    const spareGroups = findSpareGroups(tools, {
      manifest,
      submission,
      openSamples: new Set(open.map(({ identifier }) => identifier)),
    });
    const runs = open.map((sample, index) =>
      this.#runSample(sample, {
        submission,
        isSpare: spareGroups.has(sample.group),
        isLong: index < LONG_SAMPLE_SHARE * open.length,
      })
    );
    const saving = this.#saveTextsPeriodically();
    await this.#results.list();
    this.stop();
    await saving;
    await Promise.all(runs);
    tools.progress.forget(manifest.identifier);
  }

  /** Saves all unfinished texts that have new events. */
  async saveTexts(): Promise<void> {
    const { tools, manifest } = this.#options;
    await tools.progress.save(manifest.identifier, this.#unfinishedTexts, {
      minimumNewEvents: 1,
    });
  }

  async #saveTextsPeriodically(): Promise<void> {
    const { tools, manifest } = this.#options;
    while (!this.isStopped) {
      await tools.clock.sleep(SAVE_INTERVAL_MILLISECONDS, this.#stop.signal);
      if (this.isStopped) return;
      await tools.progress.save(manifest.identifier, this.#unfinishedTexts);
    }
  }

  async #loadSubmission(): Promise<StepSubmission | undefined> {
    const { tools, manifest } = this.#options;
    while (!this.isStopped) {
      const outcome = await tools.submissionStore.load(manifest);
      if (outcome.kind === "ok") return outcome.value;
      await this.#sleep(STORE_RETRY_PAUSE_MILLISECONDS);
    }
    return undefined;
  }

  #findBound({ minimumVersion }: StepSubmission): WeightVersionBound {
    const isSingleVersion = this.#findRoute()?.isSingleVersion ?? false;
    return { minimumVersion, isSingleVersion };
  }

  async #runSample(
    sample: SampleRequest,
    placement: SamplePlacement,
  ): Promise<void> {
    const { tools, manifest, readSignature } = this.#options;
    const { identifier } = sample;
    const lifetime = createSampleLifetime(
      this.#stop.signal,
      () => this.#getRemainingMilliseconds(),
    );
    const { signal } = lifetime;
    const textOwner = { manifest, sample: identifier };
    const text = this.#options.texts.take(textOwner, {
      bound: this.#findBound(placement.submission),
      loaded: this.#earlierTexts.get(identifier) ?? [],
    });
    this.#earlierTexts.delete(identifier);
    const takenEvents = text.parts.length;
    this.#unfinishedTexts.set(identifier, text);
    const run = new SampleGeneration({
      ...tools,
      sample,
      text,
      host: manifest.host,
      organisation: manifest.organisation,
      model: manifest.model,
      minimumVersion: placement.submission.minimumVersion,
      findDueTime: () => this.#findDueTime(),
      group: `${manifest.identifier}/${sample.group}`,
      isSpare: placement.isSpare,
      isLong: placement.isLong,
      draw: this.#drawFor(sample),
      route: () => this.#findRoute(),
      findAllowedRegions: () => tools.regionRules.find(manifest),
      remainingMilliseconds: () => this.#getRemainingMilliseconds(),
      signal,
    });
    const outcome = await run.run();
    const madeAt = tools.clock.monotonic();
    const { times } = run.timeline;
    const ended = {
      step: manifest.identifier,
      group: sample.group,
      sample: identifier,
      run,
      text,
    };
    const again = { text, placement, lifetime };
    if (outcome.kind === "failed") {
      this.#terminate(sample, outcome.reason);
    } else if (outcome.kind === "unusable") {
      return await this.#runSampleAgain(sample, again);
    } else if (outcome.kind === "completed") {
      const scoring = sample.scoring === undefined
        ? undefined
        : await scoreSample(tools, {
          scoring: sample.scoring,
          organisation: manifest.organisation,
          readSignature,
          signal,
        });
      if (scoring?.kind === "failed") {
        this.#terminate(sample, "scoring failed");
      } else if (!this.#mayUse(text, placement.submission)) {
        return await this.#runSampleAgain(sample, again);
      } else if (scoring?.kind !== "cancelled") {
        this.#options.texts.forget(textOwner, text);
        tools.textLengths.record({
          expectedTokens: sample.expectedTokens,
          events: text.parts.length,
        });
        this.#addCompleted(identifier, text, scoring?.score);
        logFinishedSample(tools, {
          ...ended,
          takenEvents,
          stepStartedAt: this.#startedAt,
          madeAt,
          times,
        });
      }
    }
    lifetime.end();
    this.#unfinishedTexts.delete(identifier);
    if (this.isStopped && !this.#results.isFinished(identifier)) {
      logUnfinishedSample(tools, ended);
    }
    if (
      !this.isStopped && signal.aborted && !this.#results.isFinished(identifier)
    ) {
      this.#terminate(sample, "sample lifetime expired");
    }
  }

  // Generates a text again that this step may not list: each event was checked when it came, but the
  // route may have changed since.
  async #runSampleAgain(
    sample: SampleRequest,
    { text, placement, lifetime }: UnusableText,
  ): Promise<void> {
    const { tools, manifest, texts } = this.#options;
    tools.log.emit("textVersionsUnusable", {
      step: manifest.identifier,
      sample: sample.identifier,
      versions: text.versions.join(" "),
      minimumVersion: placement.submission.minimumVersion,
    });
    lifetime.end();
    texts.forget({ manifest, sample: sample.identifier }, text);
    await this.#runSample(sample, placement);
  }

  #drawFor({ group }: SampleRequest): number {
    const draw = this.#draws.get(group) ?? this.#options.tools.random.next();
    this.#draws.set(group, draw);
    return draw;
  }

  #mayUse({ versions }: SampleText, submission: StepSubmission): boolean {
    return mayUseVersions(versions, this.#findBound(submission));
  }

  #addCompleted(
    identifier: string,
    text: SampleText,
    score: string | undefined,
  ): void {
    if (this.isStopped) return;
    this.#results.add({
      kind: "completed",
      identifier,
      text: text.parts.join("\n"),
      weightVersions: [...text.versions],
      ...(score === undefined ? {} : { score }),
    });
  }

  #terminate({ identifier, group }: SampleRequest, reason: string): void {
    const { tools, manifest } = this.#options;
    if (this.isStopped || this.#results.isFinished(identifier)) return;
    tools.log.emit("sampleTerminated", {
      step: manifest.identifier,
      group,
      sample: identifier,
      reason,
    });
    this.#results.add({ kind: "terminated", identifier });
  }

  // Returns the monotonic time, in milliseconds, at which the results are due under the route in force.
  #findDueTime(): number {
    const { tools, manifest } = this.#options;
    const { clock } = tools;
    // Read once, so that a step of the wall clock does not change the order of samples.
    this.#submittedAt ??= clock.monotonic() -
      (clock.wall() - manifest.submittedAt);
    const deadline = this.#findRoute()?.resultDeadlineMilliseconds ?? 0;
    return this.#submittedAt + deadline;
  }

  #findRoute(): ServiceRoute | undefined {
    const { tools, manifest } = this.#options;
    const configuration = tools.configuration();
    return configuration === undefined
      ? undefined
      : findRoute(configuration, manifest.host, manifest.path);
  }

  #getRemainingMilliseconds(): number {
    const { tools, manifest } = this.#options;
    const lifetime = this.#findRoute()?.sampleLifetimeMilliseconds ?? Infinity;
    const remaining = manifest.submittedAt + lifetime +
      CLOCK_MARGIN_MILLISECONDS -
      tools.clock.wall();
    return Math.min(remaining, MAXIMUM_LIFETIME_MILLISECONDS);
  }

  #sleep(milliseconds: number): Promise<void> {
    return this.#options.tools.clock.sleep(milliseconds, this.#stop.signal);
  }
}

// A group is complete when its longest text is, so samples with long texts start first.
function compareLength(left: SampleRequest, right: SampleRequest): number {
  return (right.expectedTokens ?? 0) - (left.expectedTokens ?? 0);
}
