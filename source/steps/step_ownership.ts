import { create } from "@bufbuild/protobuf";
import {
  StepFactSchema,
  StoreSamplesRequestSchema,
} from "../../generated/snipepath/v1/peer_pb.ts";
import type { StepReplica } from "./step_replica.ts";
import { OwnedStep } from "./owned_step.ts";
import type { SampleArchive } from "./sample_archive.ts";
import { SampleCopier } from "./sample_copier.ts";
import type { Peer } from "../membership/peer_directory.ts";
import { OwnerProbe } from "./owner_probe.ts";
import type { OwnershipClaim, StepDirectory } from "./step_directory.ts";
import type { StepFetcher } from "./step_fetcher.ts";
import { StepLifetime } from "./step_lifetime.ts";
import { toStepKey } from "./step_manifests.ts";
import { StepRunner } from "./step_runner.ts";
import type { StepServiceOptions } from "./step_service_options.ts";
import { sumMaximumTokens } from "./step_plan.ts";
import { getBudgetShare } from "./tail_budget.ts";
import { TAIL_POLICIES, type TailPolicyName } from "./tail_policy.ts";
import type { WeightVersions } from "./weight_versions.ts";

const DEFAULT_TAIL_POLICY: TailPolicyName = "resumedTail";
const CHECK_INTERVAL_MILLISECONDS = 250;
/** Time without a reachable claim after which this node takes over a step. */
const TAKEOVER_DELAY_MILLISECONDS = 2000;
/** Number of parts of a step by which its published number of finished samples is rounded. */
const PUBLISHED_PROGRESS_PARTS = 16;

/** Dependencies of the step ownership. */
export interface StepOwnershipOptions extends StepServiceOptions {
  readonly directory: StepDirectory;
  readonly fetcher: StepFetcher;
  readonly archive: SampleArchive;
  readonly versions: WeightVersions;
}

/**
 * Decides which steps this node runs. Ownership only avoids duplicate work: even when two nodes run
 * the same step, the cursor keeps the trainer from receiving a sample twice.
 * @example
 * ```ts
 * const ownership = new StepOwnership(options);
 * await ownership.accept(step);
 * ```
 */
export class StepOwnership {
  readonly #options: StepOwnershipOptions;
  readonly #lifetime: StepLifetime;
  readonly #probe: OwnerProbe;
  readonly #owned = new Map<StepReplica, OwnedStep>();
  /** Monotonic time since which no reachable peer claims each step, in milliseconds. */
  readonly #unclaimedSince = new WeakMap<StepReplica, number>();
  #isDraining = false;
  /** Last published fact of each step, as JSON. */
  readonly #publishedFacts = new WeakMap<StepReplica, string>();

