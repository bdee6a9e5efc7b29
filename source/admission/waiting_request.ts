import type { DispatchRefusal, Work } from "../dispatch/dispatcher.ts";
import type { AdmissionTicket } from "./admission.ts";

/** Work that asks for admission. */
export type AdmissibleWork = Work & { readonly expectedTokens: number };

/** A request in the queue of its service. */
export interface WaitingRequest {
  readonly organisation: string;
  readonly classOfWork: string;
  /** Tokens it is expected to take, or 1 for a plain call. */
  readonly cost: number;
  /** Order of arrival at this node. */
  readonly sequence: number;
  /** Monotonic time of arrival, in milliseconds. */
  readonly enqueuedAt: number;
  /** When the class's target passes. */
  readonly dueAt: number;
  /** Until when an answer is worth its cost: the target, or later where the caller gave a longer deadline. */
  readonly usefulUntil: number;
  /** When it is given up. */
  readonly deadline: number;
  /** Whether it uses only what other classes leave over. */
  readonly deferrable: boolean;
  /** Gives the answer to who waits. */
  readonly settle: (answer: AdmissionTicket | DispatchRefusal) => void;
}
