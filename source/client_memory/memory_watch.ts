import type { EventLog } from "../observability/event_log.ts";
import type { Metrics } from "../observability/metrics.ts";
import type { Clock } from "../utilities/clock.ts";
import type { GarbageCollection } from "./garbage_collection.ts";

/** Share of the instance's memory above which garbage is collected and no large body grows. */
const PRESSED_SHARE = 0.8;
const CHECK_MILLISECONDS = 100;
/** Least time between two collections; it doubles while they free little, up to the maximum. */
const COLLECTION_MILLISECONDS = 400;
const MAXIMUM_COLLECTION_MILLISECONDS = 30_000;
/** Share of the memory that a collection must free for the next one to come as soon. */
const USEFUL_SHARE = 0.05;

/** Dependencies of a memory watch. */
export interface MemoryWatchOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Memory of the instance in bytes. */
  readonly memoryBytes: number;
  readonly stopping: AbortSignal;
  /** Returns the resident memory of the process in bytes; the process's own if absent. */
  readonly readResident?: () => number;
  readonly garbage: Pick<GarbageCollection, "collectAll">;
}

/**
 * Watches the resident memory of the process and collects garbage when it comes close to the memory of
 * its instance. V8 knows only the limit of its heap, which is the same on all instances, and lets
 * garbage grow up to it.
 */
export class MemoryWatch {
  readonly #options: MemoryWatchOptions;
  readonly #readResident: () => number;
  #isPressed = false;
  #collectedAt = -Infinity;
  #pauseMilliseconds = COLLECTION_MILLISECONDS;

  /** @param options - Clock, log, metrics and the memory of the instance. */
  constructor(options: MemoryWatchOptions) {
    this.#options = options;
    this.#readResident = options.readResident ??
      (() => process.memoryUsage.rss());
  }

  /** Whether the process is close to the memory of its instance. */
  get isPressed(): boolean {
    return this.#isPressed;
  }

  /** Watches until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping } = this.#options;
    while (!stopping.aborted) {
      this.check();
      await clock.sleep(CHECK_MILLISECONDS, stopping);
    }
  }

  /** Reads the resident memory, and collects garbage if it is close to the limit. */
  check(): void {
    const { clock, memoryBytes, metrics } = this.#options;
    const resident = this.#readResident();
    this.#isPressed = resident > PRESSED_SHARE * memoryBytes;
    metrics.gauge("resident_memory_bytes", resident, {});
    if (!this.#isPressed) return;
    if (clock.monotonic() - this.#collectedAt < this.#pauseMilliseconds) return;
    this.#collectGarbage(resident);
  }

  #collectGarbage(before: number): void {
    const { clock, log, memoryBytes, metrics, garbage } = this.#options;
    const startedAt = clock.monotonic();
    garbage.collectAll();
    const after = this.#readResident();
    this.#collectedAt = clock.monotonic();
    this.#isPressed = after > PRESSED_SHARE * memoryBytes;
    const isUseful = before - after > USEFUL_SHARE * memoryBytes;
    this.#pauseMilliseconds = isUseful
      ? COLLECTION_MILLISECONDS
      : Math.min(2 * this.#pauseMilliseconds, MAXIMUM_COLLECTION_MILLISECONDS);
    metrics.count("memory_collections", {
      freed: isUseful ? "much" : "little",
    });
    log.emit("memoryShort", {
      residentBytes: before,
      afterBytes: after,
      limitBytes: memoryBytes,
      milliseconds: Math.round(this.#collectedAt - startedAt),
    });
  }
}
