import { create } from "@bufbuild/protobuf";
import {
  type FetchSamplesRequest,
  FetchSamplesRequestSchema,
  type FetchSamplesResponse,
} from "../../generated/snipepath/v1/peer_pb.ts";
import type { StepManifest } from "../../generated/snipepath/v1/records_pb.ts";
import type { Peer, PeerDirectory } from "../membership/peer_directory.ts";
import type { ToldState } from "../membership/told_state.ts";
import type { Clock } from "../utilities/clock.ts";
import { HeldStep } from "./held_step.ts";
import {
  refuseUnknownStep,
  type StepManifests,
  toStepKey,
} from "./step_manifests.ts";
import { isPlannable } from "./step_plan.ts";
import { refuse, type StepRefusal } from "./step_refusal.ts";

/** What finding steps needs. */
export interface StepDirectoryOptions {
  readonly node: string;
  readonly nodeStart: string;
  readonly clock: Clock;
  readonly manifests: StepManifests;
  readonly peers: PeerDirectory;
  readonly told: ToldState;
}

/** Where a step is to be found. */
export type FoundStep =
  | { readonly kind: "step"; readonly step: HeldStep }
  | StepRefusal;

/** Which step to find. */
export interface StepName {
  readonly trainer: string;
  readonly step: string;
}

/** A node that says it owns a step now. */
export interface OwnershipClaim {
  readonly node: string;
  readonly epoch: string;
  /** The owner as membership knows it. */
  readonly peer: Peer;
}

/**
 * The steps that this node knows, and who else holds or owns them.
 * @example
 * ```ts
 * const found = await directory.find({ trainer: "dots", step: "17" });
 * ```
 */
export class StepDirectory {
  readonly #options: StepDirectoryOptions;
  readonly #steps = new Map<string, HeldStep>();
  readonly #owned = new WeakSet<HeldStep>();

  /** @param options - What finding steps needs. */
  constructor(options: StepDirectoryOptions) {
    this.#options = options;
  }

  /** Returns the steps known here. */
  all(): ReadonlyArray<HeldStep> {
    return [...this.#steps.values()];
  }

  /** Returns a step known here. */
  get(name: StepName): HeldStep | undefined {
    return this.#steps.get(toStepKey(name.trainer, name.step));
  }

  /** Takes a manifest over; one of a later epoch replaces and ends the earlier one. */
  learn(manifest: StepManifest): HeldStep {
    const key = toStepKey(manifest.trainer, manifest.step);
    const known = this.#steps.get(key);
    if (known !== undefined && known.manifest.epoch >= manifest.epoch) {
      if (known.manifest.epoch === manifest.epoch && manifest.cancelled) {
        known.end();
      }
      return known;
    }
    known?.end();
    const step = new HeldStep(manifest, this.#options.clock);
    if (manifest.cancelled) step.end();
    this.#steps.set(key, step);
    return step;
  }

  /** Returns whether this node runs a step. */
  isOwned(step: HeldStep): boolean {
    return this.#owned.has(step);
  }

  /** Notes whether this node runs a step. */
  setOwned(step: HeldStep, isOwned: boolean): void {
    if (isOwned) this.#owned.add(step);
    else this.#owned.delete(step);
  }

  /** Forgets a step. */
  forget(step: HeldStep): void {
    const key = toStepKey(step.manifest.trainer, step.manifest.step);
    if (this.#steps.get(key) === step) this.#steps.delete(key);
  }

  /** Finds a step here, else in the table, else at peers that told of it. */
  async find(name: StepName): Promise<FoundStep> {
    const known = this.get(name);
    if (known !== undefined) return { kind: "step", step: known };
    return await this.findNewest(name);
  }

  /** Finds the newest epoch of a step in the table, else at peers that told of it, else here. */
  async findNewest(name: StepName): Promise<FoundStep> {
    const stored = await this.#options.manifests.get(name.trainer, name.step);
    if (stored.kind === "ok") {
      if (stored.value === undefined) {
        return refuseUnknownStep(name.trainer, name.step);
      }
      return { kind: "step", step: this.learn(stored.value) };
    }
    for (const holder of this.holders(name)) {
      const response = await this.#fetchManifest(holder, name);
      const manifest = response?.manifest;
      if (manifest !== undefined && isPlannable(manifest)) this.learn(manifest);
    }
    const step = this.get(name);
    if (step !== undefined) return { kind: "step", step };
    return refuse(
      "platformUnavailable",
      `The table did not answer and no peer knows the step: ${stored.reason}`,
      { retryAfterMilliseconds: 1000 },
    );
  }

  /** Returns the live peers that told of a step, its owner first. */
  holders(name: StepName): ReadonlyArray<Peer> {
    const key = toStepKey(name.trainer, name.step);
    const facts = this.#options.told.facts("step")
      .filter((fact) => fact.key === key);
    const peers = this.#options.peers.peers();
    return facts
      .map((fact) => ({
        peer: peers.find((peer) =>
          peer.node === fact.origin && peer.nodeStart === fact.originStart
        ),
        isOwner: fact.value.owner === fact.origin,
      }))
      .sort((left, right) => Number(right.isOwner) - Number(left.isOwner))
      .flatMap(({ peer }) => peer === undefined ? [] : [peer]);
  }

  /** Returns the live nodes, this one excluded, that claim to own a step. */
  claims(name: StepName): ReadonlyArray<OwnershipClaim> {
    const key = toStepKey(name.trainer, name.step);
    const peers = this.#options.peers.peers();
    return this.#options.told.facts("step")
      .filter((fact) => fact.key === key && fact.value.owner === fact.origin)
      .flatMap((fact) => {
        const peer = peers.find((each) =>
          each.node === fact.origin && each.nodeStart === fact.originStart
        );
        if (peer === undefined) return [];
        return [{ node: fact.origin, epoch: fact.value.epoch, peer }];
      });
  }

  /** Asks a peer for finished samples of a step. */
  fetch(
    peer: Peer,
    request: Partial<FetchSamplesRequest> & StepName,
  ): Promise<FetchSamplesResponse | undefined> {
    const { $typeName: _name, $unknown: _unknown, ...fields } = request;
    return this.#options.peers.fetchSamples(
      peer,
      create(FetchSamplesRequestSchema, fields),
    );
  }

  #fetchManifest(
    peer: Peer,
    name: StepName,
  ): Promise<FetchSamplesResponse | undefined> {
    const known = this.get(name);
    const held = new Uint8Array(Math.ceil((known?.plan.length ?? 0) / 8));
    return this.fetch(peer, { ...name, held: held.fill(255), maximum: 1 });
  }
}
