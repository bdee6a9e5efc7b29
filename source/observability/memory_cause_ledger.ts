import { LRUCache } from "lru-cache";
import type { Clock } from "../utilities/clock.ts";
import type {
  Cause,
  CauseLedger,
  LedgerAnswer,
  LedgerEntry,
  LedgerQuery,
  LedgerSubject,
} from "./cause_ledger.ts";
import type { Metrics } from "./metrics.ts";

const MAXIMUM_ENTRIES = 5_000;

interface ClosedEntry {
  readonly subject: LedgerSubject;
  readonly causes: ReadonlyMap<Cause, number>;
  readonly missed: boolean;
  /** Monotonic time, in milliseconds. */
  readonly closedAt: number;
}

type Matcher = (subject: LedgerSubject, identifier: string) => boolean;

const MATCHERS: Readonly<Record<LedgerQuery["subject"], Matcher>> = {
  request: (subject, identifier) =>
    subject.kind === "request" && subject.identifier === identifier,
  step: (subject, identifier) =>
    subject.kind === "step" && subject.identifier === identifier,
  organisation: (subject, identifier) => subject.organisation === identifier,
  service: (subject, identifier) => subject.service === identifier,
  all: () => true,
};

/** Dependencies and size of a ledger. */
export interface MemoryCauseLedgerOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Maximum number of closed entries in memory; 5,000 when absent. */
  readonly maximumEntries?: number;
}

/**
 * Ledger that retains its newest closed entries in memory.
 * @example
 * ```ts
 * const entry = ledger.open(subject);
 * entry.add("queue", 12);
 * entry.close(false);
 * ```
 */
export class MemoryCauseLedger implements CauseLedger {
  readonly #clock: Clock;
  readonly #metrics: Metrics;
  readonly #closed: LRUCache<string, ClosedEntry>;

  /** @param options - Dependencies and size of the ledger. */
  constructor(options: MemoryCauseLedgerOptions) {
    this.#clock = options.clock;
    this.#metrics = options.metrics;
    this.#closed = new LRUCache({
      max: options.maximumEntries ?? MAXIMUM_ENTRIES,
    });
  }

  /** Opens an entry. */
  open(subject: LedgerSubject): LedgerEntry {
    const causes = new Map<Cause, number>();
    let isClosed = false;
    return {
      add: (cause, milliseconds): void => {
        if (isClosed || !(milliseconds > 0)) return;
        causes.set(cause, (causes.get(cause) ?? 0) + milliseconds);
      },
      close: (missed): void => {
        if (isClosed) return;
        isClosed = true;
        this.#record({
          subject,
          causes,
          missed,
          closedAt: this.#clock.monotonic(),
        });
      },
    };
  }

  /** Sums the matching entries that missed their target, or all matching ones when none missed. */
  explain(query: LedgerQuery): LedgerAnswer {
    const earliest = this.#clock.monotonic() - query.withinMilliseconds;
    const matches = MATCHERS[query.subject];
    const matching = [...this.#closed.values()].filter((entry) =>
      entry.closedAt >= earliest && matches(entry.subject, query.identifier)
    );
    const missed = matching.filter((entry) => entry.missed);
    return {
      causes: sumCauses(missed.length > 0 ? missed : matching),
      subjects: matching.length,
      targetsMissed: missed.length,
    };
  }

  #record(entry: ClosedEntry): void {
    const { kind, identifier, organisation, classOfWork } = entry.subject;
    this.#closed.set(`${kind}/${identifier}`, entry);
    for (const [cause, milliseconds] of entry.causes) {
      this.#metrics.histogram(`${kind}.cause.milliseconds`, milliseconds, {
        cause,
        organisation,
        class: classOfWork,
      });
    }
    if (entry.missed) {
      this.#metrics.count(`${kind}.target_missed`, {
        organisation,
        class: classOfWork,
      });
    }
  }
}

function sumCauses(
  entries: ReadonlyArray<ClosedEntry>,
): Readonly<Partial<Record<Cause, number>>> {
  const sums: Partial<Record<Cause, number>> = {};
  for (const entry of entries) {
    for (const [cause, milliseconds] of entry.causes) {
      sums[cause] = (sums[cause] ?? 0) + milliseconds;
    }
  }
  return sums;
}