  /** @param options - Step service options, directory, fetcher, archive and weight versions. */
  constructor(options: StepOwnershipOptions) {
    this.#options = options;
    this.#lifetime = new StepLifetime({
      clock: options.context.clock,
      replicatedFacts: options.replicatedFacts,
    });
    this.#probe = new OwnerProbe({
      clock: options.context.clock,
      canReach: (peer) => this.#canReach(peer),
    });
  }

  /** Starts to run a step that a trainer submitted to this node. */
  async accept(step: StepReplica): Promise<void> {
    if (step.hasEnded || this.#owned.has(step)) return;
    const owned = this.#startOwning(step);
    const { manifest } = step;
    this.#options.context.log.emit("stepAccepted", {
      trainer: manifest.trainer,
      step: manifest.step,
      epoch: manifest.epoch,
      samples: step.plan.length,
    });
    await owned.copyManifest();
  }

  /** Ends a step on this node; if this node owns it, stops the runs and deletes archived samples. */
  end(step: StepReplica, reason: string): void {
    const { manifest } = step;
    const owned = this.#owned.get(step);
    owned?.stop(this.#hasMissedDeadline(step, owned.startedAt));
    this.#owned.delete(step);
    this.#options.directory.setOwned(step, false);
    if (step.hasEnded && owned === undefined) return;
    step.end();
    this.#options.context.log.emit("stepEnded", {
      trainer: manifest.trainer,
      step: manifest.step,
      reason,
      generatedTokens: owned?.totals.generatedTokens ?? 0,
      secondRuns: owned?.totals.secondRuns ?? 0,
    });
    if (owned !== undefined) void this.#options.archive.remove(manifest);
  }

  /** Stops all owned steps, copies their samples and releases the steps to other nodes. */
  async drain(): Promise<void> {
    this.#isDraining = true;
    const owned = [...this.#owned.values()];
    await Promise.all(owned.map((each) => this.#releaseStep(each)));
  }

  /** Publishes the state of a step on this node to the other nodes when it has changed. */
  publishState(step: StepReplica): void {
    const { manifest } = step;
    const { node } = this.#options.context.settings;
    const fact = {
      epoch: manifest.epoch,
      owner: this.#owned.has(step) ? node : "",
      finished: this.#owned.has(step) ? roundFinishedCount(step) : 0,
      wanted: step.plan.length,
      ended: step.hasEnded,
    };
    const text = JSON.stringify(fact);
    if (this.#publishedFacts.get(step) === text) return;
    this.#publishedFacts.set(step, text);
    this.#options.replicatedFacts.publish(
      "step",
      toStepKey(manifest.trainer, manifest.step),
      create(StepFactSchema, fact),
    );
  }

  /** Checks the ownership, lifetime and staleness of all known steps until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options.context;
    const unsubscribe = this.#options.versions.watch(() =>
      this.#dropStaleSamples()
    );
    while (!signal.aborted) {
      for (const step of this.#options.directory.all()) this.#checkStep(step);
      await clock.sleep(CHECK_INTERVAL_MILLISECONDS, signal);
    }
    unsubscribe();
  }

  async #releaseStep(owned: OwnedStep): Promise<void> {
    const { step } = owned;
    owned.stop(this.#hasMissedDeadline(step, owned.startedAt));
    await owned.copyRemaining();
    this.#owned.delete(step);
    this.#options.directory.setOwned(step, false);
    this.publishState(step);
  }

  #checkStep(step: StepReplica): void {
    if (this.#lifetime.hasEnded(step)) {
      if (!step.hasEnded) this.end(step, "told");
      this.#removeIfExpired(step);
      return;
    }
    if (this.#owned.has(step)) {
      this.#yieldToEarlierOwner(step);
      this.#dropStaleSamplesOf(step);
      this.#recordCompletion(step);
      this.publishState(step);
      return;
    }
    this.#takeOverIfUnclaimed(step);
  }

  #recordCompletion(step: StepReplica): void {
    const owned = this.#owned.get(step);
    if (owned === undefined || !step.isComplete()) return;
    const missedDeadline = this.#hasMissedDeadline(step, owned.startedAt);
    if (!owned.closeLedger(missedDeadline)) return;
    const { clock, metrics } = this.#options.context;
    metrics.histogram(
      "step.milliseconds",
      clock.monotonic() - owned.startedAt,
      {
        trainer: step.manifest.trainer,
        organisation: step.manifest.organisation,
      },
    );
  }

  #removeIfExpired(step: StepReplica): void {
    if (!this.#lifetime.isExpired(step)) return;
    this.#options.directory.remove(step);
    const { trainer, step: name } = step.manifest;
    this.#options.replicatedFacts.retract?.("step", toStepKey(trainer, name));
  }

  /**
   * Yields a step to a reachable peer that claims to own it too and whose name sorts before this
   * node's name; sends the finished samples to that peer.
   */
  #yieldToEarlierOwner(step: StepReplica): void {
    const { node } = this.#options.context.settings;
    const winner = this.#reachableClaims(step)
      .find((claim) => claim.node < node);
    if (winner === undefined) return;
    this.#owned.get(step)?.stop(false);
    this.#owned.delete(step);
    this.#options.directory.setOwned(step, false);
    this.#options.context.log.emit("stepYielded", {
      trainer: step.manifest.trainer,
      step: step.manifest.step,
      owner: winner.node,
    });
    this.publishState(step);
    void this.#sendSamples(step, winner.node);
  }

  async #sendSamples(step: StepReplica, owner: string): Promise<void> {
    const { peers } = this.#options;
    const peer = peers.peers().find((each) => each.node === owner);
    if (peer === undefined || step.finishedCount === 0) return;
    const { trainer, step: name, epoch } = step.manifest;
    await peers.storeSamples(
      peer,
      create(StoreSamplesRequestSchema, {
        trainer,
        step: name,
        epoch,
        samples: [...step.samples()],
      }),
    );
  }

  #takeOverIfUnclaimed(step: StepReplica): void {
    if (this.#isDraining) return;
    const now = this.#options.context.clock.monotonic();
    if (this.#reachableClaims(step).length > 0) {
      this.#unclaimedSince.delete(step);
      return;
    }
    const since = this.#unclaimedSince.get(step) ?? now;
    this.#unclaimedSince.set(step, since);
    if (now - since < TAKEOVER_DELAY_MILLISECONDS) return;
    this.#unclaimedSince.delete(step);
    void this.#takeOver(step);
  }

  #reachableClaims(step: StepReplica): ReadonlyArray<OwnershipClaim> {
    return this.#options.directory.claims(step.manifest)
      .filter((claim) => claim.epoch === step.manifest.epoch)
      .filter((claim) => !this.#probe.isUnreachable(claim.peer));
  }

  async #canReach(peer: Peer): Promise<boolean> {
    const request = { trainer: "", step: "", maximum: 1 };
    const response = await this.#options.directory.fetch(peer, request);
    return response !== undefined;
  }

  async #takeOver(step: StepReplica): Promise<void> {
    await this.#options.fetcher.fetchAll(step);
    if (step.hasEnded || this.#owned.has(step)) return;
    const owned = this.#startOwning(step);
    this.#options.context.log.emit("stepTakenOver", {
      trainer: step.manifest.trainer,
      step: step.manifest.step,
      epoch: step.manifest.epoch,
      found: step.finishedCount,
      wanted: step.plan.length,
    });
    await owned.copyManifest();
  }

  #startOwning(step: StepReplica): OwnedStep {
    const { context, peers, archive, versions } = this.#options;
    const { clock } = context;
    const startedAt = clock.monotonic();
    const copier = new SampleCopier(step, { clock, peers, archive });
    const classOfWork = this.#getClassOfWork(step);
    const ledger = context.ledger.open({
      kind: "step",
      identifier: `${step.manifest.trainer}/${step.manifest.step}`,
      organisation: step.manifest.organisation,
      classOfWork,
      service: step.manifest.service,
    });
    const runner = new StepRunner(step, {
      ...this.#options,
      classOfWork,
      ledger,
      tailPolicy: this.#getTailPolicy(),
      budgetTokens: () => this.#getBudgetTokens(step, startedAt),
      newestVersion: () => versions.newest(step.manifest.trainer),
      onFinished: (sample) => copier.add(sample),
    });
    const owned = new OwnedStep(step, { copier, runner, ledger, startedAt });
    this.#owned.set(step, owned);
    this.#options.directory.setOwned(step, true);
    this.publishState(step);
    void owned.run(context.stopping);
    return owned;
  }

  #getClassOfWork(step: StepReplica): string {
    return this.#options.configuration.current()?.declaration?.trainers
      .find((trainer) => trainer.name === step.manifest.trainer)
      ?.classOfWork ?? "";
  }

  #getBudgetTokens(step: StepReplica, startedAt: number): number {
    const { context, configuration } = this.#options;
    const name = this.#getClassOfWork(step);
    const classOfWork = configuration.current()?.declaration?.classes
      .find((each) => each.name === name);
    const share = getBudgetShare({
      elapsedMilliseconds: context.clock.monotonic() - startedAt,
      deadlineMilliseconds: step.manifest.deadlineSeconds * 1000,
      finishedShare: step.finishedCount / step.plan.length,
      isDeferrable: classOfWork?.deferrable ?? false,
    });
    return sumMaximumTokens(step.plan) * share;
  }

  #getTailPolicy(): (typeof TAIL_POLICIES)[TailPolicyName] {
    const name = this.#options.context.settings.stepTailPolicy;
    const isKnown = Object.hasOwn(TAIL_POLICIES, name);
    return TAIL_POLICIES[
      isKnown ? name as TailPolicyName : DEFAULT_TAIL_POLICY
    ];
  }

  #hasMissedDeadline(step: StepReplica, startedAt: number): boolean {
    const elapsedMilliseconds = this.#options.context.clock.monotonic() -
      startedAt;
    return elapsedMilliseconds > step.manifest.deadlineSeconds * 1000;
  }

  #dropStaleSamples(): void {
    for (const step of this.#options.directory.all()) {
      this.#dropStaleSamplesOf(step);
    }
  }

  #dropStaleSamplesOf(step: StepReplica): void {
    const { trainer, step: name, stalenessBoundVersions } = step.manifest;
    const newestVersion = this.#options.versions.newest(trainer);
    const droppedCount = step.dropStaleSamples({
      newestVersion,
      boundVersions: stalenessBoundVersions,
    });
    if (droppedCount === 0) return;
    this.#options.context.log.emit("staleSamplesDropped", {
      trainer,
      step: name,
      samples: droppedCount,
      newestVersion,
    });
  }
}

/**
 * Rounds the number of finished samples down to whole parts of the step, so that this node does not
 * publish a fact for every finished sample.
 */
function roundFinishedCount(step: StepReplica): number {
  const samplesPerPart = Math.max(
    1,
    Math.ceil(step.plan.length / PUBLISHED_PROGRESS_PARTS),
  );
  return Math.floor(step.finishedCount / samplesPerPart) * samplesPerPart;
}
