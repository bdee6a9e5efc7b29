import {
  type ClientMemoryLimits,
  decideGrowth,
  type HolderState,
  type MemoryHolder,
  SMALL_BODY_BYTES,
} from "../decisions/client_memory.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { Metrics } from "../observability/metrics.ts";
import type { Clock } from "../utilities/clock.ts";
import type { GarbageCollection } from "./garbage_collection.ts";

/** Interval at which waiting requests are checked, as others stall without an event. */
const CHECK_MILLISECONDS = 100;
/** Time for which a body waits for room before its request is refused. */
const WAIT_MILLISECONDS = 2000;
/** Least time between two log events about requests that were ended. */
const REPORT_MILLISECONDS = 1000;

/** Dependencies of the memory of clients. */
export interface ClientMemoryOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly limits: ClientMemoryLimits;
  /** Whether the process is close to the memory of its instance. */
  readonly isPressed: () => boolean;
  readonly garbage: Pick<GarbageCollection, "recordRead" | "recordEnded">;
}

/** A request that is about to hold memory. */
export interface NewHolder {
  /** Organisation of its key; empty without one. */
  readonly organisation: string;
  /** Bytes that it holds from the start. */
  readonly bytes: number;
  /** Called when it must end to make room for others; it has not run, or its answer is not read. */
  readonly onRelease: () => void;
}

interface Waiter {
  readonly hold: MemoryHold;
  readonly bytes: number;
  readonly until: number;
  readonly resolve: (isGranted: boolean) => void;
}

/** The memory that one request holds, until it is released. */
export class MemoryHold implements MemoryHolder {
  readonly number: number;
  readonly organisation: string;
  readonly onRelease: () => void;
  bytes = 0;
  state: HolderState = "reading";
  progressAt: number;
  readonly #memory: ClientMemory;

  /**
   * @param memory - The memory of all clients.
   * @param holder - The request, its number in the order of arrival and the time of its arrival.
   */
  constructor(
    memory: ClientMemory,
    holder: NewHolder & { readonly number: number; readonly now: number },
  ) {
    this.#memory = memory;
    this.number = holder.number;
    this.organisation = holder.organisation;
    this.onRelease = holder.onRelease;
    this.progressAt = holder.now;
  }

  /**
   * Asks for more memory; the body must not be read on meanwhile.
   * @returns Whether it was granted; if not, the request must be refused.
   */
  grow(bytes: number): true | Promise<boolean> {
    return this.#memory.grow(this, bytes);
  }

  /** Records short-lived memory, which is garbage by now. */
  recordRead(bytes: number): void {
    this.#memory.recordRead(bytes);
  }

  /** Returns some of the memory. */
  shrink(bytes: number): void {
    this.#memory.add(this, -bytes);
  }

  /** Records that the body or the answer made progress. */
  recordProgress(now: number): void {
    this.progressAt = now;
  }

  /** Counts an answer, which is sent however much memory is in use. */
  addAnswer(bytes: number, now: number): void {
    this.state = "answering";
    this.progressAt = now;
    this.#memory.add(this, bytes);
  }

  /** Returns the memory; a second call has no effect. */
  release(): void {
    this.#memory.remove(this);
  }
}

/**
 * Counts all memory that a node holds for its clients, and decides who gives way when the sum is full.
 * @example
 * ```ts
 * const hold = memory.open({ organisation: "school", bytes: 8192, onRelease });
 * if (hold === undefined || !await hold.grow(65536)) refuse();
 * ```
 */
export class ClientMemory {
  readonly #options: ClientMemoryOptions;
  readonly #holds = new Set<MemoryHold>();
  readonly #waiting: Waiter[] = [];
  #usedBytes = 0;
  #count = 0;
  #isChecking = false;
  #reportedAt = -Infinity;
  #unreported = 0;

  /** @param options - Clock, log, metrics and limits. */
  constructor(options: ClientMemoryOptions) {
    this.#options = options;
  }

