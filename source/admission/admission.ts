import type { DispatchRefusal, Work } from "../dispatch/dispatcher.ts";

/** Slot granted to a request; must be released exactly once. */
export interface AdmissionTicket {
  readonly kind: "admitted";
  /**
   * Frees the slot and charges the organisation for the served tokens instead of the expected ones;
   * 0 leaves the expected tokens charged.
   */
  release(servedTokens: number): void;
}

/** Admission control: decides when a request may start and which requests are refused. */
export interface Admission {
  /**
   * Queues a request; resolves to a ticket when the admission policy grants it a slot, or to a
   * refusal.
   */
  admit(
    work: Work & { readonly expectedTokens: number },
  ): Promise<AdmissionTicket | DispatchRefusal>;
  /** Returns how many requests wait for a slot of a service at this node. */
  queued(service: string): number;
}
