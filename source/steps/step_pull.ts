import type {
  Sample,
  StepManifest,
} from "../../generated/snipepath/v1/records_pb.ts";
import type { Metrics } from "../observability/metrics.ts";
import type { Clock } from "../utilities/clock.ts";
import { invariant } from "../utilities/invariant.ts";
import type { HeldStep } from "./held_step.ts";
import { getOldestVersion, isTooOld } from "./sample_staleness.ts";
import { decodeCursor, encodeCursor, type StepCursor } from "./step_cursor.ts";
import type { StepDirectory, StepName } from "./step_directory.ts";
import type { StepFetcher } from "./step_fetcher.ts";
import { refuse, type StepRefusal } from "./step_refusal.ts";
import {
  VERSION_VIEW_MILLISECONDS,
  type WeightVersions,
} from "./weight_versions.ts";

const POLL_MILLISECONDS = 100;
const RETRY_AFTER_MILLISECONDS = 1000;

/** A trainer's request for finished samples. */
export interface PullRequest extends StepName {
  /** The cursor of the answer that the trainer took last; empty for the first pull. */
  readonly cursor: string;
  readonly maximum: number;
  readonly waitMilliseconds: number;
  /** The newest weight version that the trainer published; undefined when it does not say. */
  readonly newestVersion: number | undefined;
  readonly signal: AbortSignal;
}

/** Samples handed over to a trainer. */
export interface PullAnswer {
  readonly manifest: StepManifest;
  readonly samples: ReadonlyArray<Sample>;
  /** To be sent with the next pull. */
  readonly cursor: string;
  readonly newestVersion: number;
  /** Samples that the trainer holds once it took this answer. */
  readonly held: number;
  readonly wanted: number;
}

/** What pulls need. */
export interface StepPullOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly directory: StepDirectory;
  readonly fetcher: StepFetcher;
  readonly versions: WeightVersions;
  /** Called when a cursor shows that the trainer holds all samples. */
  readonly onWhole: (step: HeldStep) => void;
}

interface OpenPull {
  readonly step: HeldStep;
  readonly cursor: StepCursor;
  readonly request: PullRequest;
  readonly arrivedAt: number;
}

/**
 * Hands finished samples over to trainers.
 *
 * The staleness bound is checked in the same tick in which the answer is handed to its sender.
 * @example
 * ```ts
 * const refusal = await pull.answer(request, (answer) => response.end(toJson(answer)));
 * ```
 */
export class StepPull {
  readonly #options: StepPullOptions;

  /** @param options - What pulls need. */
  constructor(options: StepPullOptions) {
    this.#options = options;
  }

