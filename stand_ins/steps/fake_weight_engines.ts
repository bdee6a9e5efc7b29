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

/** What an engine does wrong with an order. */
export type LoadFault =
  | "none"
  | "fails"
  | "liesDone"
  | "losesAnswer"
  /** The order is lost on its way, and nobody is told. */
  | "losesOrder";

/** One engine that loads versions. */
export interface FakeWeightEngine {
  readonly address: string;
  readonly failureDomain: string;
  start: string;
  version: number;
  fault: LoadFault;
  checksFencing: boolean;
  highestFencing: number;
  isReachable: boolean;
  /** When each version was loaded, in milliseconds. */
  readonly loadedAt: Map<number, number>;
}

/** An order as an engine received it. */
export interface ReceivedLoad {
  readonly address: string;
  readonly version: number;
  readonly fencingNumber: number;
  readonly idempotencyKey: string;
  readonly receivedAt: number;
}

/** Settings of a set of engines. */
export interface FakeWeightEnginesOptions {
  readonly clock: Clock;
  readonly engines: number;
  /** Loads that the weight store can feed in a second. */
  readonly loadsPerSecond: number;
  /** How long reports lag. */
  readonly lagMilliseconds: number;
}

/**
 * Engines that load versions from one store with a shared rate.
 * @example
 * ```ts
 * const engines = new FakeWeightEngines({ clock, engines: 6, loadsPerSecond: 2, lagMilliseconds: 500 });
 * ```
 */
export class FakeWeightEngines
  implements Pick<EngineClient, "loadVersion">, BackendServerView {
  readonly engines: ReadonlyArray<FakeWeightEngine>;
  /** All orders received, in their order. */
  readonly received: ReceivedLoad[] = [];
  /** Most loads under way at once. */
  mostAtOnce = 0;
  readonly #options: FakeWeightEnginesOptions;
  readonly #store: WeightStore;
  readonly #results = new Map<string, Promise<EngineOrderOutcome>>();
  readonly #reports = new Map<string, { version: number; start: string }>();
  #underWay = 0;

  /** @param options - The engines' settings. */
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
      start: `start-${position}-1`,
      version: 1,
      fault: "none",
      checksFencing: true,
      highestFencing: 0,
      isReachable: true,
      loadedAt: new Map<number, number>(),
    }));
    for (const engine of this.engines) this.#report(engine);
  }

  /** Returns the engines as reported. */
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

  /** Returns whether an engine may get work. */
  isAvailable(): boolean {
    return true;
  }

  /** Does nothing. */
  noteUnreachable(): void {}

  /** Restarts an engine with an old version. */
  restart(engine: FakeWeightEngine, version: number): void {
    engine.start = `${engine.start}-again`;
    engine.version = version;
    void this.#reportLater(engine);
  }

  /** Returns whether all engines run a version. */
  haveAll(version: number): boolean {
    return this.engines.every((engine) => engine.version >= version);
  }

  /** Takes an order over the network. */
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
    const loaded = this.#receive(engine, order);
    const cut = new Promise<EngineOrderOutcome>((resolve) =>
      options.signal.addEventListener(
        "abort",
        () => resolve({ kind: "unknown", reason: "cut" }),
        { once: true },
      )
    );
    const outcome = await Promise.race([loaded, cut]);
    await clock.sleep(NETWORK_MILLISECONDS);
    if (engine.fault === "losesAnswer") {
      return { kind: "unknown", reason: "answer lost" };
    }
    return outcome;
  }

  #receive(
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
    const key = `${engine.start} ${order.idempotencyKey}`;
    const known = this.#results.get(key);
    if (known !== undefined) return known;
    const result = this.#fetch(engine, order);
    this.#results.set(key, result);
    return result;
  }

  async #fetch(
    engine: FakeWeightEngine,
    order: LoadVersionOrder,
  ): Promise<EngineOrderOutcome> {
    const { start, fault } = engine;
    this.#underWay += 1;
    this.mostAtOnce = Math.max(this.mostAtOnce, this.#underWay);
    for await (const _chunk of this.#store.read()) {
      if (engine.start !== start) break;
    }
    this.#underWay -= 1;
    if (engine.start !== start) return { kind: "unknown", reason: "restarted" };
    if (fault === "fails") return { kind: "failed", reason: "no memory" };
    if (fault !== "liesDone") {
      engine.version = order.version;
      engine.loadedAt.set(order.version, this.#options.clock.monotonic());
      void this.#reportLater(engine);
    }
    return { kind: "done", startIdentity: engine.start };
  }

  async #reportLater(engine: FakeWeightEngine): Promise<void> {
    await this.#options.clock.sleep(this.#options.lagMilliseconds);
    this.#report(engine);
  }

  #report(engine: FakeWeightEngine): void {
    const { version, start } = engine;
    this.#reports.set(engine.address, { version, start });
  }
}
