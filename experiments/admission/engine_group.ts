import type { BackendServerState } from "../../source/backends/backend_server_state.ts";
import type { Clock } from "../../source/utilities/clock.ts";
import { describeServer } from "../../stand_ins/entry/admission_bench.ts";

/** How the engines of a measurement behave. */
export interface EngineGroupOptions {
  readonly clock: Clock;
  readonly engines: number;
  readonly slotsOfAnEngine: number;
  /** Time between two load reports of an engine, which is also their largest age, in milliseconds. */
  readonly reportMilliseconds: number;
}

interface Engine {
  running: number;
  readonly waiting: Array<() => void>;
}

/** Engines that run a fixed number of requests at once and let the others wait in order. */
export class EngineGroup {
  readonly #options: EngineGroupOptions;
  readonly #engines: ReadonlyArray<Engine>;
  #reports: ReadonlyArray<BackendServerState> = [];
  #reportedAt = -Infinity;

  /** @param options - How the engines behave. */
  constructor(options: EngineGroupOptions) {
    this.#options = options;
    this.#engines = Array.from(
      { length: options.engines },
      () => ({ running: 0, waiting: [] }),
    );
  }

  /** Runs one request on the engine that has least to do. */
  async run(milliseconds: number): Promise<void> {
    const engine = this.#leastBusy();
    if (engine.running >= this.#options.slotsOfAnEngine) {
      await new Promise<void>((resolve) => engine.waiting.push(resolve));
    } else engine.running += 1;
    await this.#options.clock.sleep(milliseconds);
    const next = engine.waiting.shift();
    if (next === undefined) engine.running -= 1;
    else next();
  }

  /** Returns the newest load reports. */
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

  #leastBusy(): Engine {
    return this.#engines.reduce((least, engine) =>
      engine.running + engine.waiting.length <
          least.running + least.waiting.length
        ? engine
        : least
    );
  }
}
