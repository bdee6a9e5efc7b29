const BYTES_PER_MEGABYTE = 1024 * 1024;
/** Resident memory of a node that serves its usual load. */
const OWN_MEGABYTES = 130;
/** Share of the rest that clients may hold; the other half is for garbage that is not collected yet. */
const CLIENT_SHARE = 0.5;
const MINIMUM_SUM_BYTES = 16 * BYTES_PER_MEGABYTE;
/** Share of the sum that requests with large bodies may take, so that small ones are still served. */
const LARGE_SHARE = 0.75;
/** Share of the sum that is for connections. */
const CONNECTION_SHARE = 0.25;
/** Socket, parser and the head of a request that is still read. */
const CONNECTION_BYTES = 32 * 1024;
/** Share of the descriptors that clients' connections may take. */
const DESCRIPTOR_SHARE = 0.6;
/** Largest body that counts as small. */
export const SMALL_BODY_BYTES = 64 * 1024;
/** Time without progress after which a body gives way to others when memory is short. */
const STALL_MILLISECONDS = 1000;
/** The same for an answer that its client does not read. */
const UNREAD_MILLISECONDS = 5000;

/** What the clients of a node may hold together. */
export interface ClientMemoryLimits {
  /** Bytes of all requests and answers. */
  readonly sumBytes: number;
  /** The part of it that requests with large bodies may take. */
  readonly largeBytes: number;
  /** Number of open connections. */
  readonly connections: number;
}

/**
 * Derives the limits from what an instance gives its process.
 * @param instance - Memory in bytes and number of descriptors.
 * @example
 * ```ts
 * toClientMemoryLimits({ memoryBytes: 380 * 1024 * 1024, descriptors: 8200 }).sumBytes; // 131072000
 * ```
 */
export function toClientMemoryLimits(
  { memoryBytes, descriptors }: {
    readonly memoryBytes: number;
    readonly descriptors: number;
  },
): ClientMemoryLimits {
  const rest = memoryBytes - OWN_MEGABYTES * BYTES_PER_MEGABYTE;
  const sumBytes = Math.max(MINIMUM_SUM_BYTES, Math.floor(CLIENT_SHARE * rest));
  const connections = Math.min(
    CONNECTION_SHARE * sumBytes / CONNECTION_BYTES,
    DESCRIPTOR_SHARE * descriptors,
  );
  return {
    sumBytes,
    largeBytes: Math.floor(LARGE_SHARE * sumBytes),
    connections: Math.floor(connections),
  };
}

/** What a request does with the memory that it holds. */
export type HolderState =
  /** Its body arrives. */
  | "reading"
  /** Its body is not read on until there is room. */
  | "waiting"
  /** Its body is whole, so it may run. */
  | "whole"
  /** Its answer is being sent. */
  | "answering";

/** A request that holds memory. */
export interface MemoryHolder {
  /** Number in the order of arrival. */
  readonly number: number;
  /** Organisation of its key; empty without one. */
  readonly organisation: string;
  readonly bytes: number;
  readonly state: HolderState;
  /** Monotonic time, in milliseconds, of its last progress. */
  readonly progressAt: number;
}

