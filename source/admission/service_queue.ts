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

const MAXIMUM_DRAINS = 10_000;
const MINIMUM_QUEUE = 64;
const QUEUE_PER_SLOT = 16;
const MEAN_RUN_BEFORE_THE_FIRST_MILLISECONDS = 1000;
const NEARLY_ALL = 0.9;
const SLOWEST_DRAIN = 0.01;
const LONGEST_RETRY_MILLISECONDS = 60_000;
const SHORTEST_RETRY_MILLISECONDS = 100;

/** What a service's queue works with. */
export interface ServiceQueueOptions {
  readonly service: string;
  readonly clock: Clock;
  readonly policy: AdmissionPolicy;
  readonly ledger: UseLedger;
}

/** The requests of one service at this node: those that wait and those that run. */
export class ServiceQueue {
  readonly #options: ServiceQueueOptions;
  readonly #waiting = new WaitingQueue();
  readonly #limit = new SlotLimit();
  readonly #durations = new RunDurations();
  readonly #drains = new LRUCache<string, DrainRate>({ max: MAXIMUM_DRAINS });
  #equalPart = 1;
  #receivedByAll = 0;
  #organisations = 1;
  #extraSlots = 1;
  #running = 0;
  #overdueRunning = 0;
  readonly #peaks = new RecentPeaks();

  /** @param options - The service, its policy and the use of organisations. */
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

  /** Returns the mean duration of the requests that ended of late, in milliseconds; 0 before the first. */
  get meanRunMilliseconds(): number {
    return this.#durations.mean;
  }

  /** Returns how many requests may run at once through this node. */
  get slots(): number {
    return this.#limit.slots;
  }

