import type {
  Sample,
  StepManifest,
} from "../../generated/snipepath/v1/records_pb.ts";
import type { Metrics } from "../observability/metrics.ts";
import type { Clock } from "../utilities/clock.ts";
import { invariant } from "../utilities/invariant.ts";
import type { StepReplica } from "./step_replica.ts";
import { exceedsStalenessBound, getOldestVersion } from "./sample_staleness.ts";
import { decodeCursor, encodeCursor, type StepCursor } from "./step_cursor.ts";
import type { StepDirectory, StepName } from "./step_directory.ts";
import type { StepFetcher } from "./step_fetcher.ts";
import { refuse, type StepRefusal } from "./step_refusal.ts";
import {
  MAXIMUM_VERSION_READ_AGE_MILLISECONDS,
  type WeightVersions,
} from "./weight_versions.ts";

/** Maximum time for which a pull waits before it searches for samples again. */
const POLL_MILLISECONDS = 100;
const RETRY_AFTER_MILLISECONDS = 1000;

/** A trainer's request for finished samples. */
export interface PullRequest extends StepName {
  /** Cursor of the last response that the trainer received; empty for the first pull. */
  readonly cursor: string;
  /** Maximum number of samples in the response. */
  readonly maximum: number;
  /** Longest time to wait for samples. */
  readonly waitMilliseconds: number;
  /** Newest weight version that the trainer published, if the request states it. */
  readonly newestVersion: number | undefined;
  readonly signal: AbortSignal;
}

/** Response to a pull; contains the samples that it delivers. */
export interface PullResponse {
  readonly manifest: StepManifest;
  readonly samples: ReadonlyArray<Sample>;
  /** Cursor that the trainer sends with its next pull. */
  readonly cursor: string;
  readonly newestVersion: number;
  /** Number of samples that the trainer holds once it has received this response. */
  readonly held: number;
  /** Number of samples that the step requests. */
  readonly wanted: number;
}

/** Dependencies of the pull handler. */
export interface StepPullHandlerOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly directory: StepDirectory;
  readonly fetcher: StepFetcher;
  readonly versions: WeightVersions;
  /** Called when a cursor shows that the trainer holds all samples of a step. */
  readonly onComplete: (step: StepReplica) => void;
}

interface PendingPull {
  readonly step: StepReplica;
  readonly cursor: StepCursor;
  readonly request: PullRequest;
  /** Monotonic time at which the pull arrived, in milliseconds. */
  readonly arrivedAt: number;
}

/**
 * Delivers finished samples to trainers that pull them.
 *
 * The handler checks the staleness bound and calls `send` in the same event loop tick, so that no
 * newer weight version can be recorded in between.
 * @example
 * ```ts
 * const refusal = await handler.handle(request, (body) => response.end(toJson(body)));
 * ```
 */
export class StepPullHandler {
  readonly #options: StepPullHandlerOptions;

  /** @param options - Clock, metrics, directory, fetcher, weight versions and completion callback. */
  constructor(options: StepPullHandlerOptions) {
    this.#options = options;
  }

