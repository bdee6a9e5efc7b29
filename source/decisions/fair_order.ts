/** Time of waiting that raises a request by one rank, so that none starves. */
export const AGEING_MILLISECONDS = 4000;
/** Time after which a use counts for about a third. */
const USE_DECAY_MILLISECONDS = 10_000;
/** Use that no longer counts; organisations with less are forgotten. */
const NEGLIGIBLE_MILLISECONDS = 0.5;

interface UseEntry {
  milliseconds: number;
  at: number;
}

/**
 * Records how much of a service each organisation has used recently, in slot milliseconds. All
 * organisations have equal shares, so the one with the least use goes first.
 *
 * Load pattern: a few large organisations send most of the load, in bursts that last for seconds, and
 * many small ones send a little now and then. Use decays, so that an organisation that took slots
 * which no other one needed is not put behind for long.
 * @example
 * ```ts
 * const use = new RecentUse();
 * use.add("a", { milliseconds: 40, now });
 * const isBehind = use.get("a", now) > use.get("b", now);
 * ```
 */
export class RecentUse {
  readonly #entries = new Map<string, UseEntry>();

  /** Adds slot time, also a negative one that corrects an earlier estimate. */
  add(
    organisation: string,
    { milliseconds, now }: {
      readonly milliseconds: number;
      readonly now: number;
    },
  ): void {
    const sum = this.get(organisation, now) + milliseconds;
    this.#entries.set(organisation, {
      milliseconds: Math.max(0, sum),
      at: now,
    });
  }

  /** Returns the decayed use of an organisation, in slot milliseconds. */
  get(organisation: string, now: number): number {
    const entry = this.#entries.get(organisation);
    return entry === undefined
      ? 0
      : decayUse(entry.milliseconds, now - entry.at);
  }

  /** Returns the decayed use of all organisations, and forgets those without. */
  list(now: number): ReadonlyMap<string, number> {
    const uses = new Map<string, number>();
    for (const organisation of this.#entries.keys()) {
      const use = this.get(organisation, now);
      if (use < NEGLIGIBLE_MILLISECONDS) this.#entries.delete(organisation);
      else uses.set(organisation, use);
    }
    return uses;
  }
}

/**
 * Returns what is left of a use after some time.
 * @param use - The use, in slot milliseconds.
 * @param milliseconds - Time since then.
 * @example
 * ```ts
 * const use = decayUse(1000, 10_000);
 * ```
 */
export function decayUse(use: number, milliseconds: number): number {
  return use * Math.exp(-Math.max(0, milliseconds) / USE_DECAY_MILLISECONDS);
}

/** The recent use of a service by organisation. */
export interface ServiceUse {
  /** Returns the recent use of an organisation, in slot milliseconds. */
  readonly useOf: (organisation: string) => number;
  /** Use that one more request is expected to add, in slot milliseconds. */
  readonly costMilliseconds: number;
}

/** A use that is the same for all organisations, so that age alone decides. */
export const NO_USE: ServiceUse = { useOf: () => 0, costMilliseconds: 0 };

/** A request that waits, as far as the order by organisation depends on it. */
export interface FairRequest {
  /** Organisation that the request belongs to; requests without one share as if they had the same. */
  readonly organisation?: string | undefined;
  /** Monotonic time of the request's arrival, in milliseconds. */
  readonly arrivedAt: number;
}

/**
 * Orders requests of one rank: the organisation with the least recent use goes first, then the older
 * request. Each request of an organisation counts as use for its next one, so the first requests of
 * all organisations go before the backlog of a large one.
 *
 * Load pattern: one organisation's backlog fills the queue while others send single requests.
 * @example
 * ```ts
 * const ordered = orderFairly(requests, use);
 * ```
 */
export function orderFairly<Request extends FairRequest>(
  requests: ReadonlyArray<Request>,
  { useOf, costMilliseconds }: ServiceUse,
): ReadonlyArray<Request> {
  const byAge = [...requests].sort((left, right) =>
    left.arrivedAt - right.arrivedAt
  );
  const next = new Map<string, number>();
  const keyed = byAge.map((request) => {
    const organisation = request.organisation ?? "";
    const use = next.get(organisation) ?? useOf(organisation);
    next.set(organisation, use + costMilliseconds);
    return { request, use };
  });
  if (next.size <= 1) return byAge;
  // The sort is stable, so equal ones stay in the order of their age.
  return keyed.sort((left, right) => left.use - right.use)
    .map(({ request }) => request);
}

/** Requests that wait at another node. */
export interface WaitingElsewhere {
  /** Rank after ageing; a lower one goes first. */
  readonly level: number;
  readonly organisation: string;
  readonly waiting: number;
}

/** A request of this node that is compared with the requests at other nodes. */
export interface OwnRequest {
  /** Rank after ageing; a lower one goes first. */
  readonly level: number;
  readonly organisation: string;
  /** Use of the organisation, with its requests that go before, in slot milliseconds. */
  readonly use: number;
}

/** Factor by which the use of organisations must differ, since each node knows a slightly older use. */
const USE_TOLERANCE = 1.25;

/**
 * Returns the number of requests at other nodes that go before one of this node: those of a more
 * urgent rank, and in the same rank those of organisations with clearly less use, until their use is
 * the same.
 *
 * Load pattern: the urgent requests arrive at one node, the less urgent ones at all others, and each
 * node sees the same free slots.
 * @example
 * ```ts
 * const ahead = countAhead(own, waitingElsewhere, use);
 * ```
 */
export function countAhead(
  { level, organisation, use }: OwnRequest,
  elsewhere: ReadonlyArray<WaitingElsewhere>,
  { useOf, costMilliseconds }: ServiceUse,
): number {
  const cost = Math.max(1, costMilliseconds);
  const taken = new Map<string, number>();
  let ahead = 0;
  for (const other of elsewhere) {
    if (other.level < level) ahead += other.waiting;
    if (other.level !== level || other.organisation === organisation) continue;
    const theirs = taken.get(other.organisation) ?? useOf(other.organisation);
    const difference = use - USE_TOLERANCE * theirs - cost;
    const before = Math.min(
      other.waiting,
      Math.max(0, Math.floor(difference / cost)),
    );
    taken.set(other.organisation, theirs + before * cost);
    ahead += before;
  }
  return ahead;
}
