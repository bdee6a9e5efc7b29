import type { LedgerEntry } from "../observability/cause_ledger.ts";
import type { StepReplica } from "./step_replica.ts";
import type { SampleCopier } from "./sample_copier.ts";
import type { StepRunner, StepTotals } from "./step_runner.ts";

/** Components that the owner of a step runs. */
export interface OwnedStepParts {
  readonly copier: SampleCopier;
  readonly runner: StepRunner;
  readonly ledger: LedgerEntry;
  /** Monotonic time at which this node started to run the step, in milliseconds. */
  readonly startedAt: number;
}

/**
 * Runs a step that this node owns until it is stopped.
 * @example
 * ```ts
 * const owned = new OwnedStep(step, { copier, runner, ledger, startedAt });
 * void owned.run(context.stopping);
 * ```
 */
export class OwnedStep {
  /** Replica of the step on this node. */
  readonly step: StepReplica;
  /** Monotonic time at which this node started to run the step, in milliseconds. */
  readonly startedAt: number;
  readonly #parts: OwnedStepParts;
  readonly #controller = new AbortController();
  #isLedgerClosed = false;

  /**
   * @param step - Replica of the step on this node.
   * @param parts - Components that the owner runs.
   */
  constructor(step: StepReplica, parts: OwnedStepParts) {
    this.step = step;
    this.startedAt = parts.startedAt;
    this.#parts = parts;
  }

  /** Returns the totals of all runs so far. */
  get totals(): StepTotals {
    return this.#parts.runner.totals;
  }

  /** Runs and copies samples until `stop` is called or `stopping` is aborted. */
  async run(stopping: AbortSignal): Promise<void> {
    const signal = AbortSignal.any([this.#controller.signal, stopping]);
    await Promise.all([
      this.#parts.runner.run(signal),
      this.#parts.copier.run(signal),
    ]);
  }

  /** Copies the manifest to the peer that holds the copies. */
  copyManifest(): Promise<void> {
    return this.#parts.copier.copyManifest();
  }

  /** Copies the remaining samples to the peer and to the object store. */
  copyRemaining(): Promise<void> {
    return this.#parts.copier.copyRemaining();
  }

  /**
   * Closes the step's entry in the cause ledger on the first call.
   * @param missedDeadline - Whether the step's deadline was missed.
   * @returns Whether the entry was still open.
   */
  closeLedger(missedDeadline: boolean): boolean {
    if (this.#isLedgerClosed) return false;
    this.#isLedgerClosed = true;
    this.#parts.ledger.close(missedDeadline);
    return true;
  }

  /**
   * Stops the runs and closes the step's entry in the cause ledger.
   * @param missedDeadline - Whether the step's deadline was missed.
   */
  stop(missedDeadline: boolean): void {
    this.#controller.abort();
    this.closeLedger(missedDeadline);
  }
}