/** More memory for one holder. */
export interface MemoryGrowth {
  readonly holder: MemoryHolder;
  readonly bytes: number;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** What all holders have. */
export interface MemoryUse {
  readonly limits: ClientMemoryLimits;
  readonly usedBytes: number;
  /** Whether the process is close to the memory of its instance. */
  readonly isPressed: boolean;
  readonly holders: Iterable<MemoryHolder>;
}

/** Whether a holder gets more memory. */
export type MemoryDecision =
  | { readonly kind: "grant" }
  /** Another request, or the holder itself, must be ended first. */
  | { readonly kind: "release"; readonly number: number }
  | { readonly kind: "wait" };

/**
 * Decides whether a request gets more memory.
 *
 * Load pattern: clients send many bodies at once that stop short of their end, or come in tiny chunks,
 * or do not read their answers. A request that makes no progress gives way first, then the latest one
 * of an organisation that holds more than its share while another one asks for less. Otherwise the body
 * waits; if all wait, the latest one gives way, so that the earliest one always gets on. A single large
 * request is served however small the sum is. One whose body is whole never gives way, as it may run.
 * @param growth - The holder and what it asks for.
 * @param use - What all holders have.
 * @example
 * ```ts
 * decideGrowth({ holder, bytes: 65536, now }, { limits, usedBytes: 0, isPressed: false, holders: [] }); // grant
 * ```
 */
export function decideGrowth(
  growth: MemoryGrowth,
  use: MemoryUse,
): MemoryDecision {
  const { holder, bytes } = growth;
  const { limits, usedBytes, isPressed } = use;
  const isLarge = holder.bytes + bytes > SMALL_BODY_BYTES;
  const limit = isLarge ? limits.largeBytes : limits.sumBytes;
  const isWithin = usedBytes + bytes <= limit;
  if (isWithin && !(isLarge && isPressed)) return { kind: "grant" };
  const others = [...use.holders].filter(({ number }) =>
    number !== holder.number
  );
  if (isLarge && !others.some(isLargeHolder)) return { kind: "grant" };
  if (!isLarge && usedBytes - findExcess(others, limits) + bytes <= limit) {
    return { kind: "grant" };
  }
  const release = findStalled(others, growth.now) ??
    findOverShare(others, growth, limit) ??
    findLatestOfWaiting(others, holder);
  return release === undefined
    ? { kind: "wait" }
    : { kind: "release", number: release.number };
}

// Returns what large requests hold beyond their part, as a single one may; small ones do not pay for it.
function findExcess(
  holders: ReadonlyArray<MemoryHolder>,
  { largeBytes }: ClientMemoryLimits,
): number {
  const large = holders.filter(isLargeHolder);
  const sum = large.reduce((total, { bytes }) => total + bytes, 0);
  return Math.max(0, sum - largeBytes);
}

function isLargeHolder({ bytes }: MemoryHolder): boolean {
  return bytes > SMALL_BODY_BYTES;
}

// A request whose body is not whole has not run and can be refused.
function mayGiveWay({ state }: MemoryHolder): boolean {
  return state === "reading" || state === "waiting";
}

function findStalled(
  holders: ReadonlyArray<MemoryHolder>,
  now: number,
): MemoryHolder | undefined {
  const limits: Readonly<Record<HolderState, number>> = {
    reading: STALL_MILLISECONDS,
    waiting: Infinity,
    whole: Infinity,
    answering: UNREAD_MILLISECONDS,
  };
  return holders
    .filter(({ state, progressAt }) => now - progressAt >= limits[state])
    .reduce<MemoryHolder | undefined>(
      (first, each) =>
        first === undefined || each.progressAt < first.progressAt
          ? each
          : first,
      undefined,
    );
}

function findOverShare(
  holders: ReadonlyArray<MemoryHolder>,
  { holder, bytes }: MemoryGrowth,
  limit: number,
): MemoryHolder | undefined {
  const sums = new Map<string, number>([[holder.organisation, holder.bytes]]);
  for (const each of holders) {
    const sum = sums.get(each.organisation) ?? 0;
    sums.set(each.organisation, sum + each.bytes);
  }
  const share = limit / sums.size;
  if ((sums.get(holder.organisation) ?? 0) + bytes > share) return undefined;
  return findLatest(
    holders.filter((each) =>
      mayGiveWay(each) && (sums.get(each.organisation) ?? 0) > share
    ),
  );
}

// While others make progress or run, their end will make room.
function findLatestOfWaiting(
  others: ReadonlyArray<MemoryHolder>,
  holder: MemoryHolder,
): MemoryHolder | undefined {
  const large = others.filter(isLargeHolder);
  if (large.some(({ state }) => state !== "waiting")) return undefined;
  return findLatest([...large, holder]);
}

function findLatest(
  holders: ReadonlyArray<MemoryHolder>,
): MemoryHolder | undefined {
  return holders.reduce<MemoryHolder | undefined>(
    (last, each) =>
      last === undefined || each.number > last.number ? each : last,
    undefined,
  );
}
