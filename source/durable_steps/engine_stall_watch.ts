import {
  type RunningEngine,
  selectStalledEngines,
} from "../decisions/stalled_engines.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { Clock } from "../utilities/clock.ts";
import type { EngineRequirements } from "./engine_request.ts";

/** Interval between two checks. */
const CHECK_MILLISECONDS = 100;

/** Time without an answer or event of any engine after which this node may be cut off from them. */
const QUIET_MILLISECONDS = 500;

/** A run whose engine may stall. */
export interface WatchedRun {
  readonly engine: string;
  /** Returns what the run would require of another engine now; undefined without a route. */
  readonly findRequirements: () => EngineRequirements | undefined;
  /** Called when the engine stalls while another one could go on with the run. */
  readonly onStalled: () => void;
}

/** Dependencies of a stall watch. */
export interface EngineStallWatchOptions {
  readonly clock: Clock;
  /** Returns the engines that run samples of this node. */
  readonly listRunning: () => ReadonlyArray<RunningEngine>;
  /** Returns the usual time between two events of a run, in milliseconds. */
  readonly usualEventMilliseconds: () => number;
  /** Returns the engines that could run another sample now. */
  readonly findAvailable: (
    requirements: EngineRequirements,
  ) => ReadonlyArray<BackendServerEntry>;
  /** Called while runs wait and no engine is heard. */
  readonly onQuiet: () => void;
}

/** Reports to runs that their engine has stalled, while another engine could go on with them. */
export class EngineStallWatch {
  readonly #options: EngineStallWatchOptions;
  readonly #runs = new Set<WatchedRun>();
  #isChecking = false;
  /** Monotonic time, in milliseconds, of the last answer or event of any engine. */
  #heardAt = 0;

  /** @param options - The engines and the clock. */
  constructor(options: EngineStallWatchOptions) {
    this.#options = options;
  }

  /** Records that some engine sent an answer or an event. */
  recordHeard(): void {
    this.#heardAt = this.#options.clock.monotonic();
  }

  /**
   * Watches a run.
   * @returns A function that ends the watch.
   */
  add(run: WatchedRun): () => void {
    this.#runs.add(run);
    void this.#check();
    return () => this.#runs.delete(run);
  }

  async #check(): Promise<void> {
    if (this.#isChecking) return;
    this.#isChecking = true;
    try {
      while (this.#runs.size > 0) {
        await this.#options.clock.sleep(CHECK_MILLISECONDS);
        this.#reportStalls();
      }
    } finally {
      // After an unexpected error, the next run starts the checks again.
      this.#isChecking = false;
    }
  }

  #reportStalls(): void {
    const { clock, listRunning, usualEventMilliseconds, findAvailable } =
      this.#options;
    const quietMilliseconds = clock.monotonic() - this.#heardAt;
    if (quietMilliseconds > QUIET_MILLISECONDS) this.#options.onQuiet();
    const stalled = selectStalledEngines(listRunning(), {
      now: clock.monotonic(),
      heardAt: this.#heardAt,
      usualEventMilliseconds: usualEventMilliseconds(),
    });
    if (stalled.length === 0) return;
    for (const run of [...this.#runs]) {
      if (!stalled.includes(run.engine)) continue;
      const requirements = run.findRequirements();
      if (requirements === undefined) continue;
      const isReplaceable = findAvailable(requirements).some((engine) =>
        !stalled.includes(engine.identifier)
      );
      if (isReplaceable) run.onStalled();
    }
  }
}
