import { mayProcess } from "../decisions/allowed_regions.ts";
import {
  isLent,
  QUEUED_REQUESTS,
  VIEW_AGE_MILLISECONDS,
} from "../decisions/slot_share.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type {
  ServerRequests,
  SlotSharing,
} from "../installation/slot_sharing.ts";
import { BlockedSamples } from "./blocked_samples.ts";
import type { EngineAvailabilityOptions } from "./engine_availability_options.ts";
import type { EngineRequirements } from "./engine_request.ts";

/**
 * Maximum number of requests beyond its slots that an engine may get from all nodes together,
 * because this node learns the number of other nodes' requests with a delay.
 */
const MAXIMUM_EXCESS_REQUESTS = 1;

/** An engine that a waiting sample may be sent to. */
export interface CandidateEngine {
  readonly engine: BackendServerEntry;
  /** Whether other nodes may choose its slot at the same moment. */
  readonly isShared: boolean;
}

/** Tells which engines can run a sample, as far as a node knows. */
export class EngineAvailability {
  readonly #options: EngineAvailabilityOptions;
  #runningElsewhere: ReadonlyMap<string, number> = new Map();
  readonly #blocked: BlockedSamples;

  /** @param options - The registered engines, their limits and this node's use of them. */
  constructor(options: EngineAvailabilityOptions) {
    this.#options = options;
    this.#blocked = new BlockedSamples(options.clock);
  }

  /** Number of samples that other nodes run on each engine. */
  get runningElsewhere(): ReadonlyMap<string, number> {
    return this.#runningElsewhere;
  }

  /** Sets the number of samples that other nodes run on each engine. */
  setRunningElsewhere(runningElsewhere: ReadonlyMap<string, number>): void {
    this.#runningElsewhere = runningElsewhere;
  }

