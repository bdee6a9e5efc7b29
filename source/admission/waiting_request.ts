import type { DispatchRefusal, Work } from "../dispatch/dispatcher.ts";
import type { AdmissionTicket } from "./admission.ts";

/** Work with its expected cost, as admission needs it. */
export type AdmissibleWork = Work & { readonly expectedTokens: number };

/** Request in the queue of its service. */
export interface WaitingRequest {
  readonly organisation: string;
  readonly classOfWork: string;
  /** Expected tokens; 1 for a plain call. */
  readonly cost: number;
  /** Number of the request in order of arrival at this node. */
  readonly sequence: number;
  /** Monotonic time of arrival, in milliseconds. */
  readonly enqueuedAt: number;
  /** Monotonic time at which the class's latency target passes, in milliseconds. */
  readonly dueAt: number;
  /**
   * Monotonic time until which a result is useful, in milliseconds: the deadline of a deferrable
   * request; for any other, the later of `dueAt` and the deadline minus the class's latency target.
   */
  readonly usefulUntil: number;
  /** Monotonic time by which the response must be complete, in milliseconds. */
  readonly deadline: number;
  /** Whether the request uses only slots that other classes leave free. */
  readonly deferrable: boolean;
  /** Resolves the caller's wait with a ticket or a refusal. */
  readonly settle: (result: AdmissionTicket | DispatchRefusal) => void;
}
