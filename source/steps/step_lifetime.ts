import type { ReplicatedFacts } from "../membership/replicated_facts.ts";
import type { Clock } from "../utilities/clock.ts";
import type { StepReplica } from "./step_replica.ts";
import { toStepKey } from "./step_manifests.ts";

/** Retention of a step on a node, as a multiple of the step's deadline. */
const RETENTION_FACTOR = 3;

/** Dependencies of the step lifetime. */
export interface StepLifetimeOptions {
  readonly clock: Clock;
  readonly replicatedFacts: ReplicatedFacts;
}

/**
 * Determines when steps have ended and when a node may remove them.
 * @example
 * ```ts
 * if (lifetime.hasEnded(step)) end(step);
 * ```
 */
export class StepLifetime {
  readonly #options: StepLifetimeOptions;
  /** Monotonic time of the first check of each step, in milliseconds. */
  readonly #firstCheckedAt = new WeakMap<StepReplica, number>();

  /** @param options - Clock and replicated facts. */
  constructor(options: StepLifetimeOptions) {
    this.#options = options;
  }

  /**
   * Returns whether a step has ended: because it ended on this node, any node published that it
   * ended, or it has expired.
   */
  hasEnded(step: StepReplica): boolean {
    return step.hasEnded || this.#isPublishedAsEnded(step) ||
      this.isExpired(step);
  }

  /**
   * Returns whether more than `RETENTION_FACTOR` times a step's deadline has passed since the first
   * call for this step. The first call records the time.
   */
  isExpired(step: StepReplica): boolean {
    const now = this.#options.clock.monotonic();
    const firstCheckedAt = this.#firstCheckedAt.get(step) ?? now;
    this.#firstCheckedAt.set(step, firstCheckedAt);
    const retentionMilliseconds = step.manifest.deadlineSeconds * 1000 *
      RETENTION_FACTOR;
    return now - firstCheckedAt > retentionMilliseconds;
  }

  #isPublishedAsEnded(step: StepReplica): boolean {
    const { trainer, step: name, epoch } = step.manifest;
    const key = toStepKey(trainer, name);
    return this.#options.replicatedFacts.facts("step").some((fact) =>
      fact.key === key && fact.value.epoch === epoch && fact.value.ended
    );
  }
}
