import { LRUCache } from "lru-cache";
import type { DispatchRefusal } from "../dispatch/dispatcher.ts";
import type { Clock } from "../utilities/clock.ts";
import { invariant } from "../utilities/invariant.ts";
import type { AdmissionTicket } from "./admission.ts";
import type { ServiceCapacity } from "./capacity_estimate.ts";
import type {
  AdmissionPolicy,
  AdmissionState,
} from "./policies/admission_policy.ts";
import { SlotLimit } from "./slot_limit.ts";
import { DrainRate } from "./drain_rate.ts";
import { RecentPeaks } from "./recent_peaks.ts";
import { RunDurations } from "./run_durations.ts";
import { useKey, type UseLedger } from "./use_ledger.ts";
import { WaitingQueue } from "./waiting_queue.ts";
import type { WaitingRequest } from "./waiting_request.ts";

const MAXIMUM_DRAIN_RATES = 10_000;
const MINIMUM_QUEUE_LENGTH = 64;
const QUEUE_LENGTH_PER_SLOT = 16;
const INITIAL_MEAN_RUN_MILLISECONDS = 1000;
/** Share of a service's received tokens at which an organisation counts as its sole user. */
const SOLE_USER_SHARE = 0.9;
const MINIMUM_DRAIN_PER_SECOND = 0.01;
const MAXIMUM_RETRY_AFTER_MILLISECONDS = 60_000;
const MINIMUM_RETRY_AFTER_MILLISECONDS = 100;

/** Dependencies of a service queue. */
export interface ServiceQueueOptions {
  readonly service: string;
  readonly clock: Clock;
  readonly policy: AdmissionPolicy;
  readonly ledger: UseLedger;
}

