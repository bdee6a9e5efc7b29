import { createRandomSource } from "../../source/utilities/random_source.ts";
import { Agenda } from "./agenda.ts";

/** A call of a modelled load. */
export interface ModelCall {
  readonly arrivesAt: number;
  readonly isDeferrable: boolean;
  /** Time that a server works on the call, in milliseconds. */
  readonly workMilliseconds: number;
  /** Time from the arrival in which the call must be answered. */
  readonly targetMilliseconds: number;
  readonly budgetMilliseconds: number;
}

/** What the policy of a model sees of the servers. */
export interface ModelServers {
  readonly servers: number;
  readonly slots: number;
  /** Number of calls that the servers have, also those in their queues. */
  readonly running: number;
}

/** Decides what happens to a call that has arrived or waits. */
export interface CallPolicy {
  /**
   * Decides on a call.
   * @returns "send", "wait", or the delay in milliseconds after which a rejected caller returns.
   */
  decide(
    call: ModelCall,
    servers: ModelServers,
    state: { readonly now: number; readonly waiting: ReadonlyArray<ModelCall> },
  ): "send" | "wait" | number;
  /** Selects the waiting call that is decided on next. */
  findNext(waiting: ReadonlyArray<ModelCall>): ModelCall | undefined;
}

/** Servers of the model. */
export interface CallModelOptions {
  readonly servers: number;
  readonly slotsPerServer: number;
  /** Number of calls that a server queues beyond its slots. */
  readonly queuePerServer: number;
  /** Time before which no server answers, as after an outage. */
  readonly availableFrom?: number;
}

/** The outcome of a modelled load. */
export interface CallModelOutcome {
  /** Share of the calls that callers wait for which were answered within their target. */
  readonly interactiveInTime: number;
  /** Share of all calls that were answered within their budget. */
  readonly answered: number;
  /** Number of rejections. */
  readonly rejections: number;
  /** Longest time for which a call was held before it was rejected, in milliseconds. */
  readonly longestHold: number;
  /** Time at which the last call was answered. */
  readonly lastAnswerAt: number;
}

/** Creates calls that callers wait for and bursts of deferrable ones. */
export function createCallLoad(options: {
  readonly seed: number;
  readonly seconds: number;
  readonly interactivePerSecond: number;
  /** Number of deferrable calls that arrive at the same time every 4 s. */
  readonly burst: number;
  readonly workMilliseconds: number;
}): ReadonlyArray<ModelCall> {
  const random = createRandomSource(options.seed);
  const work = (): number => options.workMilliseconds * (0.5 + random.next());
  const calls: ModelCall[] = [];
  const interactive = options.seconds * options.interactivePerSecond;
  for (let index = 0; index < interactive; index += 1) {
    calls.push({
      arrivesAt: random.next() * options.seconds * 1000,
      isDeferrable: false,
      workMilliseconds: work(),
      targetMilliseconds: 5 * options.workMilliseconds,
      budgetMilliseconds: 1500,
    });
  }
  for (let start = 0; start < options.seconds * 1000; start += 4000) {
    for (let index = 0; index < options.burst; index += 1) {
      calls.push({
        arrivesAt: start + 1000 + random.next() * 100,
        isDeferrable: true,
        workMilliseconds: work(),
        targetMilliseconds: Infinity,
        budgetMilliseconds: 10_000,
      });
    }
  }
  return calls;
}

/** Runs a load on servers that answer in the order in which they got the calls. */
export function runCallModel(
  calls: ReadonlyArray<ModelCall>,
  options: CallModelOptions,
  policy: CallPolicy,
): CallModelOutcome {
  const agenda = new Agenda();
  const { servers, slotsPerServer, queuePerServer, availableFrom = 0 } =
    options;
  const capacity = servers * (slotsPerServer + queuePerServer);
  const slots = servers * slotsPerServer;
  const queued: ModelCall[] = [];
  const waiting: ModelCall[] = [];
  const answeredAt = new Map<ModelCall, number>();
  let busy = 0;
  let rejections = 0;
  let longestHold = 0;
  const heldSince = new Map<ModelCall, number>();
  const start = (now: number): void => {
    while (busy < slots && now >= availableFrom) {
      const call = queued.shift();
      if (call === undefined) return;
      busy += 1;
      const end = now + call.workMilliseconds;
      agenda.add(end, () => {
        busy -= 1;
        if (end <= call.arrivesAt + call.budgetMilliseconds) {
          answeredAt.set(call, end);
        }
        start(end);
        decideWaiting(end);
      });
    }
  };
  const handle = (call: ModelCall, now: number, isNew: boolean): boolean => {
    const decision = policy.decide(call, {
      servers,
      slots,
      running: busy + queued.length,
    }, { now, waiting: isNew ? waiting : [] });
    if (isNew) heldSince.set(call, now);
    if (decision === "wait") {
      if (isNew) waiting.push(call);
      return false;
    }
    if (decision === "send" && busy + queued.length < capacity) {
      queued.push(call);
      start(now);
      return true;
    }
    rejections += 1;
    longestHold = Math.max(longestHold, now - (heldSince.get(call) ?? now));
    const pause = decision === "send" ? 150 : decision as number;
    if (now + pause < call.arrivesAt + call.budgetMilliseconds) {
      agenda.add(now + pause, () => void handle(call, now + pause, true));
    }
    return true;
  };
  const decideWaiting = (now: number): void => {
    for (;;) {
      const next = policy.findNext(waiting);
      if (next === undefined || !handle(next, now, false)) return;
      waiting.splice(waiting.indexOf(next), 1);
    }
  };
  for (const call of calls) {
    agenda.add(call.arrivesAt, () => {
      decideWaiting(call.arrivesAt);
      handle(call, call.arrivesAt, true);
    });
  }
  if (availableFrom > 0) {
    agenda.add(availableFrom, () => {
      start(availableFrom);
      decideWaiting(availableFrom);
    });
  }
  agenda.run();
  const interactive = calls.filter(({ isDeferrable }) => !isDeferrable);
  const inTime = interactive.filter((call) =>
    (answeredAt.get(call) ?? Infinity) <=
      call.arrivesAt + call.targetMilliseconds
  );
  return {
    interactiveInTime: inTime.length / interactive.length,
    answered: answeredAt.size / calls.length,
    rejections,
    longestHold,
    lastAnswerAt: Math.max(...answeredAt.values()),
  };
}
