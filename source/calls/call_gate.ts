import {
  type AllowedRegions,
  mayProcess,
} from "../decisions/allowed_regions.ts";
import {
  type CallDecision,
  type CallDemand,
  countFreePlaces,
  decideCall,
  findNextCall,
  findTurnHeir,
  listBefore,
  toLevel,
  type WaitingCall,
} from "../decisions/call_admission.ts";
import type { ServiceUse } from "../decisions/fair_order.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { ServerView } from "../installation/server_view.ts";
import { type WaitingWork, WorkSharing } from "../installation/work_sharing.ts";
import type { Clock } from "../utilities/clock.ts";
import type { RandomSource } from "../utilities/random_source.ts";
import type { CallGateReport } from "./call_gate_report.ts";
import type { GateOutcome } from "./gate_outcome.ts";
import type { ServerCallStatistics } from "./server_call_statistics.ts";

/** Interval at which waiting calls are checked, as calls of other nodes end unseen. */
const CHECK_INTERVAL_MILLISECONDS = 25;

/** Dependencies of a call gate. */
export interface CallGateOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly servers: ServerView;
  readonly serverStatistics: ServerCallStatistics;
  /** What organisations use and wait for at all nodes; the gate's own calls alone if absent. */
  readonly work?: WorkSharing;
  readonly report?: CallGateReport;
}

/** A call that asks to be sent. */
export interface GatedCall {
  readonly service: string;
  /** Rank of the call's organisation or else of its route; 0 goes first. */
  readonly priority: number;
  /** Organisation that the call counts for, if any. */
  readonly organisation?: string | undefined;
  readonly isDeferrable: boolean;
  /** Monotonic time of the call's deadline, in milliseconds. */
  readonly deadline: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Regions in which the call may be processed; any if absent. */
  readonly allowedRegions?: AllowedRegions | undefined;
  /** Monotonic time, in milliseconds, from which the call waits; now if absent. */
  readonly waitsSince?: number;
  /** Whether the service or the regions have changed since the call asked. */
  readonly isOutdated?: () => boolean;
}

interface Waiter extends WaitingCall {
  readonly call: GatedCall;
  turnAt: number;
  readonly resolve: (outcome: GateOutcome) => void;
}

/** A call that was let through and has ended. */
export interface EndedCall {
  readonly organisation: string | undefined;
  /** Time since it was let through. */
  readonly milliseconds: number;
}

/** The place of a call among those that wait. */
interface CallPlace {
  /** Number of calls that wait at this node before the call. */
  readonly waiting: number;
  /** Number of calls that were let through and do not run yet. */
  readonly sent: number;
  /** Number of calls that wait for the service, the call included. */
  readonly queued: number;
  /** Number of calls that wait at other nodes and go before the call. */
  readonly ahead: number;
}

/** Holds calls back that the servers of their service can't run yet, and rejects hopeless ones. */
export class CallGate {
  readonly #options: CallGateOptions;
  readonly #work: WorkSharing;
  readonly #waiting = new Map<string, Set<Waiter>>();
  #isChecking = false;

  /** @param options - The servers and what is known of their load. */
  constructor(options: CallGateOptions) {
    this.#options = options;
    this.#work = options.work ?? new WorkSharing(options);
    this.#work.addSource(() => this.#listWork());
  }

  /** Waits until a call may be sent, is rejected or is cancelled. */
  async pass(call: GatedCall): Promise<GateOutcome> {
    const outcome = await this.#pass(call);
    this.#options.report?.recordOutcome(call, outcome.kind);
    return outcome;
  }

  /**
   * Counts a call that has ended as use of its organisation, and sends waiting calls of the service that
   * it has made room for.
   */
  recordEnd(service: string, ended?: EndedCall): void {
    if (ended !== undefined) {
      // The usual duration was counted when the call was let through.
      const milliseconds = ended.milliseconds - this.#findCost(service);
      this.#recordUse(service, ended.organisation, milliseconds);
    }
    this.#sendWaiting(service);
  }

  /**
   * Ends the waits of calls that may use other servers now than when they asked, so that they ask
   * again.
   */
  restartOutdatedWaits(): void {
    for (const waiting of this.#waiting.values()) {
      for (const waiter of [...waiting]) {
        if (waiter.call.isOutdated?.() === true) {
          waiter.resolve({ kind: "outdated" });
        }
      }
    }
  }

