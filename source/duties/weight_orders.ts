import type { ServerClient } from "../backends/server_client.ts";
import type { EnginePool } from "../durable_steps/engine_pool.ts";
import type { StepBook } from "../durable_steps/step_book.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { Configuration, Service } from "../installation/configuration.ts";
import type { OperatorView } from "../installation/operator_view.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "../utilities/clock.ts";
import { assignEngines, type ModelDemand } from "./assign_engines.ts";
import type { DutyLease } from "./duty_lease.ts";

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
  readonly book: StepBook;
  readonly client: ServerClient;
  readonly lease: DutyLease;
  readonly stopping: AbortSignal;
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

/**
 * Moves engines to the named versions while this node holds the duty: each model has engines of
 * its own, and only these load its versions.
 */
export class WeightOrders {
  readonly #options: WeightOrdersOptions;
  readonly #states = new Map<string, EngineState>();
  readonly #assigned = new Map<string, ReadonlyMap<string, string>>();

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
    const { servers, clock } = this.#options;
    const engines = servers.ofService(service.name);
    const demands = this.#demands(service);
    const previous = this.#assigned.get(service.name) ?? new Map();
    const assigned = assignEngines(engines, demands, previous);
    this.#assigned.set(service.name, assigned);
    const limit = Math.max(
      LEAST_LOADING,
      Math.floor(LOADING_SHARE * engines.length),
    );
    const now = clock.monotonic();
    for (const engine of engines) this.#noteLoaded(engine);
    let loading =
      engines.filter((engine) => this.#state(engine).loading !== undefined)
        .length;
    for (const engine of engines) {
      const model = assigned.get(engine.identifier);
      const demand = demands.find((each) => each.model === model);
      const state = this.#state(engine);
      if (demand === undefined || state.isCalling) continue;
      if (state.loading !== undefined || now < state.waitUntil) continue;
      if (loading >= limit || !this.#isBehind(engine, demand)) continue;
      loading += 1;
      const isSingle = needsSingleVersion(configuration, service.name);
      void this.#order(engine, { demand, isSingle });
    }
  }

  #demands(service: Service): ReadonlyArray<ModelDemand> {
    const newest = new Map<string, { step: number; total: number }>();
    for (const { manifest } of this.#options.book.entries) {
      const known = newest.get(manifest.model);
      if (known === undefined || manifest.step >= known.step) {
        const { step, total } = manifest;
        newest.set(manifest.model, { step, total });
      }
    }
    return service.models.map((model) => ({
      model,
      weight: newest.get(model)?.total ?? 0,
      version: this.#options.operator.namedVersions.get(model) ?? 0,
    }));
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
