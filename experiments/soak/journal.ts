import type { StepResult } from "../clients/trainer_client.ts";

/** Kinds of call that callers make. */
export type CallKind =
  | "completion"
  | "stream"
  | "openStatus"
  | "order"
  | "claimedOrder";

/** What a caller saw of one attempt. */
export type SeenOutcome =
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

/** One attempt of a call, as its caller saw it. Times are milliseconds from the start of the run. */
export interface Attempt {
  readonly call: string;
  /** Text that is in the attempt's path or prompt and in no other's, except under one idempotency key. */
  readonly marker: string;
  readonly kind: CallKind;
  readonly organisation: string;
  readonly keyIdentifier: string;
  readonly node: string;
  readonly address: string;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly outcome: SeenOutcome;
}

/** One step, as its trainer saw it. */
export interface SeenStep {
  readonly step: string;
  readonly prompts: ReadonlyArray<string>;
  readonly wanted: number;
  readonly result: StepResult;
}

/** One fault as it was brought about. */
export interface SeenFault {
  readonly kind: string;
  readonly target: string;
  readonly from: number;
  to: number;
}

/** What an operator was told. */
export interface SeenWithdrawal {
  readonly keyIdentifier: string;
  readonly answeredAt: number;
  readonly output: string;
}

/** An accepted revision. */
export interface SeenRevision {
  readonly revision: number;
  readonly answeredAt: number;
}

/** The revision that a node told at a time. */
export interface SeenNodeRevision {
  readonly node: string;
  readonly nodeStart: string;
  readonly revision: number;
  readonly at: number;
}

/** How a node's process ended after it was told to leave. */
export interface SeenDrain {
  readonly node: string;
  readonly address: string;
  readonly from: number;
  readonly to: number;
  readonly exitStatus: number | null;
  readonly lines: ReadonlyArray<string>;
}

/** Collects everything that is seen from outside the nodes during a run. */
export class Journal {
  readonly #startedAt = performance.now();
  readonly attempts: Attempt[] = [];
  readonly steps: SeenStep[] = [];
  readonly faults: SeenFault[] = [];
  readonly withdrawals: SeenWithdrawal[] = [];
  readonly revisions: SeenRevision[] = [];
  readonly nodeRevisions: SeenNodeRevision[] = [];
  readonly drains: SeenDrain[] = [];
  /** Secrets of all keys given. */
  readonly secrets: string[] = [];
  /** Processes that ended by themselves. */
  readonly crashes: string[] = [];

  /** Returns milliseconds from the start of the run. */
  now(): number {
    return performance.now() - this.#startedAt;
  }
}
