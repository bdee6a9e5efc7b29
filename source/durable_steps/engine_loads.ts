import {
  decideWeightLoadWait,
  LOAD_ASSUMPTION_MILLISECONDS,
  type WeightLoadDecision,
  WeightLoadDurations,
} from "../decisions/weight_load_wait.ts";
import type { Clock } from "../utilities/clock.ts";
import type { EngineUseReport, SeenLoad } from "./engine_use_report.ts";
import type { EngineRequest } from "./engine_request.ts";

/** Maximum time for which an ordered load interrupts the runs of an engine. */
const INTERRUPTION_MILLISECONDS = 1600;
/** Time after an order from which an order of the same version is another one. */
const REPEATED_ORDER_MILLISECONDS = 3000;
/**
 * Factor by which the first probe comes earlier each time one runs without a refusal before it, so
 * that the expected duration also follows loads that become shorter.
 */
const EARLIER_PROBE_FACTOR = 0.9;

/** Longest time from a refused probe until the next one while samples wait. */
const PROBE_DELAY_MILLISECONDS = 250;

/** A load that a node ordered. */
export interface ExpectedLoad {
  readonly engine: string;
  readonly model: string;
  readonly version: number;
  /** Age of the order, in milliseconds; undefined when the node that sent it did not publish it. */
  readonly ageMilliseconds?: number | undefined;
}

/** What is known of the engine of a load. */
export interface LoadingEngine {
  /** Share of the service's engines that one engine is. */
  readonly shareOfService: number;
  /** Whether the engine finishes its runs of the model before it loads. */
  readonly isFinishingRuns: boolean;
  /** Number of other nodes' runs of the model at the engine. */
  readonly runningElsewhere: number;
}

interface LoadState {
  readonly version: number;
  readonly orderedAt: number;
  startsAt: number;
  loadingShare: number;
  refusals: number;
  refusedAt: number;
  /** The request that tests whether the load is over. */
  probe: EngineRequest | undefined;
  /** This node's runs that the engine finishes before it loads. */
  readonly runsBefore: Set<EngineRequest>;
  /** Number of other nodes' runs that the engine finishes before it loads. */
  runsElsewhere: number;
  /** Time at which a request ran that was sent after the expected end. */
  ranAt: number | undefined;
  /** Whether it was reported that the load did not happen by its expected end. */
  isReportedMissing: boolean;
  /** Time at which the engine reported the ordered version. */
  confirmedAt: number | undefined;
}

/** Dependencies of the record of loads. */
export interface EngineLoadsOptions {
  readonly clock: Pick<Clock, "monotonic">;
  /** Returns the newest version of a model that an engine is known to have; 0 if none is known. */
  readonly getKnownVersion: (engine: string, model: string) => number;
  readonly report?: EngineUseReport | undefined;
}

/** Records the loads that nodes ordered, and decides when the engines get samples again. */
export class EngineLoads {
  readonly #options: EngineLoadsOptions;
  readonly #durations = new WeightLoadDurations();
  /** Loads by engine and model. */
  readonly #loads = new Map<string, Map<string, LoadState>>();
  #lastOrderedAt = -Infinity;
  readonly #runs = new Map<string, Set<EngineRequest>>();

  /** @param options - The clock and the versions that the engines are known to have. */
  constructor(options: EngineLoadsOptions) {
    this.#options = options;
  }

  /** Whether any load may be in progress. */
  get isAnyAssumed(): boolean {
    return this.#options.clock.monotonic() <
      this.#lastOrderedAt + LOAD_ASSUMPTION_MILLISECONDS;
  }

  /**
   * Assumes for a limited time that an engine loads an ordered version.
   * @returns Whether the order was not known before.
   */
  expect(load: ExpectedLoad, engine: LoadingEngine): boolean {
    const now = this.#options.clock.monotonic();
    const orderedAt = now - (load.ageMilliseconds ?? 0);
    const current = this.#loads.get(load.engine)?.get(load.model);
    const isRepeated = load.ageMilliseconds !== undefined &&
      current !== undefined && current.version === load.version &&
      orderedAt - current.orderedAt > REPEATED_ORDER_MILLISECONDS;
    if (current !== undefined && current.version >= load.version) {
      if (!isRepeated) return false;
    }
    const runsBefore = new Set(
      engine.isFinishingRuns ? this.#runsOf(load.engine, load.model) : [],
    );
    const state: LoadState = {
      version: load.version,
      orderedAt,
      startsAt: runsBefore.size > 0 ? Infinity : orderedAt,
      loadingShare: engine.shareOfService,
      refusals: 0,
      refusedAt: 0,
      probe: undefined,
      runsBefore,
      runsElsewhere: engine.isFinishingRuns ? engine.runningElsewhere : 0,
      ranAt: undefined,
      isReportedMissing: false,
      confirmedAt: undefined,
    };
    this.#loadsOf(load.engine).set(load.model, state);
    this.#lastOrderedAt = Math.max(this.#lastOrderedAt, orderedAt);
    this.#updateShares(engine.shareOfService);
    return true;
  }