  /** Ends all waits, as the node is about to stop; the calls were not sent. */
  stop(): void {
    for (const waiting of this.#waiting.values()) {
      for (const waiter of [...waiting]) waiter.resolve({ kind: "stopping" });
    }
  }

  #findArrival({ waitsSince }: GatedCall): number {
    return waitsSince ?? this.#options.clock.monotonic();
  }

  async #pass(call: GatedCall): Promise<GateOutcome> {
    const { service, organisation = "" } = call;
    const arrivedAt = this.#findArrival(call);
    const use = this.#toUse(service);
    const before = listBefore(
      { ...call, arrivedAt },
      this.#waiting.get(service) ?? [],
      use,
    );
    const earlier =
      before.filter(({ call: other }) =>
        (other.organisation ?? "") === organisation
      ).length;
    const decision = this.#decide(call, {
      waiting: this.#countCompeting(call, before),
      sent: 0,
      queued: 1,
      ahead: this.#countAhead({ ...call, arrivedAt }, use, earlier),
    });
    if (decision.kind === "send") return this.#open(call);
    if (decision.kind === "reject") return { ...decision, kind: "rejected" };
    return await this.#wait(call);
  }

  #open({ service, organisation }: GatedCall): GateOutcome {
    this.#recordUse(service, organisation, this.#findCost(service));
    return { kind: "open" };
  }

  #recordUse(
    service: string,
    organisation: string | undefined,
    milliseconds: number,
  ): void {
    this.#work.recordUse(service, {
      organisation: organisation ?? "",
      milliseconds,
    });
  }

  // Returns the usual slot time of a call, in milliseconds.
  #findCost(service: string): number {
    const { servers, serverStatistics } = this.#options;
    return serverStatistics.meanMilliseconds(servers.ofService(service));
  }

  #toUse(service: string): ServiceUse {
    return this.#work.toServiceUse(service, this.#findCost(service));
  }

  #countAhead(
    call: GatedCall & Pick<WaitingCall, "arrivedAt" | "turnAt">,
    use: ServiceUse,
    earlier: number,
  ): number {
    const { service, organisation = "" } = call;
    return this.#work.countAhead(service, {
      level: toLevel(call, this.#options.clock.monotonic()),
      organisation,
      use: use.useOf(organisation) + earlier * use.costMilliseconds,
    }, use);
  }

  *#listWork(): Generator<WaitingWork> {
    const now = this.#options.clock.monotonic();
    for (const [service, waiting] of this.#waiting) {
      for (const waiter of waiting) {
        yield {
          service,
          level: toLevel(waiter, now),
          organisation: waiter.organisation ?? "",
          isClaiming: waiter.call.allowedRegions === undefined,
        };
      }
    }
  }

  #wait(call: GatedCall): Promise<GateOutcome> {
    const { service, signal, priority, organisation, isDeferrable } = call;
    const waiting = this.#waiting.get(service) ?? new Set();
    this.#waiting.set(service, waiting);
    return new Promise((resolve) => {
      const onAbort = (): void => {
        waiting.delete(waiter);
        resolve({ kind: "cancelled" });
      };
      const waiter: Waiter = {
        priority,
        organisation,
        isDeferrable,
        arrivedAt: this.#findArrival(call),
        turnAt: this.#findArrival(call),
        call,
        resolve: (outcome) => {
          waiting.delete(waiter);
          signal.removeEventListener("abort", onAbort);
          resolve(outcome);
        },
      };
      waiting.add(waiter);
      signal.addEventListener("abort", onAbort, { once: true });
      void this.#checkPeriodically();
    });
  }

  async #checkPeriodically(): Promise<void> {
    if (this.#isChecking) return;
    this.#isChecking = true;
    while ([...this.#waiting.values()].some(({ size }) => size > 0)) {
      await this.#options.clock.sleep(CHECK_INTERVAL_MILLISECONDS);
      for (const service of this.#waiting.keys()) this.#sendWaiting(service);
    }
    this.#isChecking = false;
  }

  #sendWaiting(service: string): void {
    const waiting = this.#waiting.get(service);
    if (waiting === undefined) return;
    const sent: Waiter[] = [];
    // Keys of allowed regions whose servers can take no call now.
    const blocked = new Set<string | undefined>();
    for (;;) {
      const use = this.#toUse(service);
      const next = findNextCall(
        [...waiting].filter(({ call }) =>
          !blocked.has(call.allowedRegions?.key)
        ),
        use,
      );
      if (next === undefined) return;
      const { call } = next;
      const decision = this.#decide(call, {
        waiting: 0,
        sent: this.#countShares(call, sent),
        queued: this.#countCompeting(call, waiting),
        ahead: this.#countAhead({ ...call, ...next }, use, 0),
      });
      if (decision.kind === "wait") blocked.add(call.allowedRegions?.key);
      else if (decision.kind === "send") {
        sent.push(next);
        next.resolve(this.#open(call));
        const heir = findTurnHeir(next, waiting);
        if (heir !== undefined) heir.turnAt = next.turnAt;
      } else next.resolve({ ...decision, kind: "rejected" });
    }
  }

  // Counts the waiting calls that compete for the servers which a call may use: those that may use
  // all of them. Calls that may use only some of them wait for these and leave the others free.
  #countCompeting(call: GatedCall, waiting: Iterable<Waiter>): number {
    const own = call.allowedRegions;
    const competing = [...waiting].filter(({ call: { allowedRegions } }) =>
      allowedRegions === undefined || allowedRegions.key === own?.key ||
      own?.isWithin(allowedRegions) === true
    );
    return this.#countShares(call, competing);
  }

  // Counts other calls, each by the share of its servers' slots that a call may use.
  #countShares(
    { service, allowedRegions: own }: GatedCall,
    others: ReadonlyArray<Waiter>,
  ): number {
    const shares = new Map<string | undefined, number>([[own?.key, 1]]);
    let count = 0;
    for (const { call: { allowedRegions: other } } of others) {
      const share = shares.get(other?.key) ??
        this.#countSlots(service, [own, other]) /
          Math.max(1, this.#countSlots(service, [other]));
      shares.set(other?.key, share);
      count += share;
    }
    return count;
  }

  #countSlots(
    service: string,
    rules: ReadonlyArray<AllowedRegions | undefined>,
  ): number {
    return this.#options.servers.ofService(service)
      .filter((server) => rules.every((each) => mayProcess(each, server)))
      .reduce((total, { slots }) => total + slots, 0);
  }

  #listServers(
    service: string,
    allowed: AllowedRegions | undefined,
  ): ReadonlyArray<BackendServerEntry> {
    const all = this.#options.servers.ofService(service);
    return allowed === undefined
      ? all
      : all.filter((server) => mayProcess(allowed, server));
  }

  // Engines have queues of their own that order requests by priority.
  #hasEngines(service: string): boolean {
    return this.#options.servers.ofService(service).some((server) =>
      server.weightVersions.size > 0
    );
  }

  #decide(call: GatedCall, place: CallPlace): CallDecision {
    const { service, isDeferrable, deadline, allowedRegions } = call;
    const { waiting, sent, queued, ahead } = place;
    const { clock, random, serverStatistics } = this.#options;
    const all = this.#listServers(service, allowedRegions);
    const available = serverStatistics.filterAvailable(all);
    const withRoom = available.filter((server) =>
      serverStatistics.hasRoom(server)
    );
    // Without room anywhere, the wait for the limits decides.
    const usable = withRoom.length > 0 ? withRoom : available;
    const demand: CallDemand = {
      isDeferrable,
      remainingMilliseconds: deadline - clock.monotonic(),
    };
    const slots = this.#hasEngines(service)
      ? Infinity
      : usable.reduce((total, server) => total + server.slots, 0);
    const sum = (count: (server: BackendServerEntry) => number): number =>
      usable.reduce((total, server) => total + count(server), 0);
    const load = {
      servers: usable.length,
      slots,
      running: sent +
        sum(({ identifier }) => serverStatistics.occupied(identifier)),
      waiting,
      meanMilliseconds: serverStatistics.meanMilliseconds(usable),
      warmUpWaitMilliseconds: serverStatistics.getWarmUpWait(available),
      rateWaitMilliseconds: serverStatistics.waitForRoom(available, {
        requests: waiting + queued,
        earlier: waiting + sent,
      }),
    };
    const draw = random.next();
    const free = countFreePlaces(load, demand);
    const isLeft = this.#work.leavesSlots(service, { free, ahead });
    return decideCall(
      free === 0 || isLeft ? { ...load, running: load.running + ahead } : load,
      demand,
      draw,
    );
  }
}
