/** A condition that takes time from a request or a step. */
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

/** What the time is accounted for. */
export interface LedgerSubject {
  readonly kind: "request" | "step";
  readonly identifier: string;
  readonly organisation: string;
  readonly classOfWork: string;
  readonly service: string;
}

/** Accounts for the time of one request or step. */
export interface LedgerEntry {
  /** Adds time that a cause took. */
  add(cause: Cause, milliseconds: number): void;
  /** Closes the entry; `missed` tells whether its target was missed. */
  close(missed: boolean): void;
}

/** Which entries to explain. */
export interface LedgerQuery {
  readonly subject: "request" | "step" | "organisation" | "service" | "all";
  readonly identifier: string;
  /** Only entries closed in the last so many milliseconds. */
  readonly withinMilliseconds: number;
}

/** Time by cause over all entries that a query met. */
export interface LedgerAnswer {
  readonly causes: Readonly<Partial<Record<Cause, number>>>;
  readonly subjects: number;
  readonly targetsMissed: number;
}

/** Keeps where time went for the newest requests and steps of this node. */
export interface CauseLedger {
  /** Opens an entry. */
  open(subject: LedgerSubject): LedgerEntry;
  /** Sums the entries that a query meets. */
  explain(query: LedgerQuery): LedgerAnswer;
}
