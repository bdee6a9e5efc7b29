import type { ServerClient } from "../backends/server_client.ts";
import type { EngineBoard } from "../durable_steps/engine_board.ts";
import type { EnginePool } from "../durable_steps/engine_pool.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { Configuration, Service } from "../installation/configuration.ts";
import type { OperatorView } from "../installation/operator_view.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "../utilities/clock.ts";
import type { DutyLease } from "./duty_lease.ts";
import { type LoadableEngine, planWeightLoads } from "./plan_weight_loads.ts";

const CHECK_INTERVAL_MILLISECONDS = 100;
const ORDER_SILENCE_MILLISECONDS = 700;
/** An accepted load takes about 1 s, longer while many load; then its engine is asked. */
const LOAD_LIMIT_MILLISECONDS = 3500;
const REFUSED_PAUSE_MILLISECONDS = 250;
/** Share of a service's engines that load at once; more make each other slower. */
const LOADING_SHARE = 0.3;
const LEAST_LOADING = 2;

/** What weight orders work with. */
export interface WeightOrdersOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly operator: OperatorView;
  readonly servers: ServerView;
  readonly pool: EnginePool;
  readonly board: EngineBoard;
  readonly client: ServerClient;
  readonly lease: DutyLease;
  readonly stopping: AbortSignal;
}

interface ModelDemand {
  readonly model: string;
  /** The newest version that was named. */
  readonly version: number;
}

/** What the holder knows of one life of an engine. */
interface EngineState {
  /** Accepted orders; undefined until the engine was asked. */
  acceptedOrders: number | undefined;
  /** Version that is being loaded, by model. */
  loading: { readonly model: string; readonly version: number } | undefined;
  /** Until when the engine is left alone. */
  waitUntil: number;
  isCalling: boolean;
}

/** Has engines load the named versions while this node holds the duty. */
export class WeightOrders {
  readonly #options: WeightOrdersOptions;
  readonly #states = new Map<string, EngineState>();

  /** @param options - The engines and the duty. */
  constructor(options: WeightOrdersOptions) {
    this.#options = options;
  }

