import type { Organisation } from "../../generated/snipepath/v1/declaration_pb.ts";
import { DemandShare } from "./demand_share.ts";
import type { OrganisationDemand } from "./use_ledger.ts";

const STRICT_FROM = 0.5;
const SHORTEST_RETRY_MILLISECONDS = 500;
const BURST_SECONDS = 1;

/** Whether an organisation's limits leave room for a request. */
export type LimitDecision =
  | { readonly kind: "allowed" }
  | {
    readonly kind: "over";
    readonly limit: string;
    readonly retryAfterMilliseconds: number;
  };

/** What a decision on limits goes by. */
export interface LimitRequest {
  readonly organisation: Organisation;
  readonly demand: OrganisationDemand;
  /** Tokens that the request is expected to take. */
  readonly cost: number;
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** Live nodes, this one included. */
  readonly liveNodes: number;
  /** Name of this node. */
  readonly node: string;
  /** Mean duration of the service's requests of late; 0 before the first. */
  readonly meanRunMilliseconds: number;
}

interface Bucket {
  available: number;
  filledAt: number;
}

interface OrganisationState {
  readonly requests: Bucket;
  readonly tokens: Bucket;
  readonly share: DemandShare;
}

/**
 * Keeps organisations' limits over all nodes.
 *
 * Each node grants a part of a limit, in proportion to the demand that comes through it. A part
 * rises only after a delay in which the other nodes' demand is heard, and falls at once, so that
 * the parts never add up to more than the limit for longer than facts travel. Below half of the
 * limit no node is strict, so that light use through any node is never refused.
 */
export class OrganisationLimits {
  readonly #states = new Map<string, OrganisationState>();

  /** Decides on one request, and takes what it needs from the limits if there is room. */
  decide(request: LimitRequest): LimitDecision {
    const { organisation, now } = request;
    const state = this.#state(organisation.name, now);
    const share = state.share.update(request);
    const concurrent = decideConcurrent(request);
    if (concurrent.kind === "over") return concurrent;
    const requestRate = partOf(organisation.requestsPerSecond, {
      share,
      asked: request.demand.here + sum(request.demand.elsewhere.values()),
    });
    const tokenRate = partOf(organisation.tokensPerSecond, {
      share,
      asked: request.demand.tokensPerSecond,
    });
    fill(state.requests, requestRate, now);
    fill(state.tokens, tokenRate, now);
    const requestWait = waitFor(state.requests, requestRate);
    const tokenWait = waitFor(state.tokens, tokenRate);
    if (requestWait > 0) return over("requests_per_second", requestWait);
    if (tokenWait > 0) return over("tokens_per_second", tokenWait);
    state.requests.available -= 1;
    state.tokens.available -= request.cost;
    return { kind: "allowed" };
  }

  /**
   * Corrects the tokens of a request that has ended.
   * @param organisation - The organisation's name.
   * @param difference - Tokens it was expected to take less those it took.
   */
  correct(organisation: string, difference: number): void {
    const state = this.#states.get(organisation);
    if (state !== undefined) state.tokens.available += difference;
  }

  #state(organisation: string, now: number): OrganisationState {
    const known = this.#states.get(organisation);
    if (known !== undefined) return known;
    const state = {
      requests: { available: Infinity, filledAt: now },
      tokens: { available: Infinity, filledAt: now },
      share: new DemandShare(),
    };
    this.#states.set(organisation, state);
    return state;
  }
}

function partOf(
  limit: number,
  options: { readonly share: number; readonly asked: number },
): number {
  if (limit === 0) return Infinity;
  const isLight = options.asked < limit * STRICT_FROM;
  return isLight ? limit : limit * options.share;
}

// By Little's law: strict while more is asked than the limit could run at once.
function decideConcurrent(request: LimitRequest): LimitDecision {
  const { organisation, demand, meanRunMilliseconds } = request;
  const limit = organisation.concurrentRequests;
  if (limit === 0) return { kind: "allowed" };
  const asked = demand.here + sum(demand.elsewhere.values());
  const wanted = asked * meanRunMilliseconds / 1000;
  const isHeavy = meanRunMilliseconds === 0
    ? demand.concurrentEverywhere >= limit * STRICT_FROM
    : wanted > limit;
  const isAllowed = isHeavy
    ? demand.concurrentHere < partOfConcurrent(request)
    : demand.concurrentEverywhere < limit;
  if (isAllowed) return { kind: "allowed" };
  const retry = Math.max(SHORTEST_RETRY_MILLISECONDS, meanRunMilliseconds);
  return over("concurrent_requests", retry);
}

// Whole requests in proportion to demand; what is left over goes to the first nodes by name.
function partOfConcurrent(request: LimitRequest): number {
  const { organisation, demand, node } = request;
  const limit = organisation.concurrentRequests;
  const demands = new Map(demand.elsewhere).set(node, demand.here);
  const total = sum(demands.values());
  if (total === 0) return limit;
  const asking = [...demands].filter(([, rate]) => rate > 0)
    .sort(([left], [right]) => left < right ? -1 : 1);
  const parts = asking.map(([, rate]) => Math.floor(limit * rate / total));
  const leftOver = limit - sum(parts);
  const index = asking.findIndex(([name]) => name === node);
  return (parts[index] ?? 0) + (index >= 0 && index < leftOver ? 1 : 0);
}

function fill(bucket: Bucket, rate: number, now: number): void {
  if (rate === Infinity) {
    bucket.available = Infinity;
    bucket.filledAt = now;
    return;
  }
  const gained = (now - bucket.filledAt) / 1000 * rate;
  const most = Math.max(1, rate * BURST_SECONDS);
  bucket.available = Math.min(most, bucket.available + gained);
  bucket.filledAt = now;
}

// A bucket may be overdrawn by one request, which the next ones wait for.
function waitFor(bucket: Bucket, rate: number): number {
  if (rate === Infinity || bucket.available >= 1) return 0;
  return (1 - bucket.available) / rate * 1000;
}

function over(limit: string, milliseconds: number): LimitDecision {
  const retryAfterMilliseconds = Math.ceil(Math.min(milliseconds, 60_000));
  return { kind: "over", limit, retryAfterMilliseconds };
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
