import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { Clock } from "../utilities/clock.ts";

/**
 * Backoff after the first refusal of an engine, for example because it is full or loading weights.
 * A load takes about 1 s.
 */
const REFUSAL_BACKOFF_MILLISECONDS = 60;
const MAXIMUM_REFUSAL_BACKOFF_MILLISECONDS = 250;
/**
 * Maximum number of requests beyond its slots that an engine may get from all nodes together,
 * because this node learns the number of other nodes' requests with a delay.
 */
const MAXIMUM_EXCESS_REQUESTS = 1;
const FAILURE_BACKOFF_MILLISECONDS = 500;
const MAXIMUM_FAILURE_BACKOFF_MILLISECONDS = 4000;
/** Weight of a new measurement in the moving average of an engine's time per event. */
const EVENT_TIME_WEIGHT = 0.15;
/** An engine is slow if its time per event exceeds this multiple of an available engine's time. */
const SLOW_FACTOR = 2;
/** Time after an engine's last event for which its measured time per event is used. */
const EVENT_TIME_VALIDITY_MILLISECONDS = 4000;

/** The requirements of a sample for an engine. */
export interface EngineRequirements {
  readonly service: string;
  readonly model: string;
  /** Oldest weight version that may be used. */
  readonly minimumVersion: number;
  /** The only weight version that may be used; undefined allows any from `minimumVersion` on. */
  readonly exactVersion: number | undefined;
  /** Priority of the sample; a smaller rank gets an engine first. */
  readonly rank: number;
  /** Identifier of an engine that is used only if no other is available. */
  readonly avoidedEngine: string | undefined;
}

interface EngineWaiter {
  readonly requirements: EngineRequirements;
  readonly resolve: (engine: BackendServerEntry | undefined) => void;
}

interface EngineState {
  running: number;
  /** Number of running requests that the engine has not started to answer. */
  unanswered: number;
  /** Number of failures since the engine's last event. */
  failures: number;
  /** Number of refusals since the engine last ran a request. */
  refusals: number;
  /** Monotonic time, in milliseconds, at which the backoff ends. */
  backoffUntil: number;
  /** Moving average of the milliseconds per event; undefined before the first measurement. */
  eventMilliseconds: number | undefined;
  /** Monotonic time, in milliseconds, of the last measurement. */
  eventTimeMeasuredAt: number;
  /**
   * Weight versions by model that the engine reported, often newer than those in its stored entry.
   */
  readonly versions: Map<string, number>;
  /** Version that a node ordered and that the pool assumes to be loaded until `until`. */
  expected: ExpectedVersion | undefined;
}

interface ExpectedVersion {
  readonly model: string;
  readonly version: number;
  /** Monotonic time, in milliseconds, at which the assumption ends. */
  readonly until: number;
}

/** Assigns engine slots to samples in the order of their ranks. */
export class EnginePool {
  readonly #clock: Clock;
  readonly #servers: ServerView;
  readonly #states = new Map<string, EngineState>();
  #waiting: EngineWaiter[] = [];
  #runningElsewhere: ReadonlyMap<string, number> = new Map();
  #isAssignmentScheduled = false;

  /**
   * @param clock - Measures backoffs and event times.
   * @param servers - The registered engines.
   */
  constructor(clock: Clock, servers: ServerView) {
    this.#clock = clock;
    this.#servers = servers;
    servers.watch(() => {
      this.#removeUnregistered();
      this.#assignEngines();
    });
  }

  /** Number of samples that wait for an engine. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /** Returns the number of this node's samples that run on an engine. */
  running(identifier: string): number {
    return this.#states.get(identifier)?.running ?? 0;
  }

