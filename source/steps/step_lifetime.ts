import type { ToldState } from "../membership/told_state.ts";
import type { Clock } from "../utilities/clock.ts";
import type { HeldStep } from "./held_step.ts";
import { toStepKey } from "./step_manifests.ts";

const RETENTION_FACTOR = 3;

/** What is needed to know whether a step is over. */
export interface StepLifetimeOptions {
  readonly clock: Clock;
  readonly told: ToldState;
}

/**
 * Knows when steps are over and when they may be forgotten.
 * @example
 * ```ts
 * if (lifetime.isOver(step)) end(step);
 * ```
 */
export class StepLifetime {
  readonly #options: StepLifetimeOptions;
  readonly #learnedAt = new WeakMap<HeldStep, number>();

  /** @param options - Clock and told facts. */
  constructor(options: StepLifetimeOptions) {
    this.#options = options;
  }

  /** Returns whether a step ended here, was told to have ended, or is long past its deadline. */
  isOver(step: HeldStep): boolean {
    return step.hasEnded || this.#isToldEnded(step) || this.isForgettable(step);
  }

  /** Returns whether a step is so old that nothing of it needs to be kept. */
  isForgettable(step: HeldStep): boolean {
    const now = this.#options.clock.monotonic();
    const learnedAt = this.#learnedAt.get(step) ?? now;
    this.#learnedAt.set(step, learnedAt);
    const retention = step.manifest.deadlineSeconds * 1000 * RETENTION_FACTOR;
    return now - learnedAt > retention;
  }

  #isToldEnded(step: HeldStep): boolean {
    const { trainer, step: name, epoch } = step.manifest;
    const key = toStepKey(trainer, name);
    return this.#options.told.facts("step").some((fact) =>
      fact.key === key && fact.value.epoch === epoch && fact.value.ended
    );
  }
}
