import { BLOCKED_MILLISECONDS } from "../decisions/slot_share.ts";
import { type QueuedSample, SampleQueue } from "../decisions/sample_queue.ts";
import type { RunningEngine } from "../decisions/stalled_engines.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { ServerLimits } from "../installation/server_limits.ts";
import type { SlotSharing } from "../installation/slot_sharing.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { Rendezvous } from "../membership/rendezvous.ts";
import type { Clock } from "../utilities/clock.ts";
import { EngineAvailability } from "./engine_availability.ts";
import { EnginePlacement, type RunningText } from "./engine_placement.ts";
import { EngineLoads, type ExpectedLoad } from "./engine_loads.ts";
import type { EngineRequest, EngineRequirements } from "./engine_request.ts";
import { EngineStallWatch, type WatchedRun } from "./engine_stall_watch.ts";
import { EngineState } from "./engine_state.ts";
import type { EngineUseReport } from "./engine_use_report.ts";

/** Minimum interval between two selections of the groups that are deferred. */
const PLAN_INTERVAL_MILLISECONDS = 250;
/** Time of a run that is assumed before the first one. */
const INITIAL_RUN_MILLISECONDS = 1000;
/** Weight of a new run in the moving average of the expected time of runs. */
const RUN_WEIGHT = 0.05;
/** Expected remaining run time of a sample that another node runs. */
const RUN_ELSEWHERE_MILLISECONDS = 500;

interface EngineWaiter extends QueuedSample<EngineRequirements> {
  readonly request: EngineRequest;
  readonly resolve: (engine: BackendServerEntry | undefined) => void;
}

/** Assigns engine slots to samples. */
export class EnginePool {
  readonly #clock: Clock;
  readonly #servers: ServerView;
  readonly #limits: ServerLimits;
  readonly #states = new Map<string, EngineState>();
  readonly #queue = new SampleQueue<EngineRequirements, EngineWaiter>();
  /** Monotonic time, in milliseconds, at which samples that found no share are assigned. */
  #shareWaitEndsAt = 0;
  readonly #placement: EnginePlacement;
  readonly #availability: EngineAvailability;
  readonly #loads: EngineLoads;
  readonly #report: EngineUseReport | undefined;
  #usualRunMilliseconds = INITIAL_RUN_MILLISECONDS;
  readonly #finishesRunsBeforeLoads: (service: string) => boolean;
  /** Monotonic time, in milliseconds, at which engines are assigned as a load is expected to end. */
  #loadEndAt = 0;
  #isAssignmentScheduled = false;
  /** Monotonic time, in milliseconds, from which the deferred groups are selected again. */
  #nextPlanAt = 0;
  /** Expected end of each of this node's runs, in monotonic milliseconds. */
  readonly #expectedEnds = new Map<EngineRequest, number>();
  readonly #stallWatch: EngineStallWatch;
  /** Monotonic time, in milliseconds, at which engines are assigned as a limit allows a sample. */
  #roomAt = 0;