  /**
   * Waits for a free slot on an engine. The caller must return the slot with `release`.
   * @returns The engine; undefined when the signal was aborted first.
   */
  acquire(
    requirements: EngineRequirements,
    signal: AbortSignal,
  ): Promise<BackendServerEntry | undefined> {
    if (signal.aborted) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      const waiting: EngineWaiter = {
        requirements,
        resolve: (engine) => {
          signal.removeEventListener("abort", onAbort);
          resolve(engine);
        },
      };
      const onAbort = (): void => {
        this.#waiting = this.#waiting.filter((other) => other !== waiting);
        resolve(undefined);
      };
      signal.addEventListener("abort", onAbort, { once: true });
      const index = this.#waiting.findIndex((other) =>
        other.requirements.rank > requirements.rank
      );
      if (index < 0) this.#waiting.push(waiting);
      else this.#waiting.splice(index, 0, waiting);
      this.#assignEngines();
    });
  }

  /**
   * Records that an engine started to answer a request or that the request failed before an answer.
   */
  recordResponse(identifier: string): void {
    this.#getState(identifier).unanswered -= 1;
  }

  /** Records that an engine runs a request, and resets the engine's number of refusals. */
  recordStart(identifier: string): void {
    const state = this.#getState(identifier);
    if (state.refusals === 0) return;
    state.refusals = 0;
    this.#assignEngines();
  }

  /** Frees a slot of an engine that `acquire` assigned. */
  release(identifier: string): void {
    this.#getState(identifier).running -= 1;
    this.#assignEngines();
  }

  /**
   * Records that an engine refused a request, failed it with status 500 or used a weight version
   * that is not allowed, and starts a backoff unless one is in progress.
   */
  recordRefusal(identifier: string): void {
    const state = this.#getState(identifier);
    // Concurrent requests are refused together and count as one refusal.
    if (state.backoffUntil > this.#clock.monotonic()) return;
    const pause = REFUSAL_BACKOFF_MILLISECONDS * 2 ** state.refusals;
    state.refusals += 1;
    this.#backOff(
      identifier,
      Math.min(pause, MAXIMUM_REFUSAL_BACKOFF_MILLISECONDS),
    );
  }

  /**
   * Records that an engine failed, and starts a backoff that doubles with each consecutive failure.
   */
  recordFailure(identifier: string): void {
    const state = this.#getState(identifier);
    const pause = FAILURE_BACKOFF_MILLISECONDS * 2 ** state.failures;
    state.failures += 1;
    this.#backOff(
      identifier,
      Math.min(pause, MAXIMUM_FAILURE_BACKOFF_MILLISECONDS),
    );
  }

  /**
   * Records the time that an engine took for an event, and resets its numbers of failures and
   * refusals.
   * @param identifier - The engine.
   * @param milliseconds - Time since the previous event of the same response.
   */
  recordEvent(identifier: string, milliseconds: number): void {
    const state = this.#getState(identifier);
    state.failures = 0;
    state.refusals = 0;
    const average = state.eventMilliseconds ?? milliseconds;
    state.eventMilliseconds = average +
      EVENT_TIME_WEIGHT * (milliseconds - average);
    state.eventTimeMeasuredAt = this.#clock.monotonic();
  }

  /** Records the weight version of a model that an engine reported. */
  recordVersion(identifier: string, model: string, version: number): void {
    const { versions } = this.#getState(identifier);
    versions.set(model, Math.max(version, versions.get(model) ?? 0));
  }

  /**
   * Assumes for a limited time that an engine has loaded an ordered version.
   * @param load - The engine, the model and the ordered version.
   * @param milliseconds - Time for which the assumption holds.
   */
  expectVersion(
    load: {
      readonly engine: string;
      readonly model: string;
      readonly version: number;
    },
    milliseconds: number,
  ): void {
    const state = this.#getState(load.engine);
    const { model, version } = load;
    const { expected } = state;
    if (expected?.model === model && expected.version >= version) return;
    const until = this.#clock.monotonic() + milliseconds;
    state.expected = { model, version, until };
    this.#assignEngines();
  }

  /** Sets the number of samples that other nodes run on each engine. */
  setRunningElsewhere(runningElsewhere: ReadonlyMap<string, number>): void {
    this.#runningElsewhere = runningElsewhere;
    this.#assignEngines();
  }

  /** Returns the number of this node's running samples by engine, for engines that run any. */
  runningByEngine(): Readonly<Record<string, number>> {
    const running = [...this.#states].filter(([, state]) => state.running > 0);
    return Object.fromEntries(
      running.map(([identifier, state]) => [identifier, state.running]),
    );
  }

  /**
   * Returns the newest known weight version of a model on an engine; undefined when the engine's
   * stored entry has none.
   */
  getVersion(engine: BackendServerEntry, model: string): number | undefined {
    const stored = engine.weightVersions.get(model);
    const reported = this.#states.get(engine.identifier)?.versions.get(model);
    if (stored === undefined) return undefined;
    return Math.max(stored, reported ?? 0);
  }

  /** Whether an engine is much slower than an available one that could continue the sample. */
  hasFasterAvailable(
    identifier: string,
    requirements: EngineRequirements,
  ): boolean {
    const eventMilliseconds = this.#getEventMilliseconds(identifier);
    if (eventMilliseconds === undefined) return false;
    return this.#findAvailable(requirements).some((engine) => {
      if (engine.identifier === identifier) return false;
      const other = this.#getEventMilliseconds(engine.identifier);
      return other !== undefined && eventMilliseconds > SLOW_FACTOR * other;
    });
  }

  #getEventMilliseconds(identifier: string): number | undefined {
    const state = this.#states.get(identifier);
    if (state?.eventMilliseconds === undefined) return undefined;
    const age = this.#clock.monotonic() - state.eventTimeMeasuredAt;
    return age < EVENT_TIME_VALIDITY_MILLISECONDS
      ? state.eventMilliseconds
      : undefined;
  }

  #assignEngines(): void {
    const unassigned: EngineWaiter[] = [];
    for (const waiting of this.#waiting) {
      const engine = this.#chooseEngine(waiting.requirements);
      if (engine === undefined) {
        unassigned.push(waiting);
        continue;
      }
      const state = this.#getState(engine.identifier);
      state.running += 1;
      state.unanswered += 1;
      waiting.resolve(engine);
    }
    this.#waiting = unassigned;
  }

  #chooseEngine(
    requirements: EngineRequirements,
  ): BackendServerEntry | undefined {
    let best: BackendServerEntry | undefined;
    let lowest = Infinity;
    for (const engine of this.#findAvailable(requirements)) {
      const cost = this.#getCost(engine, requirements);
      if (cost < lowest) [best, lowest] = [engine, cost];
    }
    return best;
  }

  #findAvailable(
    requirements: EngineRequirements,
  ): ReadonlyArray<BackendServerEntry> {
    const now = this.#clock.monotonic();
    return this.#servers.ofService(requirements.service).filter((engine) => {
      const version = this.#getExpectedVersion(engine, requirements.model);
      if (version === undefined || version < requirements.minimumVersion) {
        return false;
      }
      if (
        requirements.exactVersion !== undefined &&
        version !== requirements.exactVersion
      ) {
        return false;
      }
      const state = this.#states.get(engine.identifier);
      if (state === undefined) {
        return this.#countOccupiedSlots(engine) < engine.slots;
      }
      // After a refusal, only one request at a time probes whether the engine accepts more.
      const isProbed = state.refusals > 0 && state.unanswered > 0;
      return !isProbed && state.running < engine.slots &&
        state.backoffUntil <= now &&
        this.#countOccupiedSlots(engine) <
          engine.slots + MAXIMUM_EXCESS_REQUESTS;
    });
  }

  // Returns the cost of using an engine, mostly from its occupied slots and its time per event. A
  // newer version lowers the cost slightly, as an engine with an old version has to load sooner.
  #getCost(
    engine: BackendServerEntry,
    requirements: EngineRequirements,
  ): number {
    const occupied = this.#countOccupiedSlots(engine) / engine.slots;
    const eventMilliseconds = this.#getEventMilliseconds(engine.identifier);
    const version = this.getVersion(engine, requirements.model) ?? 0;
    const isAvoided = engine.identifier === requirements.avoidedEngine;
    return (1 + occupied) * (eventMilliseconds ?? 1) + (isAvoided ? 1e6 : 0) -
      0.01 * Math.min(50, version - requirements.minimumVersion);
  }

  // Returns the number of slots occupied by all nodes, as far as this node knows.
  #countOccupiedSlots({ identifier }: BackendServerEntry): number {
    return this.running(identifier) +
      (this.#runningElsewhere.get(identifier) ?? 0);
  }

  #getExpectedVersion(
    engine: BackendServerEntry,
    model: string,
  ): number | undefined {
    const version = this.getVersion(engine, model);
    const expected = this.#states.get(engine.identifier)?.expected;
    const isAssumed = version !== undefined && expected?.model === model &&
      expected.until > this.#clock.monotonic();
    return isAssumed ? Math.max(version, expected.version) : version;
  }

  #backOff(identifier: string, milliseconds: number): void {
    const state = this.#getState(identifier);
    const until = this.#clock.monotonic() + milliseconds;
    state.backoffUntil = Math.max(state.backoffUntil, until);
    if (this.#isAssignmentScheduled) return;
    this.#isAssignmentScheduled = true;
    void this.#clock.sleep(milliseconds + 1).then(() => {
      this.#isAssignmentScheduled = false;
      this.#assignEngines();
    });
  }

  #removeUnregistered(): void {
    for (const [identifier, state] of this.#states) {
      const isUnregistered = !this.#servers.servers.has(identifier);
      if (isUnregistered && state.running === 0) {
        this.#states.delete(identifier);
      }
    }
  }

  #getState(identifier: string): EngineState {
    let state = this.#states.get(identifier);
    if (state === undefined) {
      state = {
        running: 0,
        unanswered: 0,
        failures: 0,
        refusals: 0,
        backoffUntil: 0,
        eventMilliseconds: undefined,
        eventTimeMeasuredAt: 0,
        versions: new Map(),
        expected: undefined,
      };
      this.#states.set(identifier, state);
    }
    return state;
  }
}