  /**
   * Responds to one pull once samples can be delivered. The response has no samples when the
   * trainer holds all of them, when the weight version that the request stated is too old to rely
   * on and the table can't be read, or when the wait time ends before a sample can be delivered.
   * @param request - The pull.
   * @param send - Sends the response; called at most once.
   * @returns A refusal when nothing was sent; undefined after `send` was called or `request.signal`
   * was aborted.
   */
  async handle(
    request: PullRequest,
    send: (response: PullResponse) => void,
  ): Promise<StepRefusal | undefined> {
    const arrivedAt = this.#options.clock.monotonic();
    const resolved = await this.#findStepAndCursor(request, arrivedAt);
    if (resolved.kind === "refused") return resolved;
    const { pull } = resolved;
    pull.step.setHeldByTrainer(pull.cursor.held);
    const { clock } = this.#options;
    const waitEndsAt = clock.monotonic() + request.waitMilliseconds;
    while (!request.signal.aborted) {
      const isConfirmed = await this.#confirmNewestVersion(pull);
      if (!isConfirmed && request.newestVersion === undefined) {
        return refuseUnconfirmed();
      }
      if (pull.step.hasEnded && !pull.cursor.held.isFull()) {
        return refuseEnded(pull.step);
      }
      const mustRespond = !isConfirmed || clock.monotonic() >= waitEndsAt;
      if (this.#tryRespond(pull, mustRespond, send)) return undefined;
      const addedCount = await this.#options.fetcher.fetch(pull.step, {
        held: pull.cursor.held,
        maximum: request.maximum,
      });
      if (addedCount > 0) continue;
      const remainingMilliseconds = Math.max(0, waitEndsAt - clock.monotonic());
      await pull.step.change.wait({
        timeoutMilliseconds: Math.min(POLL_MILLISECONDS, remainingMilliseconds),
        signal: request.signal,
      });
    }
    return undefined;
  }

  async #findStepAndCursor(
    request: PullRequest,
    arrivedAt: number,
  ): Promise<
    { readonly kind: "resolved"; readonly pull: PendingPull } | StepRefusal
  > {
    const { directory } = this.#options;
    const refusal = await this.#checkStatedVersion(request);
    if (refusal !== undefined) return refusal;
    const lookup = request.cursor === ""
      ? await directory.findNewest(request)
      : await directory.find(request);
    if (lookup.kind === "refused") return lookup;
    let { step } = lookup;
    let decoded = decodeCursor(step.manifest, request.cursor);
    if (decoded.kind === "otherEpoch") {
      const newest = await directory.findNewest(request);
      if (newest.kind === "refused") return newest;
      step = newest.step;
      decoded = decodeCursor(step.manifest, request.cursor);
    }
    if (decoded.kind === "cursor") {
      const pull = { step, cursor: decoded.cursor, request, arrivedAt };
      return { kind: "resolved", pull };
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
    const statedVersion = request.newestVersion ?? 0;
    if (statedVersion <= versions.newest(request.trainer)) return undefined;
    const wasTableRead = await versions.refresh(request.trainer);
    const newest = versions.newest(request.trainer);
    if (!wasTableRead || statedVersion <= newest) return undefined;
    return refuse(
      "invalidRequest",
      `Weight version ${statedVersion} was not published; the newest of the trainer is ${newest}`,
      { field: "newest_version" },
    );
  }

  async #confirmNewestVersion(pull: PendingPull): Promise<boolean> {
    if (this.#isNewestVersionConfirmed(pull)) return true;
    await this.#options.versions.refresh(pull.request.trainer);
    return this.#isNewestVersionConfirmed(pull);
  }

  #isNewestVersionConfirmed(pull: PendingPull): boolean {
    const { request, arrivedAt } = pull;
    const ageMilliseconds = this.#options.clock.monotonic() - arrivedAt;
    const isStatedRecently = request.newestVersion !== undefined &&
      ageMilliseconds <= MAXIMUM_VERSION_READ_AGE_MILLISECONDS;
    return isStatedRecently ||
      this.#options.versions.isConfirmed(request.trainer);
  }

  #recordSampleAges(
    pull: PendingPull,
    samples: ReadonlyArray<Sample>,
    newestVersion: number,
  ): void {
    const { trainer } = pull.step.manifest;
    for (const sample of samples) {
      const ageVersions = Math.max(0, newestVersion - getOldestVersion(sample));
      this.#options.metrics.histogram("sample.age_versions", ageVersions, {
        trainer,
      });
    }
  }

  #tryRespond(
    pull: PendingPull,
    mustRespond: boolean,
    send: (response: PullResponse) => void,
  ): boolean {
    const { step, cursor, request } = pull;
    if (cursor.held.isFull()) {
      this.#options.onComplete(step);
      send(
        toResponse(pull, { samples: [], newestVersion: cursor.newestVersion }),
      );
      return true;
    }
    const isConfirmed = this.#isNewestVersionConfirmed(pull);
    if (!isConfirmed && !mustRespond) return false;
    const newestVersion = Math.max(
      this.#options.versions.newest(step.manifest.trainer),
      request.newestVersion ?? 0,
      cursor.newestVersion,
    );
    const samples = !isConfirmed
      ? []
      : step.getResponseSamples(request.cursor, {
        newestVersion,
        boundVersions: step.manifest.stalenessBoundVersions,
        held: cursor.held,
        maximum: request.maximum,
      });
    if (samples.length === 0 && !mustRespond) return false;
    checkDeliveredSamples(pull, samples, newestVersion);
    this.#recordSampleAges(pull, samples, newestVersion);
    send(toResponse(pull, { samples, newestVersion }));
    return true;
  }
}

function checkDeliveredSamples(
  pull: PendingPull,
  samples: ReadonlyArray<Sample>,
  newestVersion: number,
): void {
  const { manifest, plan } = pull.step;
  const seen = new Set<number>();
  for (const sample of samples) {
    const name = `${manifest.trainer}/${manifest.step}/${sample.index}`;
    invariant(
      plan[sample.index]?.group === sample.group,
      `Sample ${name} is not in the plan of the step, or has another group there`,
    );
    invariant(
      !pull.cursor.held.has(sample.index) && !seen.has(sample.index),
      `Sample ${name} would be delivered twice`,
    );
    invariant(
      !exceedsStalenessBound(sample, {
        newestVersion,
        boundVersions: manifest.stalenessBoundVersions,
      }),
      `Sample ${name} exceeds the staleness bound at weight version ${newestVersion}`,
    );
    seen.add(sample.index);
  }
}

function toResponse(
  pull: PendingPull,
  content: {
    readonly samples: ReadonlyArray<Sample>;
    readonly newestVersion: number;
  },
): PullResponse {
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
    "The newest weight version can't be read from the table; state it in newest_version and retry",
    {
      field: "newest_version",
      retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
    },
  );
}

function refuseEnded(step: StepReplica): StepRefusal {
  const { trainer, step: name } = step.manifest;
  return refuse("conflict", `Step ${name} of trainer ${trainer} has ended`, {
    field: "step",
  });
}
