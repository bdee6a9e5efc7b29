import type { StepResult } from "../clients/trainer_client.ts";

/** Kinds of call that callers make. */
export type CallKind =
  | "completion"
  | "stream"
  | "openStatus"
  | "order"
  | "claimedOrder";

/** Outcome of one attempt, as its caller saw it. */
export type ObservedOutcome =
  | {
    readonly kind: "answered";
    readonly text: string;
    readonly finishReason: string;
  }
  | {
    readonly kind: "refused";
    readonly error: string;
    readonly ran: string;
    readonly hasRetryAfter: boolean;
  }
  | { readonly kind: "lost"; readonly reason: string };

/** Attempt of a call, as its caller saw it. Times are milliseconds from the start of the run. */
export interface Attempt {
  readonly call: string;
  /** Text in the path or prompt; attempts share it only if they have the same idempotency key. */
  readonly marker: string;
  readonly kind: CallKind;
  readonly organisation: string;
  readonly keyIdentifier: string;
  readonly node: string;
  readonly address: string;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly outcome: ObservedOutcome;
}

/** Step, as its trainer saw it. */
export interface ObservedStep {
  readonly step: string;
  readonly prompts: ReadonlyArray<string>;
  readonly wanted: number;
  readonly result: StepResult;
}

/** Fault that was injected. Times are milliseconds from the start of the run. */
export interface InjectedFault {
  readonly kind: string;
  readonly target: string;
  readonly from: number;
  to: number;
}

/**
 * Withdrawal of a key, and the output that the operator saw. Times are milliseconds from the start
 * of the run.
 */
export interface ObservedWithdrawal {
  readonly keyIdentifier: string;
  readonly answeredAt: number;
  readonly output: string;
}

/** Revision that was accepted. Times are milliseconds from the start of the run. */
export interface AcceptedRevision {
  readonly revision: number;
  readonly answeredAt: number;
}

/** Revision that a node reported at a time. Times are milliseconds from the start of the run. */
export interface NodeRevision {
  readonly node: string;
  readonly nodeStart: string;
  readonly revision: number;
  readonly at: number;
}

/** End of a node's process after SIGTERM. Times are milliseconds from the start of the run. */
export interface ObservedDrain {
  readonly node: string;
  readonly address: string;
  readonly from: number;
  readonly to: number;
  readonly exitStatus: number | null;
  readonly lines: ReadonlyArray<string>;
}

/** Records everything that is observed from outside the nodes during a run. */
export class Journal {
  readonly #startedAt = performance.now();
  readonly attempts: Attempt[] = [];
  readonly steps: ObservedStep[] = [];
  readonly faults: InjectedFault[] = [];
  readonly withdrawals: ObservedWithdrawal[] = [];
  readonly revisions: AcceptedRevision[] = [];
  readonly nodeRevisions: NodeRevision[] = [];
  readonly drains: ObservedDrain[] = [];
  /** Secrets of all keys that were issued. */
  readonly secrets: string[] = [];
  /** Descriptions of nodes that ended unexpectedly, and of a first weight version not accepted. */
  readonly crashes: string[] = [];

  /** Returns milliseconds from the start of the run. */
  now(): number {
    return performance.now() - this.#startedAt;
  }
}
