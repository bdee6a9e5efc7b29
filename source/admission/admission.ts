import type { DispatchRefusal, Work } from "../dispatch/dispatcher.ts";

/** Leave to run; must be released exactly once. */
export interface AdmissionTicket {
  readonly kind: "admitted";
  /** Returns the slot and accounts for the tokens that were served. */
  release(servedTokens: number): void;
}

/** Decides when work may start, and what is refused at once. */
export interface Admission {
  /** Waits for a slot in the order of the policy, or refuses. */
  admit(
    work: Work & { readonly expectedTokens: number },
  ): Promise<AdmissionTicket | DispatchRefusal>;
  /** Requests waiting for a service. */
  queued(service: string): number;
}
