import type { ServerClient } from "../backends/server_client.ts";
import {
  type LoadableEngine,
  type ModelDemand,
  planWeightLoads,
} from "../decisions/weight_load_plan.ts";
import type { EngineUseExchange } from "../durable_steps/engine_use_exchange.ts";
import type { EnginePool } from "../durable_steps/engine_pool.ts";
import { findModelDemands } from "../durable_steps/find_model_demands.ts";
import type { StepRegistry } from "../durable_steps/step_registry.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { Configuration, Service } from "../installation/configuration.ts";
import { needsSingleVersion } from "../installation/needs_single_version.ts";
import type { OperatorView } from "../installation/operator_view.ts";
import type { ServerLimits } from "../installation/server_limits.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "../utilities/clock.ts";
import type { DutyLease } from "./duty_lease.ts";

const CHECK_INTERVAL_MILLISECONDS = 100;
/** Time without data after which a call to an engine is aborted. */
const ORDER_IDLE_TIMEOUT_MILLISECONDS = 700;
/**
 * Time after which an accepted load counts as overdue and its engine is queried. A load takes
 * about 1 s, and longer while many engines load at once.
 */
const LOAD_TIMEOUT_MILLISECONDS = 3500;
/** Time after a failed order or report in which the engine gets no order. */
const REFUSAL_BACKOFF_MILLISECONDS = 250;
/**
 * Maximum share of a service's engines that may load at once; concurrent loads slow each other
 * down.
 */
const MAXIMUM_LOADING_SHARE = 0.3;
/** Number of a service's engines that may load at once, however few engines the service has. */
const MINIMUM_LOADING_LIMIT = 2;

/** Dependencies of the weight load scheduler. */
export interface WeightLoadSchedulerOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly operator: OperatorView;
  readonly servers: ServerView;
  readonly limits: ServerLimits;
  readonly pool: EnginePool;
  readonly engineUseExchange: EngineUseExchange;
  readonly client: ServerClient;
  readonly lease: DutyLease;
  /** The steps of trainers. */
  readonly stepRegistry: Pick<StepRegistry, "entries">;
  readonly stopping: AbortSignal;
}

interface ModelTarget {
  readonly model: string;
  /** The newest version that a trainer has named. */
  readonly version: number;
}

/**
 * What the lease holder knows about one process of an engine; a restarted engine gets a new state.
 */
interface EngineState {
  /**
   * Number of orders that the engine has accepted; undefined when its report must be read first.
   */
  acceptedOrders: number | undefined;
  /** The model and version that the engine is loading. */
  loading: { readonly model: string; readonly version: number } | undefined;
  /**
   * Monotonic time, in milliseconds, until which the engine gets no order; during a load, the time
   * from which the load is overdue.
   */
  nextOrderAt: number;
  /** Whether this node is reading the engine's report or sending it an order. */
  isCallInFlight: boolean;
}

/** Orders engines to load the named weight versions while this node holds the duty lease. */
export class WeightLoadScheduler {
  readonly #options: WeightLoadSchedulerOptions;
  /** States by the engine's identifier and start time. */
  readonly #states = new Map<string, EngineState>();

  /** @param options - The engines, the duty lease and the other dependencies. */
  constructor(options: WeightLoadSchedulerOptions) {
    this.#options = options;
  }

