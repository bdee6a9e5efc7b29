/** What a request or step spends time on: its generation, or a condition that delays it. */
export type Cause =
  | "quota"
  | "queue"
  | "noCapacity"
  | "weightSwap"
  | "platformOutage"
  | "straggler"
  | "slowServer"
  | "serverErrors"
  | "reclaim"
  | "retry"
  | "staleSamples"
  | "generation";

/** Request or step whose time is recorded. */
export interface LedgerSubject {
  readonly kind: "request" | "step";
  readonly identifier: string;
  readonly organisation: string;
  readonly classOfWork: string;
  readonly service: string;
}

/** Records the time of one request or step by cause. */
export interface LedgerEntry {
  /** Adds time that a cause took. */
  add(cause: Cause, milliseconds: number): void;
  /** Closes the entry; `missed` is whether the request or step missed its target. */
  close(missed: boolean): void;
}

/** Selects the entries to sum. */
export interface LedgerQuery {
  readonly subject: "request" | "step" | "organisation" | "service" | "all";
  readonly identifier: string;
  /** Maximum time since an entry was closed. */
  readonly withinMilliseconds: number;
}

/** Time by cause over all entries that match a query. */
export interface LedgerAnswer {
  /** Milliseconds by cause, of entries that missed their target, or of all when none missed. */
  readonly causes: Readonly<Partial<Record<Cause, number>>>;
  /** Number of matching entries. */
  readonly subjects: number;
  /** Number of matching entries that missed their target. */
  readonly targetsMissed: number;
}

/** Records the time by cause of the newest requests and steps of this node. */
export interface CauseLedger {
  /** Opens an entry. */
  open(subject: LedgerSubject): LedgerEntry;
  /** Sums the entries that match a query. */
  explain(query: LedgerQuery): LedgerAnswer;
}