  /**
   * Answers one pull.
   * @param request - The pull.
   * @param send - Sends the answer; called at most once.
   * @returns A refusal when nothing was sent; undefined after `send` was called or the caller left.
   */
  async answer(
    request: PullRequest,
    send: (answer: PullAnswer) => void,
  ): Promise<StepRefusal | undefined> {
    const arrivedAt = this.#options.clock.monotonic();
    const opened = await this.#open(request, arrivedAt);
    if (opened.kind === "refused") return opened;
    const { pull } = opened;
    pull.step.noteHeldByTrainer(pull.cursor.held);
    const { clock } = this.#options;
    const endsAt = clock.monotonic() + request.waitMilliseconds;
    while (!request.signal.aborted) {
      const isCurrent = await this.#confirmVersion(pull);
      if (!isCurrent && request.newestVersion === undefined) {
        return refuseUnconfirmed();
      }
      if (pull.step.hasEnded && !pull.cursor.held.isFull()) {
        return refuseEnded(pull.step);
      }
      const isLast = !isCurrent || clock.monotonic() >= endsAt;
      if (this.#handOver(pull, isLast, send)) return undefined;
      const found = await this.#options.fetcher.fetch(pull.step, {
        held: pull.cursor.held,
        maximum: request.maximum,
      });
      if (found > 0) continue;
      const left = Math.max(0, endsAt - clock.monotonic());
      await pull.step.change.wait({
        milliseconds: Math.min(POLL_MILLISECONDS, left),
        signal: request.signal,
      });
    }
    return undefined;
  }

  async #open(
    request: PullRequest,
    arrivedAt: number,
  ): Promise<{ readonly kind: "open"; readonly pull: OpenPull } | StepRefusal> {
    const { directory } = this.#options;
    const refusal = await this.#checkStatedVersion(request);
    if (refusal !== undefined) return refusal;
    const found = request.cursor === ""
      ? await directory.findNewest(request)
      : await directory.find(request);
    if (found.kind === "refused") return found;
    let { step } = found;
    let decoded = decodeCursor(step.manifest, request.cursor);
    if (decoded.kind === "otherEpoch") {
      const newest = await directory.findNewest(request);
      if (newest.kind === "refused") return newest;
      step = newest.step;
      decoded = decodeCursor(step.manifest, request.cursor);
    }
    if (decoded.kind === "cursor") {
      const pull = { step, cursor: decoded.cursor, request, arrivedAt };
      return { kind: "open", pull };
    }
    return refuse(
      decoded.kind === "invalid" ? "invalidRequest" : "conflict",
      decoded.message,
      { field: "cursor" },
    );
  }

  async #checkStatedVersion(
    request: PullRequest,
  ): Promise<StepRefusal | undefined> {
    const { versions } = this.#options;
    const stated = request.newestVersion ?? 0;
    if (stated <= versions.newest(request.trainer)) return undefined;
    const isRead = await versions.refresh(request.trainer);
    const newest = versions.newest(request.trainer);
    if (!isRead || stated <= newest) return undefined;
    return refuse(
      "invalidRequest",
      `Version ${stated} was not published; the newest is ${newest}`,
      { field: "newest_version" },
    );
  }

  async #confirmVersion(pull: OpenPull): Promise<boolean> {
    if (this.#isVersionCurrent(pull)) return true;
    await this.#options.versions.refresh(pull.request.trainer);
    return this.#isVersionCurrent(pull);
  }

  #isVersionCurrent(pull: OpenPull): boolean {
    const { request, arrivedAt } = pull;
    const age = this.#options.clock.monotonic() - arrivedAt;
    const isStated = request.newestVersion !== undefined &&
      age <= VERSION_VIEW_MILLISECONDS;
    return isStated || this.#options.versions.isConfirmed(request.trainer);
  }

  #measure(
    pull: OpenPull,
    samples: ReadonlyArray<Sample>,
    newestVersion: number,
  ): void {
    const { trainer } = pull.step.manifest;
    for (const sample of samples) {
      const age = Math.max(0, newestVersion - getOldestVersion(sample));
      this.#options.metrics.histogram("sample.age_versions", age, { trainer });
    }
  }

  #handOver(
    pull: OpenPull,
    isLast: boolean,
    send: (answer: PullAnswer) => void,
  ): boolean {
    const { step, cursor, request } = pull;
    if (cursor.held.isFull()) {
      this.#options.onWhole(step);
      send(
        toAnswer(pull, { samples: [], newestVersion: cursor.newestVersion }),
      );
      return true;
    }
    const isCurrent = this.#isVersionCurrent(pull);
    if (!isCurrent && !isLast) return false;
    const newestVersion = Math.max(
      this.#options.versions.newest(step.manifest.trainer),
      request.newestVersion ?? 0,
      cursor.newestVersion,
    );
    const samples = !isCurrent ? [] : step.answer(request.cursor, {
      newestVersion,
      boundVersions: step.manifest.stalenessBoundVersions,
      held: cursor.held,
      maximum: request.maximum,
    });
    if (samples.length === 0 && !isLast) return false;
    checkHandOver(pull, samples, newestVersion);
    this.#measure(pull, samples, newestVersion);
    send(toAnswer(pull, { samples, newestVersion }));
    return true;
  }
}

function checkHandOver(
  pull: OpenPull,
  samples: ReadonlyArray<Sample>,
  newestVersion: number,
): void {
  const { manifest, plan } = pull.step;
  const seen = new Set<number>();
  for (const sample of samples) {
    const name = `${manifest.trainer}/${manifest.step}/${sample.index}`;
    invariant(
      plan[sample.index]?.group === sample.group,
      `Sample ${name} is not one of the step's`,
    );
    invariant(
      !pull.cursor.held.has(sample.index) && !seen.has(sample.index),
      `Sample ${name} would be delivered twice`,
    );
    invariant(
      !isTooOld(sample, {
        newestVersion,
        boundVersions: manifest.stalenessBoundVersions,
      }),
      `Sample ${name} is older than the staleness bound at ${newestVersion}`,
    );
    seen.add(sample.index);
  }
}

function toAnswer(
  pull: OpenPull,
  content: {
    readonly samples: ReadonlyArray<Sample>;
    readonly newestVersion: number;
  },
): PullAnswer {
  const held = pull.cursor.held
    .with(content.samples.map((sample) => sample.index));
  const { newestVersion } = content;
  return {
    manifest: pull.step.manifest,
    samples: content.samples,
    cursor: encodeCursor(pull.step.manifest, { held, newestVersion }),
    newestVersion,
    held: held.count(),
    wanted: held.size,
  };
}

function refuseUnconfirmed(): StepRefusal {
  return refuse(
    "platformUnavailable",
    "The newest weight version can't be read; state it in newest_version to go on",
    {
      field: "newest_version",
      retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
    },
  );
}

function refuseEnded(step: HeldStep): StepRefusal {
  const { trainer, step: name } = step.manifest;
  return refuse("conflict", `Step ${name} of trainer ${trainer} has ended`, {
    field: "step",
  });
}