  /** Sends load orders while this node holds the duty lease, until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping, lease, operator } = this.#options;
    while (!stopping.aborted) {
      const { configuration } = operator;
      if (lease.getHeldDuty() === undefined) this.#states.clear();
      else if (configuration !== undefined) {
        this.#orderAllServices(configuration);
      }
      await clock.sleep(
        lease.toCheckInterval(CHECK_INTERVAL_MILLISECONDS),
        stopping,
      );
    }
  }

  #orderAllServices(configuration: Configuration): void {
    for (const service of configuration.services.values()) {
      if (service.models.length === 0) continue;
      const engines = this.#options.servers.ofService(service.name);
      if (engines.length > 0) this.#orderService(configuration, service);
    }
  }

  #orderService(configuration: Configuration, service: Service): void {
    const engines = this.#options.servers.ofService(service.name);
    for (const engine of engines) this.#updateLoading(engine);
    const limit = Math.max(
      MINIMUM_LOADING_LIMIT,
      Math.floor(MAXIMUM_LOADING_SHARE * engines.length),
    );
    const loading = engines.filter((engine) => this.#isLoading(engine)).length;
    const demands = this.#findDemands(service);
    const planned = planWeightLoads(
      engines.map((engine) => this.#toLoadable(engine, service.models)),
      {
        demands,
        modelCount: service.models.length,
        maximumLoads: limit - loading,
      },
    );
    const isSingleVersion = needsSingleVersion(configuration, service.name);
    for (const { engine: identifier, model } of planned) {
      const engine = this.#options.servers.servers.get(identifier);
      const version = this.#options.operator.namedVersions.get(model);
      if (engine === undefined || version === undefined) continue;
      void this.#orderLoad(engine, {
        target: { model, version },
        isSingleVersion,
      });
    }
  }

  #findDemands({ models }: Service): ReadonlyArray<ModelDemand> {
    const { operator, stepRegistry } = this.#options;
    return findModelDemands(stepRegistry.entries, {
      models,
      namedVersions: operator.namedVersions,
    });
  }

  // Returns the time until an engine in warm-up accepts one more request, and asks for a share of them.
  #getWarmUpWait({ identifier }: BackendServerEntry): number {
    const { limits } = this.#options;
    const wait = limits.getWarmUpWait(identifier);
    if (wait > 0) limits.recordNeed([identifier], 1);
    return wait;
  }

  #toLoadable(
    engine: BackendServerEntry,
    models: ReadonlyArray<string>,
  ): LoadableEngine {
    const { pool, clock } = this.#options;
    const state = this.#getState(engine);
    const { loading } = state;
    const versions = models.flatMap((model) => {
      const version = pool.getVersion(engine, model);
      if (version === undefined) return [];
      const loadingVersion = loading?.model === model
        ? loading.version
        : undefined;
      return [[model, { version, loadingVersion }]] as const;
    });
    return {
      identifier: engine.identifier,
      slots: engine.slots,
      models: new Map(versions),
      isAvailable: !this.#isLoading(engine) &&
        clock.monotonic() >= state.nextOrderAt,
      runningRequests: pool.countOccupiedSlots(engine),
    };
  }

  #isLoading(engine: BackendServerEntry): boolean {
    const state = this.#getState(engine);
    return state.isCallInFlight || state.loading !== undefined;
  }

  #isOutdated(engine: BackendServerEntry, target: ModelTarget): boolean {
    const version = this.#options.pool.getVersion(engine, target.model);
    return version !== undefined && version < target.version;
  }

  #updateLoading(engine: BackendServerEntry): void {
    const state = this.#getState(engine);
    const { loading } = state;
    if (loading === undefined) return;
    const version = this.#options.pool.getVersion(engine, loading.model) ?? 0;
    const now = this.#options.clock.monotonic();
    if (version >= loading.version || now >= state.nextOrderAt) {
      // After the timeout, the engine's report is read again before the next order.
      if (version < loading.version) state.acceptedOrders = undefined;
      state.loading = undefined;
      state.nextOrderAt = 0;
    }
  }

  async #orderLoad(
    engine: BackendServerEntry,
    { target, isSingleVersion }: {
      readonly target: ModelTarget;
      readonly isSingleVersion: boolean;
    },
  ): Promise<void> {
    if (this.#getWarmUpWait(engine) > 0) return;
    const state = this.#getState(engine);
    state.isCallInFlight = true;
    try {
      state.acceptedOrders ??= await this.#readAcceptedOrders(engine, target);
      if (state.acceptedOrders === undefined) return;
      if (!this.#isOutdated(engine, target)) return;
      if (this.#getWarmUpWait(engine) > 0) return;
      await this.#sendOrder(engine, { target, isSingleVersion, state });
    } finally {
      state.isCallInFlight = false;
    }
  }

  // Reads the number of accepted orders from the engine's own report, because the engine's entry in
  // the store is updated with a delay.
  async #readAcceptedOrders(
    engine: BackendServerEntry,
    target: ModelTarget,
  ): Promise<number | undefined> {
    const { client, pool, stopping, clock, limits, servers } = this.#options;
    limits.recordRequest(engine.identifier);
    const report = await client.readReport(engine, {
      signal: stopping,
      silenceMilliseconds: ORDER_IDLE_TIMEOUT_MILLISECONDS,
      mayStart: () => servers.isServing(engine.identifier),
    });
    if (report === undefined || report.isBusy) {
      this.#getState(engine).nextOrderAt = clock.monotonic() +
        REFUSAL_BACKOFF_MILLISECONDS;
      return undefined;
    }
    const version = report.weightVersions.get(target.model);
    if (version !== undefined) {
      pool.recordVersion(engine.identifier, target.model, version);
    }
    return report.acceptedOrders;
  }

  async #sendOrder(
    engine: BackendServerEntry,
    { target, isSingleVersion, state }: {
      readonly target: ModelTarget;
      readonly isSingleVersion: boolean;
      readonly state: EngineState;
    },
  ): Promise<void> {
    const { client, lease, log, clock, stopping, limits } = this.#options;
    const duty = lease.getHeldDuty();
    if (duty === undefined) return;
    const { model, version } = target;
    limits.recordRequest(engine.identifier);
    const outcome = await client.orderWeights(engine, {
      model,
      version,
      runs: isSingleVersion ? "finish" : "continue",
      holder: duty.holder,
      fencingNumber: duty.fencingNumber,
      acceptedOrders: state.acceptedOrders ?? 0,
    }, {
      signal: stopping,
      silenceMilliseconds: ORDER_IDLE_TIMEOUT_MILLISECONDS,
      mayStart: () =>
        lease.isStillHeld(duty) &&
        this.#options.servers.isServing(engine.identifier),
    });
    log.emit("weightOrderSent", {
      server: engine.identifier,
      model,
      version,
      fencingNumber: duty.fencingNumber,
      outcome: outcome.kind,
      detail: outcome.kind === "refused"
        ? outcome.status
        : "reason" in outcome
        ? outcome.reason
        : "",
    });
    if (outcome.kind === "accepted") {
      state.acceptedOrders = (state.acceptedOrders ?? 0) + 1;
      state.loading = { model, version };
      this.#options.engineUseExchange.recordLoad({
        engine: engine.identifier,
        model,
        version,
      });
      state.nextOrderAt = clock.monotonic() + LOAD_TIMEOUT_MILLISECONDS;
      return;
    }
    // The engine may have executed the order, so its report is read again before the next order.
    state.acceptedOrders = undefined;
    state.nextOrderAt = clock.monotonic() + REFUSAL_BACKOFF_MILLISECONDS;
  }

  #getState(engine: BackendServerEntry): EngineState {
    const key = `${engine.identifier}/${engine.startedAt}`;
    let state = this.#states.get(key);
    if (state === undefined) {
      state = {
        acceptedOrders: undefined,
        loading: undefined,
        nextOrderAt: 0,
        isCallInFlight: false,
      };
      this.#states.set(key, state);
    }
    return state;
  }
}
