/** Which key is given. */
export interface KeyRequest {
  readonly organisation: string;
  readonly trainer: boolean;
}

/** A given key, or why none was given. */
export type GiveKeyOutcome =
  | {
    readonly kind: "given";
    readonly key: string;
    readonly keyIdentifier: string;
  }
  | { readonly kind: "unavailable"; readonly reason: string };

/** How far a withdrawal has got. */
export interface WithdrawalOutcome {
  readonly confirmed: ReadonlyArray<string>;
  readonly silent: ReadonlyArray<string>;
  /** Whether the table has it; if not, it is saved later. */
  readonly saved: boolean;
  readonly streamsCut: number;
}

/** Gives and withdraws keys. */
export interface KeyIssuer {
  /** Gives a key; only its digest is kept. */
  give(request: KeyRequest): Promise<GiveKeyOutcome>;
  /** Withdraws a key in the table and at all live nodes. */
  withdraw(keyIdentifier: string): Promise<WithdrawalOutcome>;
}
