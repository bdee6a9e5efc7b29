import type { LedgerEntry } from "../observability/cause_ledger.ts";
import type { HeldStep } from "./held_step.ts";
import type { SampleCopier } from "./sample_copier.ts";
import type { StepEffort, StepRunner } from "./step_runner.ts";

/** What the owner of a step runs. */
export interface OwnedStepParts {
  readonly copier: SampleCopier;
  readonly runner: StepRunner;
  readonly ledger: LedgerEntry;
  readonly startedAt: number;
}

/**
 * A step that this node runs, until it is stopped.
 * @example
 * ```ts
 * const owned = new OwnedStep(step, { copier, runner, ledger, startedAt });
 * void owned.run(context.stopping);
 * ```
 */
export class OwnedStep {
  /** The step's samples. */
  readonly step: HeldStep;
  /** Monotonic time at which this node began to run the step, in milliseconds. */
  readonly startedAt: number;
  readonly #parts: OwnedStepParts;
  readonly #controller = new AbortController();
  #isClosed = false;

  /**
   * @param step - The step's samples.
   * @param parts - What the owner runs.
   */
  constructor(step: HeldStep, parts: OwnedStepParts) {
    this.step = step;
    this.startedAt = parts.startedAt;
    this.#parts = parts;
  }

  /** Returns what the runs came to so far. */
  get effort(): StepEffort {
    return this.#parts.runner.effort;
  }

  /** Runs and copies samples until stopped. */
  async run(stopping: AbortSignal): Promise<void> {
    const signal = AbortSignal.any([this.#controller.signal, stopping]);
    await Promise.all([
      this.#parts.runner.run(signal),
      this.#parts.copier.run(signal),
    ]);
  }

  /** Gives the manifest to the peer that keeps copies. */
  copyManifest(): Promise<void> {
    return this.#parts.copier.copyManifest();
  }

  /** Copies what was not copied yet, to the peer and to the object store. */
  copyRest(): Promise<void> {
    return this.#parts.copier.copyRest();
  }

  /**
   * Closes the ledger, the first time that it is called.
   * @param isMissed - Whether the step's deadline was missed.
   * @returns Whether it was open.
   */
  closeLedger(isMissed: boolean): boolean {
    if (this.#isClosed) return false;
    this.#isClosed = true;
    this.#parts.ledger.close(isMissed);
    return true;
  }

  /**
   * Stops the runs and closes the ledger.
   * @param isMissed - Whether the step's deadline was missed.
   */
  stop(isMissed: boolean): void {
    this.#controller.abort();
    this.closeLedger(isMissed);
  }
}
