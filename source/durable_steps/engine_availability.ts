import { mayProcess } from "../decisions/allowed_regions.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { ServerLimits } from "../installation/server_limits.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { Clock } from "../utilities/clock.ts";
import type { EngineLoads } from "./engine_loads.ts";
import type { EngineRequirements } from "./engine_request.ts";
import type { EngineState } from "./engine_state.ts";

/**
 * Maximum number of requests beyond its slots that an engine may get from all nodes together,
 * because this node learns the number of other nodes' requests with a delay.
 */
const MAXIMUM_EXCESS_REQUESTS = 1;

/** What is known of the engines. */
export interface EngineAvailabilityOptions {
  readonly clock: Clock;
  readonly servers: ServerView;
  readonly limits: ServerLimits;
  /** States of the engines that this node has used, by identifier. */
  readonly states: ReadonlyMap<string, EngineState>;
  /** Loads of weights that nodes ordered. */
  readonly loads: EngineLoads;
}

/** Tells which engines can run a sample, as far as a node knows. */
export class EngineAvailability {
  readonly #options: EngineAvailabilityOptions;
  #runningElsewhere: ReadonlyMap<string, number> = new Map();

  /** @param options - The registered engines, their limits and this node's use of them. */
  constructor(options: EngineAvailabilityOptions) {
    this.#options = options;
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
   * Returns the engines that a waiting sample may be sent to now. If there is no other, these are
   * engines that refused a request or were ordered to load weights a while ago.
   */
  findCandidates(
    requirements: EngineRequirements,
  ): ReadonlyArray<BackendServerEntry> {
    const available = this.findAvailable(requirements);
    if (available.length > 0) return available;
    return this.#ofService(requirements).filter((engine) =>
      this.#isFree(engine, requirements, true) && this.#hasRoom(engine)
    );
  }

  /** Whether a waiting sample may be sent to an engine now. */
  isCandidate(
    engine: BackendServerEntry,
    requirements: EngineRequirements,
  ): boolean {
    if (this.isAvailable(engine, requirements)) return true;
    return this.#isFree(engine, requirements, true) && this.#hasRoom(engine) &&
      this.findAvailable(requirements).length === 0;
  }

  /** Returns the engines that have a free slot for a sample, whether their limit allows it or not. */
  findFree(
    requirements: EngineRequirements,
  ): ReadonlyArray<BackendServerEntry> {
    return this.#ofService(requirements).filter((engine) =>
      this.#isFree(engine, requirements)
    );
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