  /** Bytes that clients hold. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Number of requests that wait for room. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /**
   * Counts a request whose head was read.
   * @returns Its hold; undefined if there is no room, so that it must be refused.
   */
  open(holder: NewHolder): MemoryHold | undefined {
    this.#count += 1;
    const now = this.#options.clock.monotonic();
    const hold = new MemoryHold(this, { ...holder, number: this.#count, now });
    this.#holds.add(hold);
    if (this.#tryGrow(hold, holder.bytes)) return hold;
    this.#holds.delete(hold);
    this.#countEnd("refusedAtHead");
    return undefined;
  }

  /** Asks for more memory of a hold. */
  grow(hold: MemoryHold, bytes: number): true | Promise<boolean> {
    if (this.#tryGrow(hold, bytes)) return true;
    if (!this.#holds.has(hold)) return Promise.resolve(false);
    hold.state = "waiting";
    const until = this.#options.clock.monotonic() + WAIT_MILLISECONDS;
    return new Promise((resolve) => {
      this.#waiting.push({ hold, bytes, until, resolve });
      void this.#checkPeriodically();
    });
  }

  /** Records short-lived memory, which is garbage by now. */
  recordRead(bytes: number): void {
    this.#options.garbage.recordRead(bytes);
  }

  /** Counts bytes that a hold has whatever the sum is; negative ones that it has no more. */
  add(hold: MemoryHold, bytes: number): void {
    if (!this.#holds.has(hold)) return;
    hold.bytes += bytes;
    this.#usedBytes += bytes;
  }

  /** Removes a hold. */
  remove(hold: MemoryHold): void {
    if (!this.#holds.delete(hold)) return;
    this.#usedBytes -= hold.bytes;
    if (hold.bytes > SMALL_BODY_BYTES) {
      this.#options.garbage.recordEnded(hold.bytes);
    }
    const index = this.#waiting.findIndex((waiter) => waiter.hold === hold);
    if (index >= 0) this.#waiting.splice(index, 1)[0]?.resolve(false);
    this.#checkWaiting();
  }

  // Grants memory if there is room, after requests that give way have ended.
  #tryGrow(hold: MemoryHold, bytes: number): boolean {
    const { clock, limits, isPressed } = this.#options;
    while (this.#holds.has(hold)) {
      const decision = decideGrowth(
        { holder: hold, bytes, now: clock.monotonic() },
        {
          limits,
          usedBytes: this.#usedBytes,
          isPressed: isPressed(),
          holders: this.#holds,
        },
      );
      if (decision.kind === "wait") return false;
      if (decision.kind === "grant") {
        this.add(hold, bytes);
        this.#options.garbage.recordRead(bytes);
        return true;
      }
      this.#end(decision.number);
    }
    return false;
  }

  #end(number: number): void {
    for (const hold of this.#holds) {
      if (hold.number !== number) continue;
      this.#countEnd(hold.state);
      this.#report(hold);
      this.remove(hold);
      hold.onRelease();
      return;
    }
  }

  async #checkPeriodically(): Promise<void> {
    if (this.#isChecking) return;
    this.#isChecking = true;
    while (this.#waiting.length > 0) {
      await this.#options.clock.sleep(CHECK_MILLISECONDS);
      this.#checkWaiting();
    }
    this.#isChecking = false;
  }

  // Serves the requests that wait in the order of their arrival.
  #checkWaiting(): void {
    const now = this.#options.clock.monotonic();
    const waiting = this.#waiting.splice(0);
    waiting.sort((left, right) => left.hold.number - right.hold.number);
    for (const waiter of waiting) {
      const { hold, bytes, until, resolve } = waiter;
      if (this.#holds.has(hold) && this.#tryGrow(hold, bytes)) {
        hold.state = "reading";
        hold.recordProgress(now);
        resolve(true);
      } else if (!this.#holds.has(hold) || now >= until) {
        if (now >= until) this.#countEnd("waited");
        resolve(false);
      } else this.#waiting.push(waiter);
    }
  }

  #countEnd(reason: string): void {
    this.#options.metrics.count("client_requests_ended_for_memory", { reason });
  }

  // One event a second at most, as a crowd of clients is ended by hundreds.
  #report({ state, organisation, bytes }: MemoryHold): void {
    const { clock, log, limits } = this.#options;
    this.#unreported += 1;
    const now = clock.monotonic();
    if (now - this.#reportedAt < REPORT_MILLISECONDS) return;
    log.emit("clientMemoryFull", {
      ended: this.#unreported,
      state,
      organisation,
      bytes,
      usedBytes: this.#usedBytes,
      limitBytes: limits.sumBytes,
    });
    this.#reportedAt = now;
    this.#unreported = 0;
  }
}