  /**
   * Decides whether an engine gets a sample of a model as far as its loads are concerned.
   * @param engine - The engine.
   * @param model - The model.
   * @param isScarce - Whether a sample waits and no other engine is free.
   */
  decide(
    engine: string,
    model: string,
    isScarce = false,
  ): WeightLoadDecision {
    const load = this.#loads.get(engine)?.get(model);
    if (load === undefined || this.#isComplete(engine, model)) {
      return { kind: "open" };
    }
    return decideWeightLoadWait(
      { ...load, isProbed: load.probe !== undefined },
      {
        now: this.#options.clock.monotonic(),
        expectedMilliseconds: this.#durations.expect(load.loadingShare),
        isScarce,
      },
    );
  }

  /** Whether a load that a node ordered may interrupt the runs of an engine. */
  isLoading(engine: string): boolean {
    const now = this.#options.clock.monotonic();
    return [...this.#loads.get(engine) ?? []].some(([model, load]) =>
      this.#options.getKnownVersion(engine, model) < load.version &&
      now - load.orderedAt < INTERRUPTION_MILLISECONDS
    );
  }

  /** Whether a load may have interrupted the runs of an engine since a time. */
  mayHaveInterrupted(engine: string, since: number): boolean {
    return [...this.#loads.get(engine)?.values() ?? []].some((load) => {
      const latestEnd = load.orderedAt + INTERRUPTION_MILLISECONDS;
      return since <= Math.min(load.confirmedAt ?? latestEnd, latestEnd);
    });
  }

  /** Returns the version of a model that an engine is assumed to load; 0 without an assumption. */
  getExpectedVersion(engine: string, model: string): number {
    const load = this.#loads.get(engine)?.get(model);
    const now = this.#options.clock.monotonic();
    return load !== undefined &&
        load.orderedAt + LOAD_ASSUMPTION_MILLISECONDS > now
      ? load.version
      : 0;
  }

  /** Records that this node sends a request to an engine. */
  recordRequest(engine: string, request: EngineRequest): void {
    const { model } = request.requirements;
    let runs = this.#runs.get(engine);
    if (runs === undefined) this.#runs.set(engine, runs = new Set());
    runs.add(request);
    const load = this.#loads.get(engine)?.get(model);
    if (
      load !== undefined && this.decide(engine, model, true).kind === "probe"
    ) {
      load.probe = request;
    }
  }

  /** Records that a request to an engine has ended. */
  recordEnd(engine: string, request: EngineRequest): void {
    const runs = this.#runs.get(engine);
    runs?.delete(request);
    if (runs?.size === 0) this.#runs.delete(engine);
    for (const load of this.#loads.get(engine)?.values() ?? []) {
      if (load.probe === request) load.probe = undefined;
      if (load.runsBefore.delete(request) && load.runsBefore.size === 0) {
        load.startsAt = this.#options.clock.monotonic();
      }
    }
  }

  /** Records that an engine began to run a request of a model. */
  recordRun(engine: string, model: string): void {
    const load = this.#loads.get(engine)?.get(model);
    if (load?.probe !== undefined) {
      load.ranAt ??= this.#options.clock.monotonic();
    }
  }

  /**
   * Records that an engine refused a request of a model without running it.
   * @returns Whether a load in progress is the likely cause.
   */
  recordRefusal(engine: string, model: string): boolean {
    const load = this.#loads.get(engine)?.get(model);
    if (load === undefined || this.decide(engine, model).kind === "open") {
      return false;
    }
    // Requests that were sent before the expected end say nothing about the time after it.
    if (load.probe !== undefined) {
      load.refusals += 1;
      load.refusedAt = this.#options.clock.monotonic();
    }
    return true;
  }

  /** Records that an engine reported a version. */
  recordVersion(engine: string, model: string, version: number): void {
    const load = this.#loads.get(engine)?.get(model);
    if (load === undefined || load.confirmedAt !== undefined) return;
    if (version < load.version) {
      return this.#reportMissing(load, { engine, model });
    }
    const isKnown = this.#options.getKnownVersion(engine, model) >=
      load.version;
    load.confirmedAt = this.#options.clock.monotonic();
    // The end was seen by the engine itself some time ago.
    if (isKnown) return;
    const endedAt = load.ranAt ?? load.confirmedAt;
    this.#options.report?.recordLoad(
      toSeenLoad(load, { engine, model, endedAt }),
    );
    this.#durations.record({
      loadingShare: load.loadingShare,
      milliseconds: this.#measure(load, endedAt),
    });
  }

  // Returns the duration of a load as far as it was seen. A probe tells only that the load was over by
  // then, and it comes late when no sample waited.
  #measure(load: LoadState, endedAt: number): number {
    const { startsAt, loadingShare, ranAt, refusals, refusedAt } = load;
    const seen = endedAt - startsAt;
    if (ranAt === undefined) return seen;
    if (refusals > 0) {
      return Math.min(seen, refusedAt - startsAt + PROBE_DELAY_MILLISECONDS);
    }
    const expected = this.#durations.expect(loadingShare);
    return Math.min(seen, expected) * EARLIER_PROBE_FACTOR;
  }

  /** Applies the number of other nodes' runs to the loads that wait for the end of such runs. */
  setRunningElsewhere(runningElsewhere: ReadonlyMap<string, number>): void {
    const now = this.#options.clock.monotonic();
    for (const [engine, loads] of this.#loads) {
      const count = runningElsewhere.get(engine) ?? 0;
      for (const load of loads.values()) {
        if (load.runsElsewhere === 0) continue;
        // A larger number means that the engine accepts requests again.
        load.runsElsewhere = count > load.runsElsewhere ? 0 : count;
        if (load.runsElsewhere > 0) {
          load.startsAt = Math.max(load.startsAt, now);
        }
      }
    }
  }

  /** Forgets the loads of an engine that left. */
  forget(engine: string): void {
    this.#loads.delete(engine);
  }

  // A version that is older than the ordered one tells of a load only if its request was sent after
  // the expected end.
  #reportMissing(
    load: LoadState,
    { engine, model }: { readonly engine: string; readonly model: string },
  ): void {
    if (load.ranAt === undefined || load.isReportedMissing) return;
    load.isReportedMissing = true;
    this.#options.report?.recordMissingLoad(
      toSeenLoad(load, { engine, model, endedAt: load.ranAt }),
    );
  }

  #isComplete(engine: string, model: string): boolean {
    const load = this.#loads.get(engine)?.get(model);
    return load === undefined || load.confirmedAt !== undefined ||
      load.ranAt !== undefined ||
      this.#options.getKnownVersion(engine, model) >= load.version;
  }

  #runsOf(engine: string, model: string): ReadonlyArray<EngineRequest> {
    return [...this.#runs.get(engine) ?? []].filter(({ requirements }) =>
      requirements.model === model
    );
  }

  #loadsOf(engine: string): Map<string, LoadState> {
    let loads = this.#loads.get(engine);
    if (loads === undefined) this.#loads.set(engine, loads = new Map());
    return loads;
  }

  // Raises the share of all loads in progress to that of the loads that are in progress now.
  #updateShares(shareOfService: number): void {
    const loading = [...this.#loads].flatMap(([engine, loads]) =>
      [...loads].filter(([model]) => this.decide(engine, model).kind !== "open")
        .map(([, load]) => load)
    );
    const share = loading.length * shareOfService;
    for (const load of loading) {
      load.loadingShare = Math.max(load.loadingShare, share);
    }
  }
}

function toSeenLoad(
  { version, startsAt, refusals }: LoadState,
  { engine, model, endedAt }: {
    readonly engine: string;
    readonly model: string;
    readonly endedAt: number;
  },
): SeenLoad {
  // Runs of the old version may outlast the load that they were expected to delay.
  const milliseconds = Math.max(0, endedAt - startsAt);
  return { engine, model, version, milliseconds, refusals };
}