  /** Returns the engines that can run a sample now. */
  findAvailable(
    requirements: EngineRequirements,
  ): ReadonlyArray<BackendServerEntry> {
    return this.#ofService(requirements).filter((engine) =>
      this.isAvailable(engine, requirements)
    );
  }

  /**
   * Returns the engines that a waiting sample may be sent to now: those with a slot of this node's
   * share, else those whose slots are lent, else those of whose queue this node has a share. When a
   * sample has found none for a while, these are all that may have a slot.
   */
  findCandidates(
    requirements: EngineRequirements,
  ): ReadonlyArray<CandidateEngine> {
    const { sharing } = this.#options;
    const isShared = sharing !== undefined &&
      sharing.countNodes(requirements.service) > 1;
    const available = this.findAvailable(requirements);
    if (!isShared) {
      return available.length > 0
        ? available.map(toUnshared)
        : this.#findDoubtful(requirements).map(toUnshared);
    }
    return this.#findShared(available, { requirements, sharing });
  }

  /** Whether a waiting sample may be sent to an engine now. */
  isCandidate(
    engine: BackendServerEntry,
    requirements: EngineRequirements,
  ): boolean {
    const { sharing } = this.#options;
    if (this.isAvailable(engine, requirements)) {
      const isOwn = sharing === undefined ||
        sharing.isWithinShare(engine, this.#countRequests(engine));
      if (isOwn) return true;
    }
    return this.#isFree(engine, requirements, true) && this.#hasRoom(engine) &&
      this.findCandidates(requirements).some((candidate) =>
        candidate.engine === engine
      );
  }

  /** Whether samples wait for a slot of this node's share. */
  get isWaitingForShare(): boolean {
    return this.#blocked.size > 0;
  }

  /** Records that samples wait, as they have found no engine. */
  recordBlocked(requirements: ReadonlyArray<EngineRequirements>): void {
    for (const each of requirements) {
      const nodes = this.#options.sharing?.countNodes(each.service) ?? 1;
      if (nodes > 1) this.#blocked.add(each);
    }
  }

  /** Records that a sample gets an engine; those that have found none wait anew if it has a share. */
  recordAssigned(requirements: EngineRequirements): void {
    const { sharing } = this.#options;
    if (sharing === undefined || !this.#blocked.has(requirements)) return;
    const available = this.findAvailable(requirements);
    const unblocked = this.#findUnblocked(available, { requirements, sharing });
    if (unblocked.length > 0) this.#blocked.delete(requirements);
  }

  #findShared(
    available: ReadonlyArray<BackendServerEntry>,
    { requirements, sharing }: {
      readonly requirements: EngineRequirements;
      readonly sharing: SlotSharing;
    },
  ): ReadonlyArray<CandidateEngine> {
    const unblocked = this.#findUnblocked(available, { requirements, sharing });
    if (unblocked.length > 0) return unblocked;
    if (!this.#blocked.mayUseAny(requirements)) return [];
    return (available.length > 0 ? available : this.#findDoubtful(requirements))
      .map(toShared);
  }

  // Returns the engines that a sample may be sent to whether or not it has waited.
  #findUnblocked(
    available: ReadonlyArray<BackendServerEntry>,
    { requirements, sharing }: {
      readonly requirements: EngineRequirements;
      readonly sharing: SlotSharing;
    },
  ): ReadonlyArray<CandidateEngine> {
    const isOwn = (engine: BackendServerEntry, queue: number): boolean =>
      sharing.isWithinShare(
        { ...engine, slots: engine.slots + queue },
        this.#countRequests(engine),
      );
    const own = available.filter((engine) => isOwn(engine, 0));
    const requestsPerSlot = own.length > 0
      ? 0
      : this.#countRequestsPerSlot(requirements);
    const lent = own.length > 0
      ? []
      : available.filter((engine) =>
        isLent(engine.slots - this.countOccupiedSlots(engine), requestsPerSlot)
      );
    const queued = own.length > 0 || lent.length > 0
      ? []
      : this.#findDoubtful(requirements).filter((engine) =>
        isOwn(engine, QUEUED_REQUESTS)
      );
    return [
      ...own.map(toUnshared),
      ...lent.map(toShared),
      ...queued.map(toUnshared),
    ];
  }

  // Returns the engines that may have a slot, though they have refused requests, loaded weights or
  // seem to be full.
  #findDoubtful(
    requirements: EngineRequirements,
  ): ReadonlyArray<BackendServerEntry> {
    return this.#ofService(requirements).filter((engine) =>
      this.#isFree(engine, requirements, true) && this.#hasRoom(engine)
    );
  }

  // Returns the number of requests that other nodes are expected to send for each free slot before
  // they know of a request that is sent now.
  #countRequestsPerSlot(requirements: EngineRequirements): number {
    let free = 0;
    let elsewhere = 0;
    for (const engine of this.#ofService(requirements)) {
      free += Math.max(0, engine.slots - this.countOccupiedSlots(engine));
      elsewhere += this.#runningElsewhere.get(engine.identifier) ?? 0;
    }
    return elsewhere * VIEW_AGE_MILLISECONDS /
      this.#options.usualRunMilliseconds() / Math.max(1, free);
  }

  #countRequests({ identifier }: BackendServerEntry): ServerRequests {
    return {
      running: this.#options.states.get(identifier)?.running ?? 0,
      elsewhere: this.#runningElsewhere.get(identifier) ?? 0,
    };
  }

  /** Returns the engines that have a free slot for a sample, whether their limit allows it or not. */
  findFree(
    requirements: EngineRequirements,
  ): ReadonlyArray<BackendServerEntry> {
    return this.#ofService(requirements).filter((engine) =>
      this.#isFree(engine, requirements)
    );
  }

  /** Counts the engines of a sample's service: all, those that it may use, those that could run it now. */
  countEngines(
    requirements: EngineRequirements,
  ): {
    readonly engines: number;
    readonly usable: number;
    readonly available: number;
  } {
    return {
      engines: this.#ofService(requirements).length,
      usable: this.findUsable(requirements).length,
      available: this.findAvailable(requirements).length,
    };
  }

  /** Returns the engines whose weights, software and region a sample may use, free or not. */
  findUsable(
    requirements: EngineRequirements,
  ): ReadonlyArray<BackendServerEntry> {
    return this.#ofService(requirements).filter((engine) =>
      this.#isUsable(engine, requirements)
    );
  }

  /**
   * Returns the time at which the first of the engines that load the model of a sample may get it,
   * in monotonic milliseconds; Infinity when none loads it.
   */
  findLoadEnd(requirements: EngineRequirements): number {
    const { loads } = this.#options;
    const ends = this.findUsable(requirements).map(({ identifier }) => {
      const decision = loads.decide(identifier, requirements.model, true);
      return decision.kind === "wait" ? decision.until : Infinity;
    });
    return Math.min(Infinity, ...ends);
  }

  /**
   * Whether no engine can run a sample now, and either none has a weight version that the sample
   * may use or one of those that have it loads the sample's model.
   */
  isLoadingWeights(requirements: EngineRequirements): boolean {
    if (this.findAvailable(requirements).length > 0) return false;
    return this.findUsable(requirements).length === 0 ||
      this.findLoadEnd(requirements) < Infinity;
  }

  /** Whether an engine can run a sample now. */
  isAvailable(
    engine: BackendServerEntry,
    requirements: EngineRequirements,
  ): boolean {
    return this.#isFree(engine, requirements) && this.#hasRoom(engine);
  }

  /**
   * Returns the newest known weight version of a model on an engine; undefined when the engine's
   * stored entry has none.
   */
  getVersion(engine: BackendServerEntry, model: string): number | undefined {
    const stored = engine.weightVersions.get(model);
    if (stored === undefined) return undefined;
    const state = this.#options.states.get(engine.identifier);
    return Math.max(stored, state?.getReportedVersion(model) ?? 0);
  }

  /** Returns the newest known version of a model on an engine; 0 if none is known. */
  getKnownVersion(identifier: string, model: string): number {
    const { servers, states } = this.#options;
    const engine = servers.servers.get(identifier);
    const version = engine === undefined
      ? undefined
      : this.getVersion(engine, model);
    return version ?? states.get(identifier)?.getReportedVersion(model) ?? 0;
  }

  /**
   * Returns the number of samples of an engine's only model that other nodes run on it; 0 for an engine
   * with several models, as the records of other nodes do not tell the model of their runs.
   */
  countModelRunsElsewhere(identifier: string): number {
    const { servers } = this.#options;
    const models = servers.servers.get(identifier)?.weightVersions.size;
    return models === 1 ? this.#runningElsewhere.get(identifier) ?? 0 : 0;
  }

  /**
   * Returns the difference between the fullest and the emptiest engine that can run samples, as a
   * share of their slots; 0 without engines.
   */
  get loadSpread(): number {
    const { servers } = this.#options;
    const loads = [...servers.servers.values()]
      .filter(({ identifier, weightVersions, slots }) =>
        weightVersions.size > 0 && slots > 0 && servers.isServing(identifier)
      )
      .map((engine) => this.countOccupiedSlots(engine) / engine.slots);
    return loads.length === 0 ? 0 : Math.max(...loads) - Math.min(...loads);
  }

  /** Returns the number of slots occupied by all nodes. */
  countOccupiedSlots({ identifier }: BackendServerEntry): number {
    const running = this.#options.states.get(identifier)?.running ?? 0;
    return running + (this.#runningElsewhere.get(identifier) ?? 0);
  }

  /**
   * Returns the tokens that the runs of all nodes are expected to need, if the runs of other nodes
   * are like those of this node.
   * @param engine - The engine.
   * @param usualTokens - Tokens of a run while this node runs none on the engine.
   */
  countTokens(
    { identifier }: BackendServerEntry,
    usualTokens: number,
  ): number {
    const state = this.#options.states.get(identifier);
    const elsewhere = this.#runningElsewhere.get(identifier) ?? 0;
    const perRun = state !== undefined && state.running > 0
      ? state.tokens / state.running
      : usualTokens;
    return (state?.tokens ?? 0) + elsewhere * perRun;
  }

  #ofService(
    { service }: EngineRequirements,
  ): ReadonlyArray<BackendServerEntry> {
    return this.#options.servers.ofService(service);
  }

  #hasRoom({ identifier }: BackendServerEntry): boolean {
    return this.#options.limits.getWait(identifier) === 0;
  }

  #isFree(
    engine: BackendServerEntry,
    requirements: EngineRequirements,
    isScarce = false,
  ): boolean {
    const { servers, states, clock, loads } = this.#options;
    if (engine.service !== requirements.service) return false;
    if (!servers.isServing(engine.identifier)) return false;
    const occupied = this.countOccupiedSlots(engine);
    const state = states.get(engine.identifier);
    const hasSlot = state === undefined
      ? occupied < engine.slots
      : state.running < engine.slots &&
        occupied < engine.slots + MAXIMUM_EXCESS_REQUESTS &&
        state.isAccepting(clock.monotonic(), isScarce);
    if (!hasSlot || !this.#isUsable(engine, requirements)) {
      return false;
    }
    const { model } = requirements;
    return loads.decide(engine.identifier, model, isScarce).kind !== "wait";
  }

  #isUsable(
    engine: BackendServerEntry,
    requirements: EngineRequirements,
  ): boolean {
    const { model, minimumVersion, exactVersion, softwareVersion } =
      requirements;
    if (!mayProcess(requirements.allowedRegions, engine)) return false;
    if (
      softwareVersion !== undefined &&
      engine.softwareVersion !== softwareVersion
    ) return false;
    const known = this.getVersion(engine, model);
    if (known === undefined) return false;
    const expected = this.#options.loads.getExpectedVersion(
      engine.identifier,
      model,
    );
    const version = Math.max(known, expected);
    return version >= minimumVersion &&
      (exactVersion === undefined || version === exactVersion);
  }
}

function toUnshared(engine: BackendServerEntry): CandidateEngine {
  return { engine, isShared: false };
}

function toShared(engine: BackendServerEntry): CandidateEngine {
  return { engine, isShared: true };
}
