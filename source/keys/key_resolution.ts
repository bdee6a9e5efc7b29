import type { Caller } from "../entry/entry_handler.ts";

/** What became of a key that a caller showed. */
export type KeyResolution =
  | { readonly kind: "accepted"; readonly caller: Caller }
  | KeyRefusal;

/** Why a key was not accepted. */
export interface KeyRefusal {
  readonly kind: "refused";
  readonly error: "keyUnknown" | "keyWithdrawn" | "staleKeys";
  readonly message: string;
  /** 0 where a repetition can't help. */
  readonly retryAfterMilliseconds: number;
}

/** The caller of an open route, who shows no key. */
export const OPEN_CALLER: Caller = {
  organisation: "open",
  keyIdentifier: "",
  isTrainer: false,
};
