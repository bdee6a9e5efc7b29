import type { QueuedSample, SampleQueue } from "../decisions/sample_queue.ts";
import type { Clock } from "../utilities/clock.ts";
import type { EngineAvailability } from "./engine_availability.ts";
import type { EngineRequest, EngineRequirements } from "./engine_request.ts";

/** Minimum interval between two selections of the groups that are deferred. */
const PLAN_INTERVAL_MILLISECONDS = 250;
/** Expected remaining run time of a sample that another node runs. */
const RUN_ELSEWHERE_MILLISECONDS = 500;

/** The waiting samples and the engines that could run them. */
export interface GroupPlannerOptions<
  Sample extends QueuedSample<EngineRequirements>,
> {
  readonly clock: Pick<Clock, "monotonic">;
  readonly queue: SampleQueue<EngineRequirements, Sample>;
  readonly availability: EngineAvailability;
}

/** Selects the groups that wait behind all others, for the engines' current capacity. */
export class GroupPlanner<Sample extends QueuedSample<EngineRequirements>> {
  readonly #options: GroupPlannerOptions<Sample>;
  /** Monotonic time, in milliseconds, from which the deferred groups are selected again. */
  #nextPlanAt = 0;
  /** Expected end of each of this node's runs, in monotonic milliseconds. */
  readonly #expectedEnds = new Map<EngineRequest, number>();

  /** @param options - The waiting samples and the engines. */
  constructor(options: GroupPlannerOptions<Sample>) {
    this.#options = options;
  }

  /** Has the groups selected again at the next assignment. */
  renew(): void {
    this.#nextPlanAt = 0;
  }

  /** Records that a sample starts to run on this node. */
  recordStart(request: EngineRequest): void {
    const { clock } = this.#options;
    this.#expectedEnds.set(
      request,
      clock.monotonic() + request.urgency.expectedMilliseconds,
    );
  }

  /** Records that a run has ended. */
  recordEnd(request: EngineRequest): void {
    this.#expectedEnds.delete(request);
  }

  /** Selects the groups unless they were selected a short time ago. */
  plan(): void {
    const { clock, queue } = this.#options;
    const now = clock.monotonic();
    if (queue.size === 0 || now < this.#nextPlanAt) return;
    this.#nextPlanAt = now + PLAN_INTERVAL_MILLISECONDS;
    queue.plan({
      now,
      slots: this.#countUsableSlots(),
      runningMilliseconds: this.#estimateRunning(now),
    });
  }

  // Returns the expected remaining time of all runs together, in milliseconds.
  #estimateRunning(now: number): number {
    let milliseconds = 0;
    for (const end of this.#expectedEnds.values()) {
      milliseconds += Math.max(0, end - now);
    }
    for (const count of this.#options.availability.runningElsewhere.values()) {
      milliseconds += count * RUN_ELSEWHERE_MILLISECONDS;
    }
    return milliseconds;
  }

  // Counts the slots of the engines that can run any of the waiting samples, free or not.
  #countUsableSlots(): number {
    const { queue, availability } = this.#options;
    const engines = queue.requirements.flatMap((requirements) =>
      availability.findUsable(requirements)
    );
    return [...new Set(engines)].reduce((sum, { slots }) => sum + slots, 0);
  }
}
