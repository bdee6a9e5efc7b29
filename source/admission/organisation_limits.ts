import type { Organisation } from "../../generated/snipepath/v1/declaration_pb.ts";
import { DemandShare } from "./demand_share.ts";
import type { OrganisationDemand } from "./use_ledger.ts";

/** Share of a limit below which demand counts as light, and each node grants the whole limit. */
const ENFORCED_FROM_SHARE = 0.5;
const MINIMUM_RETRY_AFTER_MILLISECONDS = 500;
/** Time for which a bucket can save up unused requests or tokens. */
const BURST_SECONDS = 1;

/** Result of checking a request against its organisation's limits. */
export type LimitDecision =
  | { readonly kind: "allowed" }
  | {
    readonly kind: "exceeded";
    readonly limit: string;
    readonly retryAfterMilliseconds: number;
  };

/** Request to check, with the current demand of its organisation. */
export interface LimitRequest {
  readonly organisation: Organisation;
  readonly demand: OrganisationDemand;
  /** Tokens that the request is expected to use. */
  readonly cost: number;
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** Number of live nodes, this one included. */
  readonly liveNodes: number;
  /** Name of this node. */
  readonly node: string;
  /** Recent mean duration of the service's requests, in milliseconds; 0 before the first has ended. */
  readonly meanRunMilliseconds: number;
}

interface Bucket {
  /** Number of requests or tokens; negative after a request overdrew the bucket. */
  available: number;
  /** Monotonic time in milliseconds. */
  refilledAt: number;
}

interface OrganisationState {
  readonly requests: Bucket;
  readonly tokens: Bucket;
  readonly share: DemandShare;
}

/**
 * Enforces organisations' limits across all nodes.
 *
 * Each node grants a share of a limit in proportion to the demand that it receives. A share rises
 * only after a delay, within which the other nodes' demand arrives, and falls immediately, so that the
 * shares add up to more than the limit for no longer than facts take to reach all nodes. While demand
 * is below half of a limit per second, each node grants the whole limit, so that light use through
 * any node is never refused.
 */
export class OrganisationLimits {
  readonly #states = new Map<string, OrganisationState>();

  /** Checks one request and, if it is allowed, deducts it and its tokens from the rate limits. */
  decide(request: LimitRequest): LimitDecision {
    const { organisation, now } = request;
    const state = this.#state(organisation.name, now);
    const share = state.share.update(request);
    const concurrent = checkConcurrent(request);
    if (concurrent.kind === "exceeded") return concurrent;
    const requestRate = shareOfLimit(organisation.requestsPerSecond, {
      share,
      demand: request.demand.localRequestsPerSecond +
        sum(request.demand.peerRequestsPerSecond.values()),
    });
    const tokenRate = shareOfLimit(organisation.tokensPerSecond, {
      share,
      demand: request.demand.tokensPerSecond,
    });
    refill(state.requests, requestRate, now);
    refill(state.tokens, tokenRate, now);
    const requestWait = waitMilliseconds(state.requests, requestRate);
    const tokenWait = waitMilliseconds(state.tokens, tokenRate);
    if (requestWait > 0) return exceeded("requests_per_second", requestWait);
    if (tokenWait > 0) return exceeded("tokens_per_second", tokenWait);
    state.requests.available -= 1;
    state.tokens.available -= request.cost;
    return { kind: "allowed" };
  }

  /**
   * Corrects the deducted tokens after a request has ended.
   * @param organisation - The organisation's name.
   * @param difference - Expected tokens minus the tokens that were used.
   */
  correct(organisation: string, difference: number): void {
    const state = this.#states.get(organisation);
    if (state !== undefined) state.tokens.available += difference;
  }

  #state(organisation: string, now: number): OrganisationState {
    const existing = this.#states.get(organisation);
    if (existing !== undefined) return existing;
    const state = {
      requests: { available: Infinity, refilledAt: now },
      tokens: { available: Infinity, refilledAt: now },
      share: new DemandShare(),
    };
    this.#states.set(organisation, state);
    return state;
  }
}

function shareOfLimit(
  limit: number,
  options: { readonly share: number; readonly demand: number },
): number {
  if (limit === 0) return Infinity;
  const isLight = options.demand < limit * ENFORCED_FROM_SHARE;
  return isLight ? limit : limit * options.share;
}

// By Little's law, demand times the mean duration is the concurrency that the demand needs. While
// that concurrency exceeds the limit, this node enforces its share of the limit. Before a mean
// duration is known, it does so while at least half of the limit is running or waiting.
function checkConcurrent(request: LimitRequest): LimitDecision {
  const { organisation, demand, meanRunMilliseconds } = request;
  const limit = organisation.concurrentRequests;
  if (limit === 0) return { kind: "allowed" };
  const requestRate = demand.localRequestsPerSecond +
    sum(demand.peerRequestsPerSecond.values());
  const needed = requestRate * meanRunMilliseconds / 1000;
  const isHeavy = meanRunMilliseconds === 0
    ? demand.totalRequestCount >= limit * ENFORCED_FROM_SHARE
    : needed > limit;
  const isAllowed = isHeavy
    ? demand.localRequestCount < concurrentShare(request)
    : demand.totalRequestCount < limit;
  if (isAllowed) return { kind: "allowed" };
  const retryAfter = Math.max(
    MINIMUM_RETRY_AFTER_MILLISECONDS,
    meanRunMilliseconds,
  );
  return exceeded("concurrent_requests", retryAfter);
}

// Returns this node's part of the limit. The limit is split into whole requests in proportion to
// demand; the first nodes by name get one request each of the remainder.
function concurrentShare(request: LimitRequest): number {
  const { organisation, demand, node } = request;
  const limit = organisation.concurrentRequests;
  const demands = new Map(demand.peerRequestsPerSecond).set(
    node,
    demand.localRequestsPerSecond,
  );
  const total = sum(demands.values());
  if (total === 0) return limit;
  const demandingNodes = [...demands].filter(([, rate]) => rate > 0)
    .sort(([left], [right]) => left < right ? -1 : 1);
  const shares = demandingNodes.map(([, rate]) =>
    Math.floor(limit * rate / total)
  );
  const remainder = limit - sum(shares);
  const index = demandingNodes.findIndex(([name]) => name === node);
  return (shares[index] ?? 0) + (index >= 0 && index < remainder ? 1 : 0);
}

function refill(bucket: Bucket, rate: number, now: number): void {
  if (rate === Infinity) {
    bucket.available = Infinity;
    bucket.refilledAt = now;
    return;
  }
  const gained = (now - bucket.refilledAt) / 1000 * rate;
  const capacity = Math.max(1, rate * BURST_SECONDS);
  bucket.available = Math.min(capacity, bucket.available + gained);
  bucket.refilledAt = now;
}

// Returns the time until the bucket holds 1, in milliseconds. One request may overdraw the bucket;
// the next ones wait until it is refilled.
function waitMilliseconds(bucket: Bucket, rate: number): number {
  if (rate === Infinity || bucket.available >= 1) return 0;
  return (1 - bucket.available) / rate * 1000;
}

function exceeded(limit: string, milliseconds: number): LimitDecision {
  const retryAfterMilliseconds = Math.ceil(Math.min(milliseconds, 60_000));
  return { kind: "exceeded", limit, retryAfterMilliseconds };
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