  /** Takes a new view of the service's capacity over. */
  updateCapacity(
    capacity: ServiceCapacity,
    nodes: { readonly live: number; readonly hungry: number },
  ): void {
    const { policy, service, ledger } = this.#options;
    const organisations = ledger.activeOrganisations(service);
    this.#equalPart = Math.max(1, capacity.slots / organisations);
    this.#receivedByAll = ledger.receivedByAll(service);
    this.#organisations = organisations;
    this.#extraSlots = Math.max(1, capacity.slots / nodes.live);
    this.#limit.update(capacity, {
      ownsEqualPart: policy.equalPartsFor === "nodes",
      now: this.#options.clock.monotonic(),
      running: this.#running,
      liveNodes: nodes.live,
      hungryNodes: nodes.hungry + (this.waiting > 0 ? 1 : 0),
    });
  }

  /**
   * Adds a request; if the queue is full, the newest request of the class and organisation that
   * have most waiting is refused in its place.
   */
  add(request: WaitingRequest): void {
    this.#waiting.add(request);
    this.#use(request).waiting += 1;
    this.#drain(request).noteWaiting(this.#options.clock.monotonic());
    this.startNext();
    if (this.waiting > this.#maximumWaiting()) this.#refuseNewest();
  }

  /** Takes a waiting request out and refuses it; nothing happens when it no longer waits. */
  giveUp(request: WaitingRequest, reason: DispatchRefusal["reason"]): void {
    if (!this.#waiting.remove(request)) return;
    this.#use(request).waiting -= 1;
    this.#drain(request).noteGivenUp(this.#options.clock.monotonic());
    request.settle(this.#refusal(reason));
  }

  /** Starts as many waiting requests as the policy lets run now. */
  startNext(): void {
    for (;;) {
      if (this.#waiting.size === 0) return;
      const next = this.#options.policy.choose(this.#state());
      if (next === undefined) return;
      this.#start(next);
    }
  }

  /** Refuses the waiting requests that come too late by now. */
  refuseLate(): void {
    const now = this.#options.clock.monotonic();
    for (const request of this.#waiting.requests()) {
      if (this.#isLate(request, now)) this.giveUp(request, "deadline");
    }
  }

  /**
   * Returns whether the requests of its class and organisation that wait already will keep a new one past the time
   * it is useful.
   */
  isHopeless(request: WaitingRequest): boolean {
    const ahead = this.#waiting.sizeAhead(request);
    if (ahead === 0 || this.#durations.mean === 0) return false;
    const now = this.#options.clock.monotonic();
    const perSecond = this.#drain(request).perSecond(now) ??
      this.#drainRate() / this.#waiting.organisations;
    const wait = (ahead + 1) / Math.max(perSecond, SLOWEST_DRAIN) * 1000;
    return now + wait + this.#expectedRun(request) > request.usefulUntil;
  }

  /** Returns after how long the present backlog will have been served, in milliseconds. */
  retryAfterMilliseconds(): number {
    const backlog = this.waiting + 1;
    const milliseconds = backlog / this.#drainRate() * 1000;
    const atLeast = Math.max(SHORTEST_RETRY_MILLISECONDS, milliseconds);
    return Math.ceil(Math.min(LONGEST_RETRY_MILLISECONDS, atLeast));
  }

  // Requests a second that this node's slots carry at the present mean duration.
  #drainRate(): number {
    const mean = this.#durations.mean === 0
      ? MEAN_RUN_BEFORE_THE_FIRST_MILLISECONDS
      : this.#durations.mean;
    return this.#limit.slots / mean * 1000;
  }

  #isLate(request: WaitingRequest, now: number): boolean {
    const fastest = this.#durations.fastest(request.classOfWork, now);
    if (now + fastest >= request.deadline) return true;
    if (!this.#options.policy.refusesLate) return false;
    return now + this.#expectedRun(request) > request.usefulUntil;
  }

  // At most half of the time a request is useful, so that a slow service refuses only what has waited.
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
      reservedFrom: (classOfWork) => this.#peaks.reservedFrom(classOfWork, now),
      overdueRunning: this.#overdueRunning,
      isEntitled: (organisation) => this.#isEntitled(organisation),
      received: (organisation) => ledger.received(service, organisation),
    };
  }

  #isEntitled(organisation: string): boolean {
    const { service, ledger } = this.#options;
    const { running } = ledger.use(service, organisation);
    const isFull = this.#running >= this.#limit.slots + this.#extraSlots;
    if (isFull || running >= this.#equalPart) return false;
    const { everywhere } = ledger.received(service, organisation);
    // An organisation that is alone is no reason to go beyond the slots.
    if (everywhere >= this.#receivedByAll * NEARLY_ALL) return false;
    return everywhere <= this.#receivedByAll / this.#organisations;
  }

  #start(request: WaitingRequest): void {
    const wasWaiting = this.#waiting.remove(request);
    invariant(wasWaiting, "Policy chose a request that does not wait");
    const now = this.#options.clock.monotonic();
    const use = this.#use(request);
    use.waiting -= 1;
    use.running += 1;
    this.#drain(request).noteStarted(now);
    use.received.add(request.cost, now);
    this.#running += 1;
    const isOverdue = request.dueAt <= now;
    const isOnTime = !request.deferrable && !isOverdue;
    if (isOnTime) this.#peaks.noteStarted(request.classOfWork, now);
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
    if (wasOnTime) this.#peaks.noteEnded(request.classOfWork, now);
    if (run.isOverdue) this.#overdueRunning -= 1;
    invariant(
      this.#running >= 0 && use.running >= 0 && use.waiting >= 0,
      `Service ${this.#options.service} runs ${this.#running} requests`,
    );
    if (run.servedTokens > 0) {
      use.received.add(run.servedTokens - request.cost, now);
    }
    this.#durations.note(request.classOfWork, now - run.startedAt, now);
    this.startNext();
  }

  #refuseNewest(): void {
    const newest = this.#waiting.findNewestOfLongest();
    if (newest !== undefined) this.giveUp(newest, "queueFull");
  }

  #refusal(reason: DispatchRefusal["reason"]): DispatchRefusal {
    return {
      kind: "notRun",
      reason,
      detail: `${this.waiting} requests wait for the service`,
      retryAfterMilliseconds: this.retryAfterMilliseconds(),
    };
  }

  #maximumWaiting(): number {
    return Math.max(MINIMUM_QUEUE, this.#limit.slots * QUEUE_PER_SLOT);
  }

  #drain(request: WaitingRequest): DrainRate {
    const key = useKey(request.classOfWork, request.organisation);
    const known = this.#drains.get(key) ?? new DrainRate();
    this.#drains.set(key, known);
    return known;
  }

  #use(request: WaitingRequest): ReturnType<UseLedger["use"]> {
    const { ledger, service } = this.#options;
    return ledger.use(service, request.organisation);
  }
}
