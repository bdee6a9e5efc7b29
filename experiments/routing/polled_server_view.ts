import type {
  BackendServerState,
  BackendServerView,
} from "../../source/backends/backend_server_state.ts";
import type {
  EngineClient,
  EngineLoad,
} from "../../source/backends/engine_client.ts";
import type { Clock } from "../../source/utilities/clock.ts";
import type { RandomSource } from "../../source/utilities/random_source.ts";
import type { EngineAddress } from "./messages.ts";

const REPORT_INTERVAL_MILLISECONDS = 1_000;
const TIMEOUT_MILLISECONDS = 2_000;

interface LoadReport {
  readonly load: EngineLoad | undefined;
  readonly receivedAt: number;
}

/** Polls the load of engines about once a second, as the nodes that monitor them do. */
export class EngineLoadPoller {
  readonly #reports = new Map<string, LoadReport>();
  readonly #client: EngineClient;
  readonly #clock: Clock;

  /**
   * @param client - Client that reads the load of engines.
   * @param clock - Clock for intervals and report times.
   */
  constructor(client: EngineClient, clock: Clock) {
    this.#client = client;
    this.#clock = clock;
  }

  /** Returns the latest load report of an engine. */
  getReport(address: string): LoadReport | undefined {
    return this.#reports.get(address);
  }

  /** Marks an engine as unreachable until the next poll. */
  noteUnreachable(address: string): void {
    const receivedAt = this.#clock.monotonic();
    this.#reports.set(address, { load: undefined, receivedAt });
  }

  /** Polls the load of one engine until aborted. */
  async poll(
    address: string,
    options: { readonly random: RandomSource; readonly stopping: AbortSignal },
  ): Promise<void> {
    const { random, stopping } = options;
    while (!stopping.aborted) {
      const load = await this.#client.readLoad(address, {
        signal: stopping,
        silenceMilliseconds: TIMEOUT_MILLISECONDS,
      });
      this.#reports.set(address, { load, receivedAt: this.#clock.monotonic() });
      const jitter = 0.9 + 0.2 * random.next();
      await this.#clock.sleep(REPORT_INTERVAL_MILLISECONDS * jitter, stopping);
    }
  }
}

/** State of all engines as one node sees it. */
export class PolledServerView implements BackendServerView {
  readonly #engines: ReadonlyArray<EngineAddress>;
  readonly #reports: EngineLoadPoller;
  readonly #clock: Clock;
  readonly #getRunningOnPeers: (address: string) => number;

  /**
   * @param engines - All engines.
   * @param options - Load reports, clock and the requests that peers run on an engine.
   */
  constructor(
    engines: ReadonlyArray<EngineAddress>,
    options: {
      readonly reports: EngineLoadPoller;
      readonly clock: Clock;
      readonly getRunningOnPeers: (address: string) => number;
    },
  ) {
    this.#engines = engines;
    this.#reports = options.reports;
    this.#clock = options.clock;
    this.#getRunningOnPeers = options.getRunningOnPeers;
  }

  /** Returns all engines. */
  servers(): ReadonlyArray<BackendServerState> {
    return this.#engines.map((engine) => this.#getState(engine));
  }

  /** Returns whether the last poll reached the engine and found it not draining. */
  isAvailable(address: string): boolean {
    return this.#reports.getReport(address)?.load?.leaving === false;
  }

  /** Marks an engine as unreachable until the next poll. */
  markUnreachable(address: string): void {
    this.#reports.noteUnreachable(address);
  }

  #getState({ address, failureDomain }: EngineAddress): BackendServerState {
    const report = this.#reports.getReport(address);
    const load = report?.load;
    return {
      address,
      failureDomain,
      service: "dot-models",
      tier: "steady",
      startIdentity: load?.startIdentity ?? "",
      leaving: load?.leaving ?? false,
      reachable: load !== undefined,
      running: load?.running ?? 0,
      waiting: load?.waiting ?? 0,
      loadAgeMilliseconds: this.#clock.monotonic() - (report?.receivedAt ?? 0),
      cacheFreePermille: load?.cacheFreePermille ?? 1000,
      weightVersions: load?.weightVersions ?? [],
      dispatchedByPeers: this.#getRunningOnPeers(address),
      tokensPerSecond: load?.tokensPerSecond ?? 0,
      microsPerHour: 0,
    };
  }
}
