import { BLOCKED_MILLISECONDS } from "../decisions/slot_share.ts";
import type { ServerLimits } from "../installation/server_limits.ts";
import type { Clock } from "../utilities/clock.ts";
import type { EngineAvailability } from "./engine_availability.ts";
import type { EngineLoads } from "./engine_loads.ts";
import type { EngineRequirements } from "./engine_request.ts";

/** What decides when waiting samples may find an engine. */
export interface AssignmentTimerOptions {
  readonly clock: Clock;
  readonly limits: ServerLimits;
  readonly availability: EngineAvailability;
  readonly loads: EngineLoads;
  /** Assigns engines to the waiting samples. */
  readonly assign: () => void;
}

/** The samples that wait. */
export interface WaitingSamples {
  readonly size: number;
  /** Their requirements, each once. */
  readonly requirements: ReadonlyArray<EngineRequirements>;
}

/** Assigns engines again at the times from which a waiting sample may find one. */
export class AssignmentTimer {
  readonly #options: AssignmentTimerOptions;
  /** Monotonic time, in milliseconds, at which samples that found no share are assigned. */
  #shareWaitEndsAt = 0;
  /** Monotonic time, in milliseconds, at which a load is expected to end. */
  #loadEndAt = 0;
  /** Monotonic time, in milliseconds, at which a limit allows a sample. */
  #roomAt = 0;

  /** @param options - The engines and the assignment. */
  constructor(options: AssignmentTimerOptions) {
    this.#options = options;
  }

  /** Plans the next assignments for samples that found no engine. */
  plan(waiting: WaitingSamples): void {
    this.#waitForLoads(waiting);
    this.#waitForShare(waiting);
    this.#waitForRoom(waiting);
  }

  /** Assigns engines after a time. */
  assignAfter(milliseconds: number): void {
    const { clock, assign } = this.#options;
    void clock.sleep(milliseconds + 1).then(assign);
  }

  // Waits until samples may be sent to engines that belong to no share of this node.
  #waitForShare({ size }: WaitingSamples): void {
    const { availability, clock } = this.#options;
    if (!availability.isWaitingForShare || size === 0) return;
    const now = clock.monotonic();
    if (this.#shareWaitEndsAt > now) return;
    this.#shareWaitEndsAt = now + BLOCKED_MILLISECONDS;
    this.assignAfter(BLOCKED_MILLISECONDS);
  }

  // Waits until a load that keeps one of the waiting samples from an engine is expected to end.
  #waitForLoads({ requirements }: WaitingSamples): void {
    const { loads, availability, clock } = this.#options;
    if (!loads.isAnyAssumed) return;
    const ends = requirements.map((each) => availability.findLoadEnd(each));
    const end = Math.min(Infinity, ...ends);
    const now = clock.monotonic();
    if (end === Infinity) return;
    if (this.#loadEndAt > now && this.#loadEndAt <= end) return;
    this.#loadEndAt = end;
    this.assignAfter(end - now);
  }

  // Waits until the limit of an engine that is free otherwise allows one of the waiting samples.
  #waitForRoom({ requirements, size }: WaitingSamples): void {
    const { limits, availability, clock } = this.#options;
    if (limits.size === 0) return;
    const free = requirements.flatMap((each) => availability.findFree(each));
    const identifiers = free.map(({ identifier }) => identifier);
    const wait = limits.estimateWait(identifiers, 0);
    if (wait === 0) return;
    limits.recordNeed(identifiers, size);
    const now = clock.monotonic();
    if (this.#roomAt > now && this.#roomAt <= now + wait) return;
    this.#roomAt = now + wait;
    this.assignAfter(wait);
  }
}
