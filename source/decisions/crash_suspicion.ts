/** A start of a server that ended while it ran a request. */
export interface ServerCrash {
  readonly server: string;
  /** Time at which that process of the server started, in milliseconds since the Unix epoch. */
  readonly startedAt: number;
  /** Time of the crash, in milliseconds since the Unix epoch. */
  readonly at: number;
}

/** What the nodes know of requests with the same content under which servers ended. */
export interface CrashRecord {
  /** One entry for each start of a server, the oldest first. */
  readonly crashes: ReadonlyArray<ServerCrash>;
  /** Number of requests that were sent on trial while the others were held. */
  readonly trials: number;
  /** Time of the last trial; 0 if there was none. */
  readonly triedAt: number;
}

/** When a decision is made, and the servers that could run the request. */
export interface SuspectState {
  /** Time in milliseconds since the Unix epoch. */
  readonly now: number;
  /** Starts of servers that take requests, as far as known. */
  readonly servers: ReadonlyArray<
    Readonly<{ identifier: string; startedAt: number }>
  >;
}

/** Record of a content under which no server ended. */
export const NO_CRASHES: CrashRecord = { crashes: [], trials: 0, triedAt: 0 };

/** Whether a request may be sent to a server. */
export type SuspectDecision =
  | { readonly kind: "send" }
  /** One request of all nodes together may be sent, to find out whether it still crashes servers. */
  | { readonly kind: "try" }
  | { readonly kind: "reject"; readonly retryAfterMilliseconds: number };

/** Number of servers that must have ended; one also ends under requests that only ran beside. */
const SUSPICIOUS_CRASHES = 2;
/**
 * Time after the last crash for which requests are held before the first trial, while enough servers
 * run that the service outlives another crash.
 */
const SPARE_HOLD_MILLISECONDS = 1000;
/** Number of servers that must run for that. */
const SPARE_SERVERS = 2;
/**
 * Time after the last crash or trial for which requests are held, by the number of trials so far. The
 * first one lets crashed servers come back.
 */
const HOLD_MILLISECONDS: ReadonlyArray<number> = [3000, 60_000, 600_000];
/** Time for which requests are held after the last trial; the record is forgotten then. */
const FINAL_HOLD_MILLISECONDS = 86_400_000;
/** Time for which a server's end is remembered that is the only one under a request. */
const SINGLE_CRASH_MILLISECONDS = 600_000;
/** Maximum number of crashes that a record lists, as it is stored in one row. */
const MAXIMUM_CRASHES = 20;
/** Time in which a trial ends as a rule; requests that come meanwhile are told to return after it. */
const TRIAL_MILLISECONDS = 2000;

/**
 * Decides whether a request with a content may be sent to a server.
 *
 * Load pattern: a request ends each server that runs it and comes again and again, at any node, so
 * that all servers of a service are down most of the time. Other requests run on the same servers and
 * end with them, also when all servers lose power at once, and must be served soon after. A request
 * under which two servers have ended is held, and sent on trial after 1 to 3 s, 1 min and 10 min, so
 * that it reaches at most three servers after the third one.
 * @param record - What is known of the content; undefined if no server ended under it.
 * @param state - The time and the servers.
 * @example
 * ```ts
 * const decision = decideSuspect(record, { now: clock.wall(), servers });
 * ```
 */
export function decideSuspect(
  record: CrashRecord | undefined,
  { now, servers }: SuspectState,
): SuspectDecision {
  if (record === undefined || isForgotten(record, now)) return { kind: "send" };
  if (record.crashes.length < SUSPICIOUS_CRASHES) return { kind: "send" };
  const hold = record.trials === 0 && hasSpareServers(record, servers)
    ? SPARE_HOLD_MILLISECONDS
    : toHold(record);
  const remaining = toChangedAt(record) + hold - now;
  if (remaining <= 0) return { kind: "try" };
  const trialRemaining = record.triedAt + TRIAL_MILLISECONDS - now;
  const isOnTrial = record.triedAt >= toLastCrashAt(record) &&
    trialRemaining > 0;
  return {
    kind: "reject",
    retryAfterMilliseconds: isOnTrial ? trialRemaining : remaining,
  };
}

/** Adds the end of a server to a record; returns the same record if it has that end already. */
export function addCrash(
  record: CrashRecord | undefined,
  crash: ServerCrash,
): CrashRecord {
  const known = record !== undefined && !isForgotten(record, crash.at)
    ? record
    : NO_CRASHES;
  const isKnown = known.crashes.some(({ server, startedAt }) =>
    server === crash.server && startedAt === crash.startedAt
  );
  if (isKnown) return known;
  const crashes = [...known.crashes, crash].slice(-MAXIMUM_CRASHES);
  return { ...known, crashes };
}

/** Adds a trial that begins now to a record. */
export function addTrial(record: CrashRecord, now: number): CrashRecord {
  return { ...record, trials: record.trials + 1, triedAt: now };
}

/** Removes the trial that began at a time; returns the same record if that is not its last one. */
export function removeTrial(record: CrashRecord, triedAt: number): CrashRecord {
  if (record.triedAt !== triedAt) return record;
  return { ...record, trials: record.trials - 1, triedAt: 0 };
}

/** Whether a record is too old to count. */
export function isForgotten(record: CrashRecord, now: number): boolean {
  const age = now - toChangedAt(record);
  return record.crashes.length < SUSPICIOUS_CRASHES
    ? age > SINGLE_CRASH_MILLISECONDS
    : age > FINAL_HOLD_MILLISECONDS;
}

// The entries of servers that have ended are still listed for some time.
function hasSpareServers(
  { crashes }: CrashRecord,
  servers: SuspectState["servers"],
): boolean {
  const running = servers.filter(({ identifier, startedAt }) =>
    !crashes.some((crash) =>
      crash.server === identifier && crash.startedAt === startedAt
    )
  );
  return running.length >= SPARE_SERVERS;
}

function toHold({ trials }: CrashRecord): number {
  return HOLD_MILLISECONDS[trials] ?? FINAL_HOLD_MILLISECONDS;
}

function toChangedAt(record: CrashRecord): number {
  return Math.max(record.triedAt, toLastCrashAt(record));
}

function toLastCrashAt({ crashes }: CrashRecord): number {
  return Math.max(0, ...crashes.map(({ at }) => at));
}
