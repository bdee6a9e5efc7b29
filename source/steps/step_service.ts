import { create } from "@bufbuild/protobuf";
import {
  type ConfirmWeightVersionRequest,
  type FetchSamplesRequest,
  type FetchSamplesResponse,
  FetchSamplesResponseSchema,
  StepFactSchema,
  type StoreSamplesRequest,
} from "../../generated/snipepath/v1/peer_pb.ts";
import type { Trainer } from "../../generated/snipepath/v1/declaration_pb.ts";
import {
  type StepManifest,
  StepManifestSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import type { PeerHandlers } from "../membership/peer_directory.ts";
import type { StepReplica } from "./step_replica.ts";
import { SampleArchive } from "./sample_archive.ts";
import { SampleBitmap } from "./sample_bitmap.ts";
import { createFirstCursor, encodeCursor } from "./step_cursor.ts";
import { StepDirectory, type StepName } from "./step_directory.ts";
import { StepFetcher } from "./step_fetcher.ts";
import { StepManifests, toStepKey } from "./step_manifests.ts";
import { hasValidSampleCount } from "./step_plan.ts";
import { StepOwnership } from "./step_ownership.ts";
import {
  type PullRequest,
  type PullResponse,
  StepPullHandler,
} from "./step_pull_handler.ts";
import type { StepRefusal } from "./step_refusal.ts";
import type { StepServiceOptions } from "./step_service_options.ts";
import { type Publication, WeightPublisher } from "./weight_publisher.ts";
import { type PublishedVersion, WeightVersions } from "./weight_versions.ts";

/** A step that a trainer submits. */
export interface StepSubmission extends StepName {
  readonly groups: ReadonlyArray<{
    readonly prompt: string;
    readonly samples: number;
    readonly maximumTokens: number;
  }>;
  /**
   * Staleness bound in versions; applies only when it is below the bound in the trainer's
   * declaration.
   */
  readonly stalenessBound?: number;
}

/** A step that was accepted. */
export interface AcceptedStep {
  readonly kind: "accepted";
  readonly manifest: StepManifest;
  /** Cursor for the first pull. */
  readonly cursor: string;
  readonly isNew: boolean;
}

/** A step that was cancelled. */
export interface CancelledStep {
  readonly kind: "cancelled";
  readonly manifest: StepManifest;
}

/** Deadline of a step if the declaration of its trainer sets none. */
const DEFAULT_DEADLINE_SECONDS = 1380;

/**
 * Runs the steps of trainers: accepts steps, generates their samples on engines and delivers the
 * samples. Also publishes the trainers' weight versions.
 * @example
 * ```ts
 * const steps = new StepService({ context, configuration, replicatedFacts, peers, admission, dispatcher });
 * void steps.run();
 * ```
 */
export class StepService {
  /** Newest weight version of each trainer. */
  readonly versions: WeightVersions;
  readonly #options: StepServiceOptions;
  readonly #manifests: StepManifests;
  readonly #directory: StepDirectory;
  readonly #ownership: StepOwnership;
  readonly #pullHandler: StepPullHandler;
  readonly #publisher: WeightPublisher;
  #submissionCount = 0;

  /** @param options - Dependencies of the service. */
  constructor(options: StepServiceOptions) {
    const { context, replicatedFacts, peers } = options;
    const { clock, platform, settings, nodeStart } = context;
    this.#options = options;
    this.#manifests = new StepManifests(platform.table);
    this.versions = new WeightVersions({
      clock,
      table: platform.table,
      replicatedFacts,
    });
    const { versions } = this;
    const archive = new SampleArchive(platform.objects, nodeStart);
    this.#directory = new StepDirectory({
      node: settings.node,
      nodeStart,
      clock,
      manifests: this.#manifests,
      peers,
      replicatedFacts,
    });
    const directory = this.#directory;
    const fetcher = new StepFetcher({ clock, directory, archive, versions });
    this.#ownership = new StepOwnership({
      ...options,
      directory,
      fetcher,
      archive,
      versions,
    });
    this.#pullHandler = new StepPullHandler({
      clock,
      metrics: context.metrics,
      directory,
      fetcher,
      versions,
      onComplete: (step) => this.#endAndPublish(step, "whole"),
    });
    this.#publisher = new WeightPublisher({
      clock,
      table: platform.table,
      peers,
      versions,
    });
  }

  /** Returns the handlers of requests about steps and weight versions that peers send to this node. */
  get handlers(): Pick<
    PeerHandlers,
    "onWeightVersion" | "onStoreSamples" | "onFetchSamples"
  > {
    return {
      onWeightVersion: (request) => this.#recordVersion(request),
      onStoreSamples: (request) => this.#storeSamples(request),
      onFetchSamples: (request) => this.#fetchSamples(request),
    };
  }

  /** Returns the declared trainer with a name; undefined when none is declared. */
  getTrainer(name: string): Trainer | undefined {
    return this.#options.configuration.current()?.declaration?.trainers
      .find((trainer) => trainer.name === name);
  }

  /** Publishes a weight version. */
  async publish(
    published: PublishedVersion,
  ): Promise<Publication | StepRefusal> {
    const outcome = await this.#publisher.publish(published);
    if (outcome.kind === "published") {
      this.#options.context.log.emit("weightVersionPublished", {
        trainer: published.trainer,
        version: published.version,
        confirmedPeers: outcome.confirmed.length,
        silentPeers: outcome.silent.length,
      });
    }
    return outcome;
  }

  /**
   * Accepts a step. Submitting the same step again returns the existing step; if that was
   * cancelled, a new epoch of the step starts.
   * @param submission - The step.
   * @param trainer - The declared trainer.
   */
  async submit(
    submission: StepSubmission,
    trainer: Trainer,
  ): Promise<AcceptedStep | StepRefusal> {
    const outcome = await this.#manifests.submit(
      this.#toManifest(submission, trainer),
    );
    if (outcome.kind === "refused") return outcome;
    const { manifest, isNew } = outcome;
    const step = this.#directory.recordManifest(manifest);
    if (isNew || manifest.owner === this.#options.context.settings.node) {
      await this.#ownership.accept(step);
    }
    const cursor = encodeCursor(manifest, createFirstCursor(manifest));
    return { kind: "accepted", manifest, cursor, isNew };
  }

  /**
   * Responds to a pull.
   * @param request - The pull.
   * @param send - Sends the response; called at most once, in the event loop tick in which the
   * staleness bound was checked.
   * @returns A refusal when nothing was sent; undefined after `send` was called or `request.signal`
   * was aborted.
   */
  pull(
    request: PullRequest,
    send: (response: PullResponse) => void,
  ): Promise<StepRefusal | undefined> {
    return this.#pullHandler.handle(request, send);
  }

  /** Cancels a step; cancelling it again is idempotent. */
  async cancel(name: StepName): Promise<CancelledStep | StepRefusal> {
    const outcome = await this.#manifests.cancel(name.trainer, name.step);
    if (outcome.kind === "refused") return outcome;
    const step = this.#directory.recordManifest(outcome.manifest);
    this.#endAndPublish(step, "cancelled");
    return { kind: "cancelled", manifest: outcome.manifest };
  }

  /**
   * Until the process stops, reloads weight versions and checks the known steps, which it takes over,
   * ends or removes as needed.
   */
  async run(): Promise<void> {
    const { stopping } = this.#options.context;
    await Promise.all([
      this.versions.run(stopping),
      this.#ownership.run(stopping),
    ]);
  }

  /** Releases the owned steps to other nodes before a shutdown; the node still responds to pulls. */
  drain(): Promise<void> {
    return this.#ownership.drain();
  }

  #toManifest(submission: StepSubmission, trainer: Trainer): StepManifest {
    const { context } = this.#options;
    this.#submissionCount += 1;
    return create(StepManifestSchema, {
      trainer: submission.trainer,
      step: submission.step,
      groups: submission.groups.map((group) => ({
        prompt: group.prompt,
        samples: group.samples,
        maximumTokens: group.maximumTokens,
      })),
      stalenessBoundVersions: Math.min(
        submission.stalenessBound ?? trainer.stalenessBoundVersions,
        trainer.stalenessBoundVersions,
      ),
      // Unique suffix of the epoch; StepManifests.submit prepends the number of the epoch.
      epoch: `${context.nodeStart}-${this.#submissionCount}`,
      owner: context.settings.node,
      organisation: trainer.organisation,
      service: trainer.service,
      submittedAtUnixMilliseconds: BigInt(Math.floor(context.clock.wall())),
      deadlineSeconds: trainer.stepDeadlineSeconds || DEFAULT_DEADLINE_SECONDS,
    });
  }

  #endAndPublish(step: StepReplica, reason: string): void {
    const { manifest } = step;
    this.#options.replicatedFacts.publish(
      "step",
      toStepKey(manifest.trainer, manifest.step),
      create(StepFactSchema, {
        epoch: manifest.epoch,
        wanted: step.plan.length,
        finished: step.finishedCount,
        ended: true,
      }),
    );
    this.#ownership.end(step, reason);
  }

  #recordVersion(request: ConfirmWeightVersionRequest): void {
    this.versions.record({
      trainer: request.trainer,
      service: request.service,
      version: Number(request.version),
      location: request.location,
    });
  }

  #storeSamples(request: StoreSamplesRequest): void {
    const { manifest } = request;
    if (manifest !== undefined && hasValidSampleCount(manifest)) {
      this.#directory.recordManifest(manifest);
    }
    const step = this.#directory.get(request);
    if (step === undefined || step.manifest.epoch !== request.epoch) return;
    for (const sample of request.samples) {
      step.merge(sample, { isDeliverable: true });
    }
    this.#ownership.publishState(step);
  }

  #fetchSamples(request: FetchSamplesRequest): FetchSamplesResponse {
    const step = this.#directory.get(request);
    if (step !== undefined) {
      this.versions.record({
        trainer: request.trainer,
        service: step.manifest.service,
        version: Number(request.newestVersion),
        location: "",
      });
    }
    const newestVersion = BigInt(this.versions.newest(request.trainer));
    if (step === undefined) {
      return create(FetchSamplesResponseSchema, { newestVersion });
    }
    const { manifest } = step;
    const isOtherEpoch = request.epoch !== "" &&
      request.epoch !== manifest.epoch;
    const excluded = SampleBitmap.fromBytes(step.plan.length, request.held);
    if (isOtherEpoch || step.hasEnded) {
      return create(FetchSamplesResponseSchema, { manifest, newestVersion });
    }
    if (request.heldByTrainer && excluded !== undefined) {
      step.setHeldByTrainer(excluded);
    }
    const samples = step.getDeliverable({
      held: excluded ?? SampleBitmap.empty(step.plan.length),
      maximum: request.maximum === 0 ? step.plan.length : request.maximum,
      newestVersion: Number(newestVersion),
      boundVersions: manifest.stalenessBoundVersions,
    });
    return create(FetchSamplesResponseSchema, {
      manifest,
      newestVersion,
      samples: [...samples],
    });
  }
}