  /**
   * @param clock - Measures backoffs and event times.
   * @param engines - The registered engines, their limits, whether an idle connection to one is open,
   * and the number of tokens that an engine of a service has memory for, 0 when it is not known.
   */
  constructor(
    clock: Clock,
    engines: {
      readonly servers: ServerView;
      readonly limits: ServerLimits;
      /** Divides the free slots between the nodes; without it, all belong to this one. */
      readonly sharing?: SlotSharing;
      /** Orders the engines of a prompt; without it, prompts stay where this node sent them. */
      readonly rendezvous?: Rendezvous;
      readonly report?: EngineUseReport;
      readonly isConnected: (engine: BackendServerEntry) => boolean;
      readonly findMemoryTokens: (service: string) => number;
      /** Whether the engines of a service finish their runs before they load weights. */
      readonly finishesRunsBeforeLoads?: (service: string) => boolean;
      /** Called while runs wait and no engine is heard. */
      readonly onQuiet?: () => void;
    },
  ) {
    const { servers, limits } = engines;
    this.#clock = clock;
    this.#servers = servers;
    this.#limits = limits;
    this.#report = engines.report;
    this.#loads = new EngineLoads({
      clock,
      report: engines.report,
      getKnownVersion: (identifier, model) =>
        this.#getKnownVersion(identifier, model),
    });
    this.#availability = new EngineAvailability({
      clock,
      servers,
      limits,
      states: this.#states,
      loads: this.#loads,
      sharing: engines.sharing,
      usualRunMilliseconds: () => this.#usualRunMilliseconds,
    });
    this.#finishesRunsBeforeLoads = engines.finishesRunsBeforeLoads ??
      (() => false);
    this.#placement = new EnginePlacement({
      clock,
      availability: this.#availability,
      states: this.#states,
      sharing: engines.sharing,
      rendezvous: engines.rendezvous,
      report: engines.report,
      isConnected: engines.isConnected,
      findMemoryTokens: engines.findMemoryTokens,
    });
    this.#stallWatch = new EngineStallWatch({
      clock,
      listRunning: () => this.#listRunning(),
      usualEventMilliseconds: () => this.usualEventMilliseconds,
      findAvailable: (requirements) =>
        this.#availability.findAvailable(requirements),
      onQuiet: () => engines.onQuiet?.(),
    });
    servers.watch(() => {
      this.#removeUnregistered();
      this.#assignEngines();
    });
    limits.watch(() => this.#assignEngines());
  }

  /** Number of samples that wait for an engine. */
  get waiting(): number {
    return this.#queue.size;
  }

  /**
   * Difference between the fullest and the emptiest engine, as a share of their slots and as far as
   * this node knows.
   */
  get loadSpread(): number {
    return this.#availability.loadSpread;
  }

  /** Returns the number of this node's samples that run on an engine. */
  running(identifier: string): number {
    return this.#states.get(identifier)?.running ?? 0;
  }

  /** Returns the number of samples of all nodes that run on an engine, as far as this node knows. */
  countOccupiedSlots(engine: BackendServerEntry): number {
    return this.#availability.countOccupiedSlots(engine);
  }

  /** Usual time for one event at the engines with a recent measurement, in milliseconds. */
  get usualEventMilliseconds(): number {
    return this.#placement.usualEventMilliseconds;
  }

  /**
   * Waits for a free slot on an engine. The caller must return the slot with `release`.
   * @returns The engine; undefined when the signal was aborted or the waits were restarted first.
   */
  acquire(
    request: EngineRequest,
    signal: AbortSignal,
  ): Promise<BackendServerEntry | undefined> {
    if (signal.aborted) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      const { requirements, urgency } = request;
      const waiter: EngineWaiter = {
        urgency,
        requirements,
        requirementsKey: toRequirementsKey(requirements),
        request,
        resolve: (engine) => {
          signal.removeEventListener("abort", onAbort);
          resolve(engine);
        },
      };
      const onAbort = (): void => {
        this.#queue.remove(waiter);
        resolve(undefined);
      };
      signal.addEventListener("abort", onAbort, { once: true });
      this.#queue.add(waiter);
      this.#nextPlanAt = 0;
      this.#scheduleAssignment();
    });
  }

  /**
   * Ends all waits without an engine, so that their samples ask again with the requirements that are
   * in force.
   */
  restartWaits(): void {
    for (const waiter of this.#queue.samples) {
      this.#queue.remove(waiter);
      waiter.resolve(undefined);
    }
  }

  /**
   * Records that an engine started to answer a request or that the request failed before an answer.
   */
  recordResponse(identifier: string): void {
    this.#getState(identifier).unanswered -= 1;
  }

  /** Records that an engine sent an answer or an event. */
  recordHeard(identifier: string): void {
    this.#getState(identifier).quietSince = this.#clock.monotonic();
    this.#stallWatch.recordHeard();
  }

  /**
   * Watches whether the engine of a run stalls.
   * @returns A function that ends the watch.
   */
  watchRun(run: WatchedRun): () => void {
    return this.#stallWatch.add(run);
  }

  /**
   * Records that an engine runs a request of a model, and resets the engine's number of refusals.
   */
  recordStart(identifier: string, model: string): void {
    const wasOpen = this.#loads.decide(identifier, model).kind === "open";
    this.#loads.recordRun(identifier, model);
    const hadRefused = this.#getState(identifier).recordStart();
    if (hadRefused || !wasOpen) this.#assignEngines();
  }

  /** Frees a slot of an engine that `acquire` assigned for a request. */
  release(identifier: string, request: EngineRequest): void {
    const state = this.#getState(identifier);
    state.running -= 1;
    state.tokens -= request.expectedTokens;
    this.#expectedEnds.delete(request);
    this.#loads.recordEnd(identifier, request);
    const engine = this.#servers.servers.get(identifier);
    if (engine !== undefined) this.#fill(engine);
  }

  /**
   * Records that an engine refused a request without running it. Unless a load of the model is the
   * likely cause, a backoff starts.
   */
  recordBusy(identifier: string, model: string): void {
    if (this.#loads.recordRefusal(identifier, model)) {
      this.#report?.recordRefusal("loading");
      return;
    }
    const engine = this.#servers.servers.get(identifier);
    // The refused request is one of those that count.
    const isFull = engine !== undefined &&
      this.#availability.countOccupiedSlots(engine) > engine.slots;
    this.#report?.recordRefusal(isFull ? "full" : "other");
    this.recordRefusal(identifier);
  }

  /**
   * Records that an engine refused a request, failed it with status 500 or used a weight version
   * that is not allowed, and starts a backoff unless one is in progress.
   */
  recordRefusal(identifier: string): void {
    const pause = this.#getState(identifier).recordRefusal(
      this.#clock.monotonic(),
    );
    this.#placement.forgetPrompts(identifier);
    if (pause !== undefined) this.#assignAfter(pause);
  }

  /**
   * Records that an engine failed, and starts a backoff that doubles with each consecutive failure.
   */
  recordFailure(identifier: string): void {
    this.#placement.forgetPrompts(identifier);
    const now = this.#clock.monotonic();
    const pause = this.#getState(identifier).recordFailure(now);
    if (pause !== undefined) this.#assignAfter(pause);
  }

  /**
   * Records the time that an engine took for an event, and resets its numbers of failures and
   * refusals. A time that a load of weights may have interrupted is not measured.
   * @param identifier - The engine.
   * @param milliseconds - Time since the previous event of the same response.
   */
  recordEvent(identifier: string, milliseconds: number): void {
    const now = this.#clock.monotonic();
    const state = this.#getState(identifier);
    state.recordEvent();
    if (this.#loads.mayHaveInterrupted(identifier, now - milliseconds)) return;
    state.speed.record(milliseconds, now);
  }

  /** Records the weight version of a model that an engine reported. */
  recordVersion(identifier: string, model: string, version: number): void {
    this.#loads.recordVersion(identifier, model, version);
    const isNewer = this.#getState(identifier).recordVersion(model, version);
    if (!isNewer) return;
    // An engine discards the prompts it has read when it loads weights.
    this.#placement.forgetPrompts(identifier);
    this.#scheduleAssignment();
  }

  /** Assumes for a limited time that an engine loads an ordered version. */
  expectLoad(load: ExpectedLoad): void {
    const { servers } = this.#servers;
    const service = servers.get(load.engine)?.service ?? "";
    const engines = this.#servers.ofService(service).length;
    const isNew = this.#loads.expect(load, {
      shareOfService: 1 / Math.max(1, engines),
      isFinishingRuns: this.#finishesRunsBeforeLoads(service),
      runningElsewhere: this.#countModelRunsElsewhere(load.engine),
    });
    if (isNew) this.#scheduleAssignment();
  }

  /** Sets the number of samples that other nodes run on each engine. */
  setRunningElsewhere(runningElsewhere: ReadonlyMap<string, number>): void {
    this.#availability.setRunningElsewhere(runningElsewhere);
    this.#loads.setRunningElsewhere(runningElsewhere);
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
    return this.#availability.getVersion(engine, model);
  }

  /** Whether an engine could run a sample with these requirements now. */
  hasAvailable(requirements: EngineRequirements): boolean {
    return this.#availability.findAvailable(requirements).length > 0;
  }

  /** Whether no engine could run a sample with these requirements now because of weight loads. */
  isLoadingWeights(requirements: EngineRequirements): boolean {
    return this.#availability.isLoadingWeights(requirements);
  }

  /** Decides whether a text leaves its engine for a faster one; the caller must move it then. */
  shouldMove(text: RunningText): boolean {
    return this.#placement.shouldMove(text);
  }

  #getKnownVersion(identifier: string, model: string): number {
    const engine = this.#servers.servers.get(identifier);
    const version = engine === undefined
      ? undefined
      : this.#availability.getVersion(engine, model);
    return version ?? this.#states.get(identifier)?.getReportedVersion(model) ??
      0;
  }

  // The records of other nodes do not tell the model of their runs.
  #countModelRunsElsewhere(identifier: string): number {
    const models = this.#servers.servers.get(identifier)?.weightVersions.size;
    if (models !== 1) return 0;
    return this.#availability.runningElsewhere.get(identifier) ?? 0;
  }

  #listRunning(): ReadonlyArray<RunningEngine> {
    return [...this.#states]
      .filter(([, state]) => state.running > 0)
      .map(([identifier, state]) => ({
        identifier,
        quietSince: state.quietSince,
        isLoading: this.#loads.isLoading(identifier),
      }));
  }

  // Collects the samples that are added in one tick, since the most urgent one may come last.
  #scheduleAssignment(): void {
    if (this.#isAssignmentScheduled) return;
    this.#isAssignmentScheduled = true;
    queueMicrotask(() => {
      this.#isAssignmentScheduled = false;
      this.#assignEngines();
    });
  }

  #assignEngines(): void {
    this.#planGroups();
    while (this.#queue.size > 0) {
      const next = this.#queue.take((requirements) =>
        this.#availability.findCandidates(requirements).length > 0
      );
      if (next === undefined) return this.#planNextAssignment();
      const engine = this.#placement.choose(next.request);
      if (engine !== undefined) this.#start(next, engine);
    }
  }

  // Assigns the free slots of one engine; other engines have no slot that a waiting sample can use.
  #fill(engine: BackendServerEntry): void {
    if (this.#queue.size === 0) return;
    this.#planGroups();
    for (;;) {
      const next = this.#queue.take((requirements) =>
        this.#availability.isCandidate(engine, requirements)
      );
      if (next === undefined) return this.#planNextAssignment();
      this.#start(next, engine);
    }
  }

  #planNextAssignment(): void {
    this.#waitForLoads();
    this.#waitForShare();
    this.#waitForRoom();
  }

  // Waits until samples may be sent to engines that belong to no share of this node.
  #waitForShare(): void {
    if (!this.#availability.isWaitingForShare || this.#queue.size === 0) return;
    const now = this.#clock.monotonic();
    if (this.#shareWaitEndsAt > now) return;
    this.#shareWaitEndsAt = now + BLOCKED_MILLISECONDS;
    this.#assignAfter(BLOCKED_MILLISECONDS);
  }

  // Waits until a load that keeps one of the waiting samples from an engine is expected to end.
  #waitForLoads(): void {
    if (!this.#loads.isAnyAssumed) return;
    const ends = this.#queue.requirements.map((requirements) =>
      this.#availability.findLoadEnd(requirements)
    );
    const end = Math.min(Infinity, ...ends);
    const now = this.#clock.monotonic();
    if (end === Infinity) return;
    if (this.#loadEndAt > now && this.#loadEndAt <= end) return;
    this.#loadEndAt = end;
    this.#assignAfter(end - now);
  }

  // Waits until the limit of an engine that is free otherwise allows one of the waiting samples.
  #waitForRoom(): void {
    if (this.#limits.size === 0) return;
    const free = this.#queue.requirements.flatMap((requirements) =>
      this.#availability.findFree(requirements)
    );
    const identifiers = free.map(({ identifier }) => identifier);
    const wait = this.#limits.estimateWait(identifiers, 0);
    if (wait === 0) return;
    this.#limits.recordNeed(identifiers, this.#queue.size);
    const now = this.#clock.monotonic();
    if (this.#roomAt > now && this.#roomAt <= now + wait) return;
    this.#roomAt = now + wait;
    this.#assignAfter(wait);
  }

  #start(waiter: EngineWaiter, engine: BackendServerEntry): void {
    const state = this.#getState(engine.identifier);
    if (state.running === 0) state.quietSince = this.#clock.monotonic();
    state.running += 1;
    state.tokens += waiter.request.expectedTokens;
    state.unanswered += 1;
    this.#report?.recordRequest();
    this.#limits.recordRequest(engine.identifier);
    this.#usualRunMilliseconds += RUN_WEIGHT *
      (waiter.urgency.expectedMilliseconds - this.#usualRunMilliseconds);
    this.#expectedEnds.set(
      waiter.request,
      this.#clock.monotonic() + waiter.urgency.expectedMilliseconds,
    );
    this.#loads.recordRequest(engine.identifier, waiter.request);
    this.#placement.recordPrompt(engine.identifier, waiter.request.prompt);
    waiter.resolve(engine);
  }

  #planGroups(): void {
    const now = this.#clock.monotonic();
    if (this.#queue.size === 0 || now < this.#nextPlanAt) return;
    this.#nextPlanAt = now + PLAN_INTERVAL_MILLISECONDS;
    const slots = this.#countUsableSlots();
    const runningMilliseconds = this.#estimateRunning(now);
    this.#queue.plan({ now, slots, runningMilliseconds });
  }

  // Returns the expected remaining time of all runs together, in milliseconds.
  #estimateRunning(now: number): number {
    let milliseconds = 0;
    for (const end of this.#expectedEnds.values()) {
      milliseconds += Math.max(0, end - now);
    }
    for (const count of this.#availability.runningElsewhere.values()) {
      milliseconds += count * RUN_ELSEWHERE_MILLISECONDS;
    }
    return milliseconds;
  }

  // Counts the slots of the engines that can run any of the waiting samples, free or not.
  #countUsableSlots(): number {
    const engines = this.#queue.requirements.flatMap((requirements) =>
      this.#availability.findUsable(requirements)
    );
    return [...new Set(engines)].reduce((sum, { slots }) => sum + slots, 0);
  }

  #assignAfter(milliseconds: number): void {
    void this.#clock.sleep(milliseconds + 1).then(() => this.#assignEngines());
  }

  #removeUnregistered(): void {
    for (const [identifier, state] of this.#states) {
      const isUnregistered = !this.#servers.servers.has(identifier);
      if (isUnregistered && state.running === 0) {
        this.#states.delete(identifier);
        this.#loads.forget(identifier);
        this.#placement.forgetPrompts(identifier);
      }
    }
  }

  #getState(identifier: string): EngineState {
    let state = this.#states.get(identifier);
    if (state === undefined) {
      state = new EngineState();
      this.#states.set(identifier, state);
    }
    return state;
  }
}

function toRequirementsKey(requirements: EngineRequirements): string {
  const { service, model, minimumVersion, exactVersion, softwareVersion } =
    requirements;
  return [
    service,
    model,
    minimumVersion,
    exactVersion ?? "",
    softwareVersion ?? "",
    requirements.allowedRegions?.key ?? "",
  ].join("/");
}
