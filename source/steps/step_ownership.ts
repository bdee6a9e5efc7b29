import { create } from "@bufbuild/protobuf";
import {
  StepFactSchema,
  StoreSamplesRequestSchema,
} from "../../generated/snipepath/v1/peer_pb.ts";
import type { HeldStep } from "./held_step.ts";
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
import { countPlannedTokens } from "./step_plan.ts";
import { getSpareShare } from "./tail_budget.ts";
import { TAIL_POLICIES, type TailPolicyName } from "./tail_policy.ts";
import type { WeightVersions } from "./weight_versions.ts";

const DEFAULT_TAIL_POLICY: TailPolicyName = "resumedTail";
const TICK_MILLISECONDS = 250;
const TAKEOVER_MILLISECONDS = 2000;
const TOLD_PARTS = 16;

/** What the owner of steps needs. */
export interface StepOwnershipOptions extends StepServiceOptions {
  readonly directory: StepDirectory;
  readonly fetcher: StepFetcher;
  readonly archive: SampleArchive;
  readonly versions: WeightVersions;
}

/**
 * Decides which steps this node runs. Ownership only saves work: two nodes that run the same step
 * can't make the trainer get a sample twice.
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
  readonly #owned = new Map<HeldStep, OwnedStep>();
  readonly #unclaimedSince = new WeakMap<HeldStep, number>();
  #isLeaving = false;
  readonly #told = new WeakMap<HeldStep, string>();

  /** @param options - What the owner of steps needs. */
  constructor(options: StepOwnershipOptions) {
    this.#options = options;
    this.#lifetime = new StepLifetime({
      clock: options.context.clock,
      told: options.told,
    });
    this.#probe = new OwnerProbe({
      clock: options.context.clock,
      ask: (peer) => this.#canReach(peer),
    });
  }

  /** Begins to run a step that was submitted here. */
  async accept(step: HeldStep): Promise<void> {
    if (step.hasEnded || this.#owned.has(step)) return;
    const owned = this.#own(step);
    const { manifest } = step;
    this.#options.context.log.emit("stepAccepted", {
      trainer: manifest.trainer,
      step: manifest.step,
      epoch: manifest.epoch,
      samples: step.plan.length,
    });
    await owned.copyManifest();
  }

  /** Ends a step on this node. */
  end(step: HeldStep, reason: string): void {
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
      generatedTokens: owned?.effort.generatedTokens ?? 0,
      secondRuns: owned?.effort.secondRuns ?? 0,
    });
    if (owned !== undefined) void this.#options.archive.remove(manifest);
  }

  /** Leaves all owned steps to other nodes once their samples have been copied. */
  async leave(): Promise<void> {
    this.#isLeaving = true;
    const leaving = [...this.#owned.values()];
    await Promise.all(leaving.map((owned) => this.#leaveStep(owned)));
  }

  /** Tells the other nodes what this one holds of a step. */
  tell(step: HeldStep): void {
    const { manifest } = step;
    const { node } = this.#options.context.settings;
    const fact = {
      epoch: manifest.epoch,
      owner: this.#owned.has(step) ? node : "",
      finished: this.#owned.has(step) ? roundFinished(step) : 0,
      wanted: step.plan.length,
      ended: step.hasEnded,
    };
    const text = JSON.stringify(fact);
    if (this.#told.get(step) === text) return;
    this.#told.set(step, text);
    this.#options.told.tell(
      "step",
      toStepKey(manifest.trainer, manifest.step),
      create(StepFactSchema, fact),
    );
  }

  /** Looks after all known steps until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options.context;
    const endWatch = this.#options.versions.watch(() => this.#dropTooOld());
    while (!signal.aborted) {
      for (const step of this.#options.directory.all()) this.#tick(step);
      await clock.sleep(TICK_MILLISECONDS, signal);
    }
    endWatch();
  }

  async #leaveStep(owned: OwnedStep): Promise<void> {
    const { step } = owned;
    owned.stop(this.#hasMissedDeadline(step, owned.startedAt));
    await owned.copyRest();
    this.#owned.delete(step);
    this.#options.directory.setOwned(step, false);
    this.tell(step);
  }

  #tick(step: HeldStep): void {
    if (this.#lifetime.isOver(step)) {
      if (!step.hasEnded) this.end(step, "told");
      this.#forgetLater(step);
      return;
    }
    if (this.#owned.has(step)) {
      this.#yieldIfOthersOwn(step);
      this.#dropTooOldOf(step);
      this.#noteWhole(step);
      this.tell(step);
      return;
    }
    this.#takeOverIfUnclaimed(step);
  }

  #noteWhole(step: HeldStep): void {
    const owned = this.#owned.get(step);
    if (owned === undefined || !step.isWhole()) return;
    const isMissed = this.#hasMissedDeadline(step, owned.startedAt);
    if (!owned.closeLedger(isMissed)) return;
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

  #forgetLater(step: HeldStep): void {
    if (!this.#lifetime.isForgettable(step)) return;
    this.#options.directory.forget(step);
    const { trainer, step: name } = step.manifest;
    this.#options.told.retract?.("step", toStepKey(trainer, name));
  }

  #yieldIfOthersOwn(step: HeldStep): void {
    const { node } = this.#options.context.settings;
    const winner = this.#standingClaims(step)
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
    this.tell(step);
    void this.#giveSamples(step, winner.node);
  }

  async #giveSamples(step: HeldStep, owner: string): Promise<void> {
    const { peers } = this.#options;
    const peer = peers.peers().find((each) => each.node === owner);
    if (peer === undefined || step.finished === 0) return;
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

  #takeOverIfUnclaimed(step: HeldStep): void {
    if (this.#isLeaving) return;
    const now = this.#options.context.clock.monotonic();
    if (this.#standingClaims(step).length > 0) {
      this.#unclaimedSince.delete(step);
      return;
    }
    const since = this.#unclaimedSince.get(step) ?? now;
    this.#unclaimedSince.set(step, since);
    if (now - since < TAKEOVER_MILLISECONDS) return;
    this.#unclaimedSince.delete(step);
    void this.#takeOver(step);
  }

  #standingClaims(step: HeldStep): ReadonlyArray<OwnershipClaim> {
    return this.#options.directory.claims(step.manifest)
      .filter((claim) => claim.epoch === step.manifest.epoch)
      .filter((claim) => !this.#probe.isGone(claim.peer));
  }

  async #canReach(peer: Peer): Promise<boolean> {
    const request = { trainer: "", step: "", maximum: 1 };
    const answer = await this.#options.directory.fetch(peer, request);
    return answer !== undefined;
  }

  async #takeOver(step: HeldStep): Promise<void> {
    await this.#options.fetcher.gather(step);
    if (step.hasEnded || this.#owned.has(step)) return;
    const owned = this.#own(step);
    this.#options.context.log.emit("stepTakenOver", {
      trainer: step.manifest.trainer,
      step: step.manifest.step,
      epoch: step.manifest.epoch,
      found: step.finished,
      wanted: step.plan.length,
    });
    await owned.copyManifest();
  }

  #own(step: HeldStep): OwnedStep {
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
      spareTokens: () => this.#getSpareTokens(step, startedAt),
      newestVersion: () => versions.newest(step.manifest.trainer),
      onFinished: (sample) => copier.add(sample),
    });
    const owned = new OwnedStep(step, { copier, runner, ledger, startedAt });
    this.#owned.set(step, owned);
    this.#options.directory.setOwned(step, true);
    this.tell(step);
    void owned.run(context.stopping);
    return owned;
  }

  #getClassOfWork(step: HeldStep): string {
    return this.#options.configuration.current()?.declaration?.trainers
      .find((trainer) => trainer.name === step.manifest.trainer)
      ?.classOfWork ?? "";
  }

  #getSpareTokens(step: HeldStep, startedAt: number): number {
    const { context, configuration } = this.#options;
    const name = this.#getClassOfWork(step);
    const classOfWork = configuration.current()?.declaration?.classes
      .find((each) => each.name === name);
    const share = getSpareShare({
      elapsedMilliseconds: context.clock.monotonic() - startedAt,
      deadlineMilliseconds: step.manifest.deadlineSeconds * 1000,
      finishedShare: step.finished / step.plan.length,
      isDeferrable: classOfWork?.deferrable ?? false,
    });
    return countPlannedTokens(step.plan) * share;
  }

  #getTailPolicy(): (typeof TAIL_POLICIES)[TailPolicyName] {
    const name = this.#options.context.settings.stepTailPolicy;
    const isKnown = Object.hasOwn(TAIL_POLICIES, name);
    return TAIL_POLICIES[
      isKnown ? name as TailPolicyName : DEFAULT_TAIL_POLICY
    ];
  }

  #hasMissedDeadline(step: HeldStep, startedAt: number): boolean {
    const passed = this.#options.context.clock.monotonic() - startedAt;
    return passed > step.manifest.deadlineSeconds * 1000;
  }

  #dropTooOld(): void {
    for (const step of this.#options.directory.all()) {
      this.#dropTooOldOf(step);
    }
  }

  #dropTooOldOf(step: HeldStep): void {
    const { trainer, step: name, stalenessBoundVersions } = step.manifest;
    const newestVersion = this.#options.versions.newest(trainer);
    const samples = step.dropTooOld({
      newestVersion,
      boundVersions: stalenessBoundVersions,
    });
    if (samples === 0) return;
    this.#options.context.log.emit("staleSamplesDropped", {
      trainer,
      step: name,
      samples,
      newestVersion,
    });
  }
}

function roundFinished(step: HeldStep): number {
  const part = Math.max(1, Math.ceil(step.plan.length / TOLD_PARTS));
  return Math.floor(step.finished / part) * part;
}
