import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { ServerLimits } from "../installation/server_limits.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { Clock } from "../utilities/clock.ts";
import { AssignmentTimer } from "./assignment_timer.ts";
import { EngineAvailability } from "./engine_availability.ts";
import { EnginePlacement, type RunningText } from "./engine_placement.ts";
import { EngineLoads, type ExpectedLoad } from "./engine_loads.ts";
import {
  type EngineRequest,
  type EngineRequirements,
} from "./engine_request.ts";
import { GroupPlanner } from "./group_planner.ts";
import type { EnginePoolOptions } from "./engine_pool_options.ts";
import { EngineStallWatch, type WatchedRun } from "./engine_stall_watch.ts";
import { EngineStates } from "./engine_states.ts";
import { UsualRunTime } from "./usual_run_time.ts";
import { LongWaitReport } from "./long_wait_report.ts";
import type { EngineUseReport } from "./engine_use_report.ts";
import { type EngineWaiter, WaitingSamples } from "./waiting_samples.ts";

/** Assigns engine slots to samples. */
export class EnginePool {
  readonly #clock: Clock;
  readonly #servers: ServerView;
  readonly #limits: ServerLimits;
  readonly #states = new EngineStates();
  readonly #queue: WaitingSamples;
  readonly #placement: EnginePlacement;
  readonly #availability: EngineAvailability;
  readonly #loads: EngineLoads;
  readonly #report: EngineUseReport | undefined;
  readonly #usualRun = new UsualRunTime();
  readonly #finishesRunsBeforeLoads: (service: string) => boolean;
  #isAssignmentScheduled = false;
  readonly #groups: GroupPlanner<EngineWaiter>;
  readonly #timer: AssignmentTimer;
  readonly #stallWatch: EngineStallWatch;
  readonly #longWaits: LongWaitReport;
  /**
   * @param clock - Measures backoffs and event times.
   * @param engines - The registered engines and what is known of them.
   */
  constructor(clock: Clock, engines: EnginePoolOptions) {
    const { servers, limits } = engines;
    this.#clock = clock;
    this.#queue = new WaitingSamples(clock);
    this.#servers = servers;
    this.#limits = limits;
    this.#report = engines.report;
    this.#loads = new EngineLoads({
      clock,
      report: engines.report,
      getKnownVersion: (identifier, model) =>
        this.#availability.getKnownVersion(identifier, model),
    });
    this.#availability = new EngineAvailability({
      clock,
      servers,
      limits,
      states: this.#states.all,
      loads: this.#loads,
      sharing: engines.sharing,
      usualRunMilliseconds: () => this.#usualRun.milliseconds,
    });
    this.#groups = new GroupPlanner({
      clock,
      queue: this.#queue,
      availability: this.#availability,
    });
    this.#timer = new AssignmentTimer({
      clock,
      limits,
      availability: this.#availability,
      loads: this.#loads,
      assign: () => this.#assignEngines(),
    });
    this.#longWaits = new LongWaitReport({
      clock,
      availability: this.#availability,
      report: engines.report,
      listWaiting: () => this.#queue.samples,
    });
    this.#finishesRunsBeforeLoads = engines.finishesRunsBeforeLoads ??
      (() => false);
    this.#placement = new EnginePlacement({
      clock,
      availability: this.#availability,
      states: this.#states.all,
      sharing: engines.sharing,
      rendezvous: engines.rendezvous,
      report: engines.report,
      isConnected: engines.isConnected,
      findMemoryTokens: engines.findMemoryTokens,
    });
    this.#stallWatch = new EngineStallWatch({
      clock,
      listRunning: () =>
        this.#states.listRunning((engine) => this.#loads.isLoading(engine)),
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
    return this.#states.running(identifier);
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
    return this.#queue.wait(request, {
      signal,
      onAdded: () => {
        this.#groups.renew();
        this.#scheduleAssignment();
      },
    });
  }

  /**
   * Ends the waits of samples that would ask otherwise now, so that they ask again with the
   * requirements that are in force.
   */
  restartOutdatedWaits(): void {
    this.#queue.endOutdated();
  }

  /**
   * Records that an engine started to answer a request or that the request failed before an answer.
   */
  recordResponse(identifier: string): void {
    this.#states.getOrCreate(identifier).unanswered -= 1;
  }

  /** Records that an engine sent an answer or an event. */
  recordHeard(identifier: string): void {
    this.#states.getOrCreate(identifier).quietSince = this.#clock.monotonic();
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
    const hadRefused = this.#states.getOrCreate(identifier).recordStart();
    if (hadRefused || !wasOpen) this.#assignEngines();
  }

  /** Frees a slot of an engine that `acquire` assigned for a request. */
  release(identifier: string, request: EngineRequest): void {
    const state = this.#states.getOrCreate(identifier);
    state.running -= 1;
    state.tokens -= request.expectedTokens;
    this.#groups.recordEnd(request);
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
    const pause = this.#states.getOrCreate(identifier).recordRefusal(
      this.#clock.monotonic(),
    );
    this.#placement.forgetPrompts(identifier);
    if (pause !== undefined) this.#timer.assignAfter(pause);
  }

  /**
   * Records that an engine failed, and starts a backoff that doubles with each consecutive failure.
   */
  recordFailure(identifier: string): void {
    this.#placement.forgetPrompts(identifier);
    const now = this.#clock.monotonic();
    const pause = this.#states.getOrCreate(identifier).recordFailure(now);
    if (pause !== undefined) this.#timer.assignAfter(pause);
  }

  /**
   * Records the time that an engine took for an event, and resets its numbers of failures and
   * refusals. A time that a load of weights may have interrupted is not measured.
   * @param identifier - The engine.
   * @param milliseconds - Time since the previous event of the same response.
   */
  recordEvent(identifier: string, milliseconds: number): void {
    const now = this.#clock.monotonic();
    const state = this.#states.getOrCreate(identifier);
    state.recordEvent();
    if (this.#loads.mayHaveInterrupted(identifier, now - milliseconds)) return;
    state.speed.record(milliseconds, now);
  }

  /** Records the weight version of a model that an engine reported. */
  recordVersion(identifier: string, model: string, version: number): void {
    this.#loads.recordVersion(identifier, model, version);
    const isNewer = this.#states.getOrCreate(identifier).recordVersion(
      model,
      version,
    );
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
      runningElsewhere: this.#availability.countModelRunsElsewhere(load.engine),
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
    return this.#states.runningByEngine();
  }

  /**
   * Returns the newest known weight version of a model on an engine; undefined when the engine's
   * stored entry has none.
   */
  getVersion(engine: BackendServerEntry, model: string): number | undefined {
    return this.#availability.getVersion(engine, model);
  }

  /** Whether an engine may run a sample with these requirements, free or not. */
  hasUsable(requirements: EngineRequirements): boolean {
    return this.#availability.findUsable(requirements).some(({ identifier }) =>
      this.#servers.isServing(identifier)
    );
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
    this.#groups.plan();
    while (this.#queue.size > 0) {
      const next = this.#queue.findAssignment({
        findCandidates: (each) => this.#availability.findCandidates(each),
        choose: (request, found) => this.#placement.choose(request, found),
      });
      if (next === undefined) {
        this.#availability.recordBlocked(this.#queue.requirements);
        this.#longWaits.check();
        return this.#timer.plan(this.#queue);
      }
      const { waiter, engine } = next;
      this.#availability.recordAssigned(waiter.requirements);
      this.#queue.remove(waiter);
      this.#start(waiter, engine);
    }
  }

  // Assigns the free slots of one engine; other engines have no slot that a waiting sample can use.
  #fill(engine: BackendServerEntry): void {
    if (this.#queue.size === 0) return;
    this.#groups.plan();
    for (;;) {
      const next = this.#queue.take((requirements) =>
        this.#availability.isCandidate(engine, requirements)
      );
      if (next === undefined) return this.#timer.plan(this.#queue);
      this.#start(next, engine);
    }
  }

  #start(waiter: EngineWaiter, engine: BackendServerEntry): void {
    const state = this.#states.getOrCreate(engine.identifier);
    if (state.running === 0) state.quietSince = this.#clock.monotonic();
    state.running += 1;
    state.tokens += waiter.request.expectedTokens;
    state.unanswered += 1;
    this.#report?.recordRequest();
    this.#limits.recordRequest(engine.identifier);
    this.#usualRun.record(waiter.urgency.expectedMilliseconds);
    this.#groups.recordStart(waiter.request);
    this.#loads.recordRequest(engine.identifier, waiter.request);
    this.#placement.recordPrompt(engine.identifier, waiter.request.prompt);
    waiter.resolve(engine);
  }

  #removeUnregistered(): void {
    const removed = this.#states.removeUnregistered((identifier) =>
      this.#servers.servers.has(identifier)
    );
    for (const identifier of removed) {
      this.#loads.forget(identifier);
      this.#placement.forgetPrompts(identifier);
    }
  }
}
