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
const SILENCE_MILLISECONDS = 2_000;

interface Report {
  readonly load: EngineLoad | undefined;
  readonly heardAt: number;
}

/** Reports of engines, read about once a second as a node's watchers would. */
export class EngineReports {
  readonly #reports = new Map<string, Report>();
  readonly #client: EngineClient;
  readonly #clock: Clock;

  /**
   * @param client - Reads the load of engines.
   * @param clock - Source of time.
   */
  constructor(client: EngineClient, clock: Clock) {
    this.#client = client;
    this.#clock = clock;
  }

  /** Returns the newest report of an engine. */
  report(address: string): Report | undefined {
    return this.#reports.get(address);
  }

  /** Forgets that an engine answered. */
  noteUnreachable(address: string): void {
    const heardAt = this.#clock.monotonic();
    this.#reports.set(address, { load: undefined, heardAt });
  }

  /** Reads one engine's load until stopped. */
  async watch(
    address: string,
    options: { readonly random: RandomSource; readonly stopping: AbortSignal },
  ): Promise<void> {
    const { random, stopping } = options;
    while (!stopping.aborted) {
      const load = await this.#client.load(address, {
        signal: stopping,
        silenceMilliseconds: SILENCE_MILLISECONDS,
      });
      this.#reports.set(address, { load, heardAt: this.#clock.monotonic() });
      const jitter = 0.9 + 0.2 * random.next();
      await this.#clock.sleep(REPORT_INTERVAL_MILLISECONDS * jitter, stopping);
    }
  }
}

/** View of engines as one node has it. */
export class PolledServerView implements BackendServerView {
  readonly #engines: ReadonlyArray<EngineAddress>;
  readonly #reports: EngineReports;
  readonly #clock: Clock;
  readonly #toldByPeers: (address: string) => number;

  /**
   * @param engines - All engines.
   * @param options - Their reports and what peers tell.
   */
  constructor(
    engines: ReadonlyArray<EngineAddress>,
    options: {
      readonly reports: EngineReports;
      readonly clock: Clock;
      readonly toldByPeers: (address: string) => number;
    },
  ) {
    this.#engines = engines;
    this.#reports = options.reports;
    this.#clock = options.clock;
    this.#toldByPeers = options.toldByPeers;
  }

  /** Returns all engines. */
  servers(): ReadonlyArray<BackendServerState> {
    return this.#engines.map((engine) => this.#state(engine));
  }

  /** Returns whether an engine answered last time. */
  isAvailable(address: string): boolean {
    return this.#reports.report(address)?.load?.leaving === false;
  }

  /** Forgets that an engine answered. */
  noteUnreachable(address: string): void {
    this.#reports.noteUnreachable(address);
  }

  #state({ address, failureDomain }: EngineAddress): BackendServerState {
    const report = this.#reports.report(address);
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
      loadAgeMilliseconds: this.#clock.monotonic() - (report?.heardAt ?? 0),
      cacheFreePermille: load?.cacheFreePermille ?? 1000,
      weightVersions: load?.weightVersions ?? [],
      dispatchedByPeers: this.#toldByPeers(address),
      tokensPerSecond: load?.tokensPerSecond ?? 0,
      microsPerHour: 0,
    };
  }
}
