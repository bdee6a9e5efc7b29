import type {
  BackendServerState,
  BackendServerView,
} from "../../source/backends/backend_server_state.ts";
import type {
  EngineClient,
  EngineOrderOutcome,
  ExchangeOptions,
  LoadVersionOrder,
} from "../../source/backends/engine_client.ts";
import type { Clock } from "../../source/utilities/clock.ts";
import { WeightStore } from "../platform/weight_store.ts";

const NETWORK_MILLISECONDS = 2;
const VERSION_BYTES = 10 * 64 * 1024;

/** Faults of an engine in handling a load order. */
export type LoadFault =
  | "none"
  | "fails"
  /** The order is reported as done, but the engine keeps its version. */
  | "liesDone"
  /** The order is executed, but its response is lost. */
  | "losesAnswer"
  /** The order is lost in transit, and its sender learns only that the outcome is unknown. */
  | "losesOrder";

/** A fake engine that loads weight versions. */
export interface FakeWeightEngine {
  readonly address: string;
  readonly failureDomain: string;
  startIdentity: string;
  version: number;
  fault: LoadFault;
  checksFencing: boolean;
  highestFencing: number;
  isReachable: boolean;
  /** Time at which each version was loaded, in milliseconds of the monotonic clock. */
  readonly loadedAt: Map<number, number>;
}

/** A load order with its time of receipt. */
export interface ReceivedLoad {
  readonly address: string;
  readonly version: number;
  readonly fencingNumber: number;
  readonly idempotencyKey: string;
  /** Monotonic time, in milliseconds. */
  readonly receivedAt: number;
}

/** Options of a set of fake engines. */
export interface FakeWeightEnginesOptions {
  readonly clock: Clock;
  readonly engines: number;
  /** Number of version downloads that the weight store can serve per second. */
  readonly loadsPerSecond: number;
  /** Delay before a change is visible in load reports. */
  readonly lagMilliseconds: number;
}

/**
 * Fake engines that load weight versions from one store with a shared rate limit.
 * @example
 * ```ts
 * const engines = new FakeWeightEngines({
 *   clock,
 *   engines: 6,
 *   loadsPerSecond: 2,
 *   lagMilliseconds: 500,
 * });
 * ```
 */
