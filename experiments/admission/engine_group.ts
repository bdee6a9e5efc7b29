import type { BackendServerState } from "../../source/backends/backend_server_state.ts";
import type { Clock } from "../../source/utilities/clock.ts";
import { describeServer } from "../../stand_ins/entry/admission_bench.ts";

/** Number, capacity and report interval of simulated engines. */
export interface EngineGroupOptions {
  readonly clock: Clock;
  readonly engines: number;
  readonly slotsPerEngine: number;
  /** Interval between load reports of an engine, and so their largest age, in milliseconds. */
  readonly reportMilliseconds: number;
}

interface Engine {
  running: number;
  readonly waiting: Array<() => void>;
}

/** Simulated engines that each run a fixed number of requests at once and queue further ones. */
export class EngineGroup {
  readonly #options: EngineGroupOptions;
  readonly #engines: ReadonlyArray<Engine>;
  #reports: ReadonlyArray<BackendServerState> = [];
  #reportedAt = -Infinity;

  /** @param options - Number, capacity and report interval of the engines. */
  constructor(options: EngineGroupOptions) {
    this.#options = options;
    this.#engines = Array.from(
      { length: options.engines },
      () => ({ running: 0, waiting: [] }),
    );
  }

  /** Runs one request on the engine with the fewest requests. */
  async run(milliseconds: number): Promise<void> {
    const engine = this.#getLeastBusy();
    if (engine.running >= this.#options.slotsPerEngine) {
      await new Promise<void>((resolve) => engine.waiting.push(resolve));
    } else engine.running += 1;
    await this.#options.clock.sleep(milliseconds);
    const next = engine.waiting.shift();
    if (next === undefined) engine.running -= 1;
    else next();
  }

  /** Returns the latest load reports; renews them all once the report interval has passed. */
  reports(): ReadonlyArray<BackendServerState> {
    const now = this.#options.clock.monotonic();
    if (now - this.#reportedAt >= this.#options.reportMilliseconds) {
      this.#reportedAt = now;
      this.#reports = this.#engines.map(({ running, waiting }, index) =>
        describeServer(`engine-${index + 1}`, {
          running,
          waiting: waiting.length,
        })
      );
    }
    const loadAgeMilliseconds = now - this.#reportedAt;
    return this.#reports.map((report) => ({ ...report, loadAgeMilliseconds }));
  }

  #getLeastBusy(): Engine {
    return this.#engines.reduce((least, engine) =>
      engine.running + engine.waiting.length <
          least.running + least.waiting.length
        ? engine
        : least
    );
  }
}