  /** Gives orders while the duty is held, until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping, lease, operator } = this.#options;
    while (!stopping.aborted) {
      const { configuration } = operator;
      if (lease.ifHeld() === undefined) this.#states.clear();
      else if (configuration !== undefined) this.#orderAll(configuration);
      await clock.sleep(CHECK_INTERVAL_MILLISECONDS, stopping);
    }
  }

  #orderAll(configuration: Configuration): void {
    for (const service of configuration.services.values()) {
      if (service.models.length === 0) continue;
      const engines = this.#options.servers.ofService(service.name);
      if (engines.length > 0) this.#orderService(configuration, service);
    }
  }

  #orderService(configuration: Configuration, service: Service): void {
    const engines = this.#options.servers.ofService(service.name);
    for (const engine of engines) this.#noteLoaded(engine);
    const limit = Math.max(
      LEAST_LOADING,
      Math.floor(LOADING_SHARE * engines.length),
    );
    let loading = engines.filter((engine) => this.#isLoading(engine)).length;
    const isSingle = needsSingleVersion(configuration, service.name);
    for (const model of service.models) {
      const version = this.#options.operator.namedVersions.get(model);
      if (version === undefined) continue;
      const chosen = planWeightLoads(
        engines.map((engine) => this.#toLoadable(engine, model)),
        { version, models: service.models.length, most: limit - loading },
      );
      loading += chosen.length;
      for (const identifier of chosen) {
        const engine = this.#options.servers.servers.get(identifier);
        if (engine === undefined) continue;
        void this.#order(engine, { demand: { model, version }, isSingle });
      }
    }
  }

  #toLoadable(engine: BackendServerEntry, model: string): LoadableEngine {
    const { pool, clock } = this.#options;
    const state = this.#state(engine);
    const { loading } = state;
    return {
      identifier: engine.identifier,
      version: pool.versionOf(engine, model),
      loading: loading?.model === model ? loading.version : undefined,
      isFree: !this.#isLoading(engine) && clock.monotonic() >= state.waitUntil,
      running: pool.running(engine.identifier),
    };
  }

  #isLoading(engine: BackendServerEntry): boolean {
    const state = this.#state(engine);
    return state.isCalling || state.loading !== undefined;
  }

  #isBehind(engine: BackendServerEntry, demand: ModelDemand): boolean {
    const version = this.#options.pool.versionOf(engine, demand.model);
    return version !== undefined && version < demand.version;
  }

  #noteLoaded(engine: BackendServerEntry): void {
    const state = this.#state(engine);
    const { loading } = state;
    if (loading === undefined) return;
    const version = this.#options.pool.versionOf(engine, loading.model) ?? 0;
    const now = this.#options.clock.monotonic();
    if (version >= loading.version || now >= state.waitUntil) {
      // Past the limit the engine is asked before it is ordered again.
      if (version < loading.version) state.acceptedOrders = undefined;
      state.loading = undefined;
      state.waitUntil = 0;
    }
  }

  async #order(
    engine: BackendServerEntry,
    { demand, isSingle }: {
      readonly demand: ModelDemand;
      readonly isSingle: boolean;
    },
  ): Promise<void> {
    const state = this.#state(engine);
    state.isCalling = true;
    try {
      state.acceptedOrders ??= await this.#ask(engine, demand);
      if (state.acceptedOrders === undefined) return;
      if (!this.#isBehind(engine, demand)) return;
      await this.#send(engine, { demand, isSingle, state });
    } finally {
      state.isCalling = false;
    }
  }

  // An engine's entry in the store lags behind; its report tells what it has accepted.
  async #ask(
    engine: BackendServerEntry,
    demand: ModelDemand,
  ): Promise<number | undefined> {
    const { client, pool, stopping, clock } = this.#options;
    const report = await client.report(engine, {
      signal: stopping,
      silenceMilliseconds: ORDER_SILENCE_MILLISECONDS,
    });
    if (report === undefined || report.isBusy) {
      this.#state(engine).waitUntil = clock.monotonic() +
        REFUSED_PAUSE_MILLISECONDS;
      return undefined;
    }
    const version = report.weightVersions.get(demand.model);
    if (version !== undefined) {
      pool.noteVersion(engine.identifier, demand.model, version);
    }
    return report.acceptedOrders;
  }

  async #send(
    engine: BackendServerEntry,
    { demand, isSingle, state }: {
      readonly demand: ModelDemand;
      readonly isSingle: boolean;
      readonly state: EngineState;
    },
  ): Promise<void> {
    const { client, lease, log, clock, stopping } = this.#options;
    const duty = lease.ifHeld();
    if (duty === undefined) return;
    const { model, version } = demand;
    const outcome = await client.order(engine, {
      model,
      version,
      runs: isSingle ? "finish" : "continue",
      holder: duty.holder,
      fencingNumber: duty.fencingNumber,
      acceptedOrders: state.acceptedOrders ?? 0,
    }, {
      signal: stopping,
      silenceMilliseconds: ORDER_SILENCE_MILLISECONDS,
      mayStart: () => lease.mayAct(duty),
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
      this.#options.board.noteLoad({
        engine: engine.identifier,
        model,
        version,
      });
      state.waitUntil = clock.monotonic() + LOAD_LIMIT_MILLISECONDS;
      return;
    }
    // Whether it was carried out shows in the engine's report.
    state.acceptedOrders = undefined;
    state.waitUntil = clock.monotonic() + REFUSED_PAUSE_MILLISECONDS;
  }

  #state(engine: BackendServerEntry): EngineState {
    const key = `${engine.identifier}/${engine.startedAt}`;
    let state = this.#states.get(key);
    if (state === undefined) {
      state = {
        acceptedOrders: undefined,
        loading: undefined,
        waitUntil: 0,
        isCalling: false,
      };
      this.#states.set(key, state);
    }
    return state;
  }
}

function needsSingleVersion(
  configuration: Configuration,
  service: string,
): boolean {
  return configuration.routes.some((route) =>
    route.isSingleVersion &&
    route.services.some((share) => share.service === service)
  );
}