/** Queues the requests of one service at this node, and starts them in the order of the admission policy. */
export class ServiceQueue {
  readonly #options: ServiceQueueOptions;
  readonly #waiting = new WaitingQueue();
  readonly #limit = new SlotLimit();
  readonly #durations = new RunDurations();
  /** Drain rates, by class of work and organisation. */
  readonly #drainRates = new LRUCache<string, DrainRate>({
    max: MAXIMUM_DRAIN_RATES,
  });
  /** Number of slots of the service for each active organisation. */
  #equalShare = 1;
  #totalReceivedTokens = 0;
  #activeOrganisations = 1;
  /** Number of requests that may run beyond the slot limit. */
  #extraSlots = 1;
  #running = 0;
  #overdueRunning = 0;
  readonly #peaks = new RecentPeaks();

  /** @param options - Service, clock, policy and use ledger. */
  constructor(options: ServiceQueueOptions) {
    this.#options = options;
  }

  /** Returns how many requests wait. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Returns how many requests run. */
  get running(): number {
    return this.#running;
  }

  /** Returns the moving mean of the requests' durations, in milliseconds; 0 before the first has ended. */
  get meanRunMilliseconds(): number {
    return this.#durations.mean;
  }

  /** Returns how many requests may run at once through this node. */
  get slots(): number {
    return this.#limit.slots;
  }

  /** Updates the slot limit from the service's capacity. */
  updateCapacity(
    capacity: ServiceCapacity,
    nodes: { readonly live: number; readonly peersWithWaiting: number },
  ): void {
    const { policy, service, ledger } = this.#options;
    const organisations = ledger.countActiveOrganisations(service);
    this.#equalShare = Math.max(1, capacity.slots / organisations);
    this.#totalReceivedTokens = ledger.totalReceivedTokens(service);
    this.#activeOrganisations = organisations;
    this.#extraSlots = Math.max(1, capacity.slots / nodes.live);
    this.#limit.update(capacity, {
      isEqualShareGuaranteed: policy.equalShareFor === "nodes",
      now: this.#options.clock.monotonic(),
      running: this.#running,
      liveNodes: nodes.live,
      nodesWithWaiting: nodes.peersWithWaiting + (this.waiting > 0 ? 1 : 0),
    });
  }

  /**
   * Adds a request, then starts the requests that the policy allows. If the queue is full, refuses
   * the newest request of the class and organisation with the most waiting requests.
   */
  add(request: WaitingRequest): void {
    this.#waiting.add(request);
    this.#use(request).waiting += 1;
    this.#drainRateOf(request).recordEnqueued(this.#options.clock.monotonic());
    this.startNext();
    if (this.waiting > this.#maximumWaiting()) this.#refuseNewest();
  }

  /** Removes a waiting request and refuses it; has no effect when the request no longer waits. */
  refuse(request: WaitingRequest, reason: DispatchRefusal["reason"]): void {
    if (!this.#waiting.remove(request)) return;
    this.#use(request).waiting -= 1;
    this.#drainRateOf(request).recordRemoved(this.#options.clock.monotonic());
    request.settle(this.#refusal(reason));
  }

  /** Starts all waiting requests that the policy allows to start now. */
  startNext(): void {
    for (;;) {
      if (this.#waiting.size === 0) return;
      const next = this.#options.policy.choose(this.#state());
      if (next === undefined) return;
      this.#start(next);
    }
  }

  /** Refuses the waiting requests that can no longer finish in time. */
  refuseLate(): void {
    const now = this.#options.clock.monotonic();
    for (const request of this.#waiting.requests()) {
      if (this.#isLate(request, now)) this.refuse(request, "deadline");
    }
  }

  /**
   * Returns whether the waiting requests of the same class and organisation are expected to delay a new
   * request until its result is no longer useful.
   */
  wouldFinishTooLate(request: WaitingRequest): boolean {
    const ahead = this.#waiting.sizeAhead(request);
    if (ahead === 0 || this.#durations.mean === 0) return false;
    const now = this.#options.clock.monotonic();
    const perSecond = this.#drainRateOf(request).perSecond(now) ??
      this.#serviceRate() / this.#waiting.organisations;
    const wait = (ahead + 1) / Math.max(perSecond, MINIMUM_DRAIN_PER_SECOND) *
      1000;
    return now + wait + this.#expectedRun(request) > request.usefulUntil;
  }

  /**
   * Returns the expected time until the current backlog is served, in milliseconds, from 100 to
   * 60000.
   */
  retryAfterMilliseconds(): number {
    const backlog = this.waiting + 1;
    const milliseconds = backlog / this.#serviceRate() * 1000;
    const atLeast = Math.max(MINIMUM_RETRY_AFTER_MILLISECONDS, milliseconds);
    return Math.ceil(Math.min(MAXIMUM_RETRY_AFTER_MILLISECONDS, atLeast));
  }

  // Returns how many requests per second this node's slots serve at the current mean duration.
  #serviceRate(): number {
    const mean = this.#durations.mean === 0
      ? INITIAL_MEAN_RUN_MILLISECONDS
      : this.#durations.mean;
    return this.#limit.slots / mean * 1000;
  }

  #isLate(request: WaitingRequest, now: number): boolean {
    const fastest = this.#durations.fastest(request.classOfWork, now);
    if (now + fastest >= request.deadline) return true;
    if (!this.#options.policy.refusesLate) return false;
    return now + this.#expectedRun(request) > request.usefulUntil;
  }

  // Returns the expected duration of a request, in milliseconds. It is capped at half of the time
  // for which the request is useful, so that a slow service refuses only requests that have waited.
  #expectedRun(request: WaitingRequest): number {
    const mean = this.#durations.meanOf(request.classOfWork);
    return Math.min(mean, (request.usefulUntil - request.enqueuedAt) / 2);
  }

  #state(): AdmissionState {
    const { service, ledger, clock } = this.#options;
    const now = clock.monotonic();
    return {
      waiting: this.#waiting,
      now,
      freeSlots: this.#limit.slots - this.#running,
      reservedByOtherClasses: (classOfWork) =>
        this.#peaks.reservedByOtherClasses(classOfWork, now),
      overdueRunning: this.#overdueRunning,
      isEntitled: (organisation) => this.#isEntitled(organisation),
      received: (organisation) => ledger.receivedTokens(service, organisation),
    };
  }

  #isEntitled(organisation: string): boolean {
    const { service, ledger } = this.#options;
    const { running } = ledger.getOrCreateUse(service, organisation);
    const isFull = this.#running >= this.#limit.slots + this.#extraSlots;
    if (isFull || running >= this.#equalShare) return false;
    const { total } = ledger.receivedTokens(service, organisation);
    // The sole user of a service doesn't justify exceeding the slot limit.
    if (total >= this.#totalReceivedTokens * SOLE_USER_SHARE) return false;
    return total <= this.#totalReceivedTokens / this.#activeOrganisations;
  }

  #start(request: WaitingRequest): void {
    const wasWaiting = this.#waiting.remove(request);
    invariant(
      wasWaiting,
      "The admission policy chose a request that is not waiting",
    );
    const now = this.#options.clock.monotonic();
    const use = this.#use(request);
    use.waiting -= 1;
    use.running += 1;
    this.#drainRateOf(request).recordStarted(now);
    use.received.add(request.cost, now);
    this.#running += 1;
    const isOverdue = request.dueAt <= now;
    const isOnTime = !request.deferrable && !isOverdue;
    if (isOnTime) this.#peaks.recordStarted(request.classOfWork, now);
    if (isOverdue) this.#overdueRunning += 1;
    request.settle(this.#ticket(request, { startedAt: now, isOverdue }));
  }

  #ticket(
    request: WaitingRequest,
    start: { readonly startedAt: number; readonly isOverdue: boolean },
  ): AdmissionTicket {
    let isReleased = false;
    return {
      kind: "admitted",
      release: (servedTokens) => {
        invariant(!isReleased, "An admission ticket was released twice");
        isReleased = true;
        this.#end(request, { ...start, servedTokens });
      },
    };
  }

  #end(
    request: WaitingRequest,
    run: {
      readonly startedAt: number;
      readonly isOverdue: boolean;
      readonly servedTokens: number;
    },
  ): void {
    const now = this.#options.clock.monotonic();
    const use = this.#use(request);
    use.running -= 1;
    this.#running -= 1;
    const wasOnTime = !request.deferrable && !run.isOverdue;
    if (wasOnTime) this.#peaks.recordEnded(request.classOfWork, now);
    if (run.isOverdue) this.#overdueRunning -= 1;
    invariant(
      this.#running >= 0 && use.running >= 0 && use.waiting >= 0,
      `Service ${this.#options.service} has a negative number of running or waiting requests: ${this.#running} running`,
    );
    if (run.servedTokens > 0) {
      use.received.add(run.servedTokens - request.cost, now);
    }
    this.#durations.record(request.classOfWork, now - run.startedAt, now);
    this.startNext();
  }

  #refuseNewest(): void {
    const newest = this.#waiting.findNewestOfLongest();
    if (newest !== undefined) this.refuse(newest, "queueFull");
  }

  #refusal(reason: DispatchRefusal["reason"]): DispatchRefusal {
    return {
      kind: "notRun",
      reason,
      detail: `${this.waiting} requests are waiting for the service`,
      retryAfterMilliseconds: this.retryAfterMilliseconds(),
    };
  }

  #maximumWaiting(): number {
    return Math.max(
      MINIMUM_QUEUE_LENGTH,
      this.#limit.slots * QUEUE_LENGTH_PER_SLOT,
    );
  }

  #drainRateOf(request: WaitingRequest): DrainRate {
    const key = useKey(request.classOfWork, request.organisation);
    const existing = this.#drainRates.get(key) ?? new DrainRate();
    this.#drainRates.set(key, existing);
    return existing;
  }

  #use(request: WaitingRequest): ReturnType<UseLedger["getOrCreateUse"]> {
    const { ledger, service } = this.#options;
    return ledger.getOrCreateUse(service, request.organisation);
  }
}
