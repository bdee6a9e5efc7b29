import { create } from "@bufbuild/protobuf";
import {
  type FetchSamplesRequest,
  FetchSamplesRequestSchema,
  type FetchSamplesResponse,
} from "../../generated/snipepath/v1/peer_pb.ts";
import type { StepManifest } from "../../generated/snipepath/v1/records_pb.ts";
import type { Peer, PeerDirectory } from "../membership/peer_directory.ts";
import type { ReplicatedFacts } from "../membership/replicated_facts.ts";
import type { Clock } from "../utilities/clock.ts";
import { StepReplica } from "./step_replica.ts";
import {
  refuseUnknownStep,
  type StepManifests,
  toStepKey,
} from "./step_manifests.ts";
import { hasValidSampleCount } from "./step_plan.ts";
import { refuse, type StepRefusal } from "./step_refusal.ts";

/** Dependencies of the step directory. */
export interface StepDirectoryOptions {
  readonly node: string;
  readonly nodeStart: string;
  readonly clock: Clock;
  readonly manifests: StepManifests;
  readonly peers: PeerDirectory;
  readonly replicatedFacts: ReplicatedFacts;
}

/** Outcome of a step lookup. */
export type FindStepOutcome =
  | { readonly kind: "step"; readonly step: StepReplica }
  | StepRefusal;

/** Name of a step, which is unique for its trainer. */
export interface StepName {
  readonly trainer: string;
  readonly step: string;
}

/** Claim of a node that publishes itself as the owner of a step. */
export interface OwnershipClaim {
  readonly node: string;
  readonly epoch: string;
  /** The owner's entry in the peer directory. */
  readonly peer: Peer;
}

/**
 * Tracks the steps that this node knows and the peers that hold or own them.
 * @example
 * ```ts
 * const found = await directory.find({ trainer: "dots", step: "17" });
 * ```
 */
export class StepDirectory {
  readonly #options: StepDirectoryOptions;
  /** Latest known epoch of each step, by the key that `toStepKey` returns. */
  readonly #steps = new Map<string, StepReplica>();
  readonly #owned = new WeakSet<StepReplica>();

  /** @param options - Clock, manifests, peers and shared facts. */
  constructor(options: StepDirectoryOptions) {
    this.#options = options;
  }

  /** Returns all steps that this node knows. */
  all(): ReadonlyArray<StepReplica> {
    return [...this.#steps.values()];
  }

  /** Returns a step by its name; undefined when this node does not know it. */
  get(name: StepName): StepReplica | undefined {
    return this.#steps.get(toStepKey(name.trainer, name.step));
  }

  /**
   * Records a manifest and returns the step of the latest known epoch. A manifest of a later epoch
   * ends and replaces the step of the earlier epoch; a cancelled manifest ends its step.
   */
  recordManifest(manifest: StepManifest): StepReplica {
    const key = toStepKey(manifest.trainer, manifest.step);
    const known = this.#steps.get(key);
    if (known !== undefined && known.manifest.epoch >= manifest.epoch) {
      if (known.manifest.epoch === manifest.epoch && manifest.cancelled) {
        known.end();
      }
      return known;
    }
    known?.end();
    const step = new StepReplica(manifest, this.#options.clock);
    if (manifest.cancelled) step.end();
    this.#steps.set(key, step);
    return step;
  }

  /** Returns whether this node runs a step. */
  isOwned(step: StepReplica): boolean {
    return this.#owned.has(step);
  }

  /** Sets whether this node runs a step. */
  setOwned(step: StepReplica, isOwned: boolean): void {
    if (isOwned) this.#owned.add(step);
    else this.#owned.delete(step);
  }

  /** Removes a step from the directory. */
  remove(step: StepReplica): void {
    const key = toStepKey(step.manifest.trainer, step.manifest.step);
    if (this.#steps.get(key) === step) this.#steps.delete(key);
  }

  /** Returns the step if this node knows it, and otherwise finds it as `findNewest` does. */
  async find(name: StepName): Promise<FindStepOutcome> {
    const known = this.get(name);
    if (known !== undefined) return { kind: "step", step: known };
    return await this.findNewest(name);
  }

  /**
   * Finds the newest epoch of a step in the table. When the table is unavailable, returns the
   * newest epoch that this node or a peer that published a fact about the step knows.
   */
  async findNewest(name: StepName): Promise<FindStepOutcome> {
    const stored = await this.#options.manifests.get(name.trainer, name.step);
    if (stored.kind === "ok") {
      if (stored.value === undefined) {
        return refuseUnknownStep(name.trainer, name.step);
      }
      return { kind: "step", step: this.recordManifest(stored.value) };
    }
    for (const holder of this.holders(name)) {
      const response = await this.#fetchManifest(holder, name);
      const manifest = response?.manifest;
      if (manifest !== undefined && hasValidSampleCount(manifest)) {
        this.recordManifest(manifest);
      }
    }
    const step = this.get(name);
    if (step !== undefined) return { kind: "step", step };
    return refuse(
      "platformUnavailable",
      `The table is unavailable and no peer knows the step: ${stored.reason}`,
      { retryAfterMilliseconds: 1000 },
    );
  }

  /** Returns the live peers that published a fact about a step, the step's owner first. */
  holders(name: StepName): ReadonlyArray<Peer> {
    const key = toStepKey(name.trainer, name.step);
    const facts = this.#options.replicatedFacts.facts("step")
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

  /** Returns the claims of live peers to own a step. */
  claims(name: StepName): ReadonlyArray<OwnershipClaim> {
    const key = toStepKey(name.trainer, name.step);
    const peers = this.#options.peers.peers();
    return this.#options.replicatedFacts.facts("step")
      .filter((fact) => fact.key === key && fact.value.owner === fact.origin)
      .flatMap((fact) => {
        const peer = peers.find((each) =>
          each.node === fact.origin && each.nodeStart === fact.originStart
        );
        if (peer === undefined) return [];
        return [{ node: fact.origin, epoch: fact.value.epoch, peer }];
      });
  }

  /** Fetches finished samples of a step from a peer. */
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
