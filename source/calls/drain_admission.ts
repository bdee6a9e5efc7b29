import {
  decideDrainAdmission,
  type Drain,
} from "../decisions/drain_admission.ts";
import { RecentDurations } from "../decisions/recent_durations.ts";
import type { RouteKind, ServiceRoute } from "../installation/configuration.ts";
import type { Metrics } from "../observability/metrics.ts";
import type { Clock } from "../utilities/clock.ts";
import type { RandomSource } from "../utilities/random_source.ts";
import type { CallOutcome } from "./call_outcome.ts";

/** Whether a caller may repeat a call with an unknown outcome, by the kind of its route. */
const MAY_REPEAT: Readonly<Record<RouteKind, boolean>> = {
  idempotent: true,
  nonIdempotent: false,
  streaming: false,
  steps: true,
};

/** Dependencies of a drain admission. */
export interface DrainAdmissionOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  /** Whether other nodes take callers. */
  readonly hasOtherNodes: () => boolean;
}

/** Refuses calls that may not end before a node that drains stops. */
export class DrainAdmission {
  readonly #options: DrainAdmissionOptions;
  readonly #durations = new RecentDurations();
  #startedAt = Infinity;
  #endsAt = Infinity;

  /** @param options - The clock and the other nodes. */
  constructor(options: DrainAdmissionOptions) {
    this.#options = options;
  }

  /** Monotonic time, in milliseconds, at which calls that still run are ended; Infinity before. */
  get endsAt(): number {
    return this.#endsAt;
  }

  /**
   * Starts the drain.
   * @param milliseconds - Time until calls that still run are ended.
   */
  start(milliseconds: number): void {
    this.#startedAt = this.#options.clock.monotonic();
    this.#endsAt = this.#startedAt + milliseconds;
  }

  /**
   * Records the time that a call has taken until the end of its response.
   * @param since - Monotonic time, in milliseconds, at which the whole request had arrived.
   */
  recordDuration({ name }: Pick<ServiceRoute, "name">, since: number): void {
    this.#durations.record(name, this.#options.clock.monotonic() - since);
  }

  /**
   * Decides whether a call may start.
   * @param route - The call's route.
   * @param deadline - Monotonic time, in milliseconds, until which the call may run.
   * @returns The refusal; undefined if it may start.
   */
  findRefusal(route: ServiceRoute, deadline: number): CallOutcome | undefined {
    const drain = this.#describe();
    if (drain === undefined) return undefined;
    const { clock, random, metrics } = this.#options;
    const decision = decideDrainAdmission(drain, {
      limitMilliseconds: deadline - clock.monotonic(),
      mayRepeat: MAY_REPEAT[route.kind],
      targetMilliseconds: route.latencyTargetMilliseconds,
      durations: this.#durations.get(route.name),
    }, random.next());
    metrics.count("calls_during_drain", { decision: decision.kind });
    if (decision.kind === "accept") return undefined;
    const { retryAfterMilliseconds } = decision;
    return { kind: "refused", refusal: "stopping", retryAfterMilliseconds };
  }

  #describe(): Drain | undefined {
    if (this.#startedAt === Infinity) return undefined;
    const now = this.#options.clock.monotonic();
    return {
      elapsedMilliseconds: now - this.#startedAt,
      leftMilliseconds: Math.max(0, this.#endsAt - now),
      hasOtherNodes: this.#options.hasOtherNodes(),
    };
  }
}