export class FakeWeightEngines
  implements Pick<EngineClient, "loadVersion">, BackendServerView {
  readonly engines: ReadonlyArray<FakeWeightEngine>;
  /** All load orders in the sequence of receipt. */
  readonly received: ReceivedLoad[] = [];
  /** Maximum number of concurrent loads so far. */
  maximumConcurrentLoads = 0;
  readonly #options: FakeWeightEnginesOptions;
  readonly #store: WeightStore;
  readonly #results = new Map<string, Promise<EngineOrderOutcome>>();
  readonly #reports = new Map<string, { version: number; start: string }>();
  #activeLoads = 0;

  /** @param options - Clock, number of engines, rate of the store, and lag of reports. */
  constructor(options: FakeWeightEnginesOptions) {
    this.#options = options;
    this.#store = new WeightStore({
      clock: options.clock,
      versionBytes: VERSION_BYTES,
      bytesPerSecond: VERSION_BYTES * options.loadsPerSecond,
    });
    this.engines = Array.from({ length: options.engines }, (_, position) => ({
      address: `engine-${position}`,
      failureDomain: `domain-${position % 3}`,
      startIdentity: `start-${position}-1`,
      version: 1,
      fault: "none",
      checksFencing: true,
      highestFencing: 0,
      isReachable: true,
      loadedAt: new Map<number, number>(),
    }));
    for (const engine of this.engines) this.#report(engine);
  }

  /** Returns the engines according to their latest load reports. */
  servers(): ReadonlyArray<BackendServerState> {
    return this.engines.map((engine) => {
      const report = this.#reports.get(engine.address);
      return {
        address: engine.address,
        service: "dot-models",
        failureDomain: engine.failureDomain,
        tier: "steady",
        startIdentity: report?.start ?? "",
        leaving: false,
        reachable: engine.isReachable,
        running: 0,
        waiting: 0,
        loadAgeMilliseconds: this.#options.lagMilliseconds,
        cacheFreePermille: 1000,
        weightVersions: [report?.version ?? 0],
        dispatchedByPeers: 0,
        tokensPerSecond: 100,
        microsPerHour: 0,
      };
    });
  }

  /** Returns true for every engine. */
  isAvailable(): boolean {
    return true;
  }

  /** Does nothing. */
  markUnreachable(): void {}

  /** Restarts an engine with a given version. */
  restart(engine: FakeWeightEngine, version: number): void {
    engine.startIdentity = `${engine.startIdentity}-again`;
    engine.version = version;
    void this.#reportAfterLag(engine);
  }

  /** Returns whether all engines have loaded a version or a later one. */
  haveAllLoaded(version: number): boolean {
    return this.engines.every((engine) => engine.version >= version);
  }

  /** Sends a load order to an engine over a simulated network. */
  async loadVersion(
    address: string,
    order: LoadVersionOrder,
    options: ExchangeOptions,
  ): Promise<EngineOrderOutcome> {
    const { clock } = this.#options;
    const engine = this.engines.find((each) => each.address === address);
    if (engine === undefined || !engine.isReachable) {
      return { kind: "notRun", reason: "refused" };
    }
    if (options.mayStart?.() === false) {
      return { kind: "notRun", reason: "may not start" };
    }
    await clock.sleep(NETWORK_MILLISECONDS);
    if (engine.fault === "losesOrder") {
      return { kind: "unknown", reason: "order lost" };
    }
    const loaded = this.#handleOrder(engine, order);
    const aborted = new Promise<EngineOrderOutcome>((resolve) =>
      options.signal.addEventListener(
        "abort",
        () => resolve({ kind: "unknown", reason: "cut" }),
        { once: true },
      )
    );
    const outcome = await Promise.race([loaded, aborted]);
    await clock.sleep(NETWORK_MILLISECONDS);
    if (engine.fault === "losesAnswer") {
      return { kind: "unknown", reason: "answer lost" };
    }
    return outcome;
  }

  #handleOrder(
    engine: FakeWeightEngine,
    order: LoadVersionOrder,
  ): Promise<EngineOrderOutcome> {
    this.received.push({
      address: engine.address,
      version: order.version,
      fencingNumber: order.fencingNumber,
      idempotencyKey: order.idempotencyKey,
      receivedAt: this.#options.clock.monotonic(),
    });
    if (engine.checksFencing && order.fencingNumber < engine.highestFencing) {
      const highest = engine.highestFencing;
      return Promise.resolve({ kind: "fenced", highest });
    }
    engine.highestFencing = Math.max(
      engine.highestFencing,
      order.fencingNumber,
    );
    const key = `${engine.startIdentity} ${order.idempotencyKey}`;
    const earlierResult = this.#results.get(key);
    if (earlierResult !== undefined) return earlierResult;
    const result = this.#fetch(engine, order);
    this.#results.set(key, result);
    return result;
  }

  async #fetch(
    engine: FakeWeightEngine,
    order: LoadVersionOrder,
  ): Promise<EngineOrderOutcome> {
    const { startIdentity, fault } = engine;
    this.#activeLoads += 1;
    this.maximumConcurrentLoads = Math.max(
      this.maximumConcurrentLoads,
      this.#activeLoads,
    );
    for await (const _chunk of this.#store.read()) {
      if (engine.startIdentity !== startIdentity) break;
    }
    this.#activeLoads -= 1;
    if (engine.startIdentity !== startIdentity) {
      return { kind: "unknown", reason: "restarted" };
    }
    if (fault === "fails") return { kind: "failed", reason: "no memory" };
    if (fault !== "liesDone") {
      engine.version = order.version;
      engine.loadedAt.set(order.version, this.#options.clock.monotonic());
      void this.#reportAfterLag(engine);
    }
    return { kind: "done", startIdentity: engine.startIdentity };
  }

  async #reportAfterLag(engine: FakeWeightEngine): Promise<void> {
    await this.#options.clock.sleep(this.#options.lagMilliseconds);
    this.#report(engine);
  }

  #report(engine: FakeWeightEngine): void {
    const { version, startIdentity: start } = engine;
    this.#reports.set(engine.address, { version, start });
  }
}
