import type { Caller } from "../entry/entry_handler.ts";

/** The result of resolving a key that a caller sent. */
export type KeyResolution =
  | { readonly kind: "accepted"; readonly caller: Caller }
  | KeyRefusal;

/** The reason why a key was not accepted. */
export interface KeyRefusal {
  readonly kind: "refused";
  readonly error: "keyUnknown" | "keyWithdrawn" | "staleKeys";
  readonly message: string;
  /** 0 if a retry can't succeed. */
  readonly retryAfterMilliseconds: number;
}

/** The caller of a request without a key. */
export const ANONYMOUS_CALLER: Caller = {
  organisation: "open",
  keyIdentifier: "",
  isTrainer: false,
};
