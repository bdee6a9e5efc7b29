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
  /** Monotonic times in milliseconds: arrival, the class's target, and when it is given up. */
  readonly enqueuedAt: number;
  readonly dueAt: number;
  readonly deadline: number;
  /** Whether it uses only what other classes leave over. */
  readonly deferrable: boolean;
  /** Gives the answer to who waits. */
  readonly settle: (answer: AdmissionTicket | DispatchRefusal) => void;
}
