import test from "ava";
import fc from "fast-check";
import {
  type CallPolicy,
  createCallLoad,
  type ModelCall,
  runCallModel,
} from "../../stand_ins/decisions/call_model.ts";
import { createRandomSource } from "../utilities/random_source.ts";
import {
  decideCall,
  findNextCall,
  findTurnHeir,
  listBefore,
  toLevel,
  toRetryAfter,
  type WaitingCall,
} from "./call_admission.ts";

const WORK_MILLISECONDS = 40;
const SERVERS = { servers: 4, slotsPerServer: 6, queuePerServer: 24 };

// The rule before the decisions: every call is sent, and a refused one returns after 150 ms.
const SEND_ALL: CallPolicy = {
  decide: () => "send",
  findNext: () => undefined,
};

function createPolicy(seed: number): CallPolicy {
  const random = createRandomSource(seed);
  return {
    decide: (call, { servers, slots, running }, { now, waiting }) => {
      const decision = decideCall(
        {
          servers,
          slots,
          running,
          waiting: listBefore(
            { ...toWaitingCall(call), arrivedAt: now },
            waiting.map(toWaitingCall),
          ).length,
          meanMilliseconds: WORK_MILLISECONDS,
          rateWaitMilliseconds: 0,
        },
        {
          isDeferrable: call.isDeferrable,
          remainingMilliseconds: call.arrivesAt + call.budgetMilliseconds - now,
        },
        random.next(),
      );
      return decision.kind === "reject"
        ? decision.retryAfterMilliseconds
        : decision.kind;
    },
    findNext: (waiting) =>
      findNextCall(
        waiting.map((call) => ({ ...toWaitingCall(call), call })),
      )?.call,
  };
}

function toWaitingCall(
  { arrivesAt, isDeferrable }: ModelCall,
): { priority: number; isDeferrable: boolean; arrivedAt: number } {
  return { priority: 1, isDeferrable, arrivedAt: arrivesAt };
}

test("bursts of deferrable calls do not delay the calls that callers wait for", (t) => {
  const load = createCallLoad({
    seed: 1,
    seconds: 40,
    interactivePerSecond: 20,
    burst: 400,
    workMilliseconds: WORK_MILLISECONDS,
  });
  const before = runCallModel(load, SERVERS, SEND_ALL);
  const after = runCallModel(load, SERVERS, createPolicy(1));
  t.log({ before, after });
  t.true(after.interactiveInTime >= 0.99);
  t.true(after.interactiveInTime > before.interactiveInTime);
  t.true(after.answered >= before.answered);
  t.is(after.rejections, 0);
});

test("after an outage, the calls that can still be answered by their deadline are", (t) => {
  const outage = { ...SERVERS, availableFrom: 5000 };
  const load = createCallLoad({
    seed: 2,
    seconds: 10,
    interactivePerSecond: 300,
    burst: 0,
    workMilliseconds: WORK_MILLISECONDS,
  });
  const before = runCallModel(load, outage, SEND_ALL);
  const after = runCallModel(load, outage, createPolicy(2));
  t.log({ before, after });
  // Calls that arrived more than their budget of 1.5 s before the end of the outage are lost.
  const best = load.filter(({ arrivesAt }) => arrivesAt > 3500).length /
    load.length;
  t.true(after.answered >= 0.95 * best, `${after.answered} of ${best}`);
  t.true(after.answered > before.answered);
  t.true(after.rejections < before.rejections);
  // A call that was expected to be served is held until its deadline at most.
  t.true(after.longestHold <= 1500);
});

test("a call that can't be served by its deadline is rejected at once with a time to return", (t) => {
  const load = {
    servers: 2,
    slots: 12,
    running: 60,
    waiting: 300,
    meanMilliseconds: 100,
    rateWaitMilliseconds: 0,
  };
  const demand = { isDeferrable: false, remainingMilliseconds: 1500 };
  const decision = decideCall(load, demand, 0.5);
  // 300 waiting calls, this one and 44 beyond the limit of 16 need 345 / 12 * 100 ms.
  t.deepEqual(decision, { kind: "reject", retryAfterMilliseconds: 2875 });
});

test("the delays of refused callers are spread over the time of the backlog", (t) => {
  const delays = [0, 0.25, 0.5, 0.75, 0.999].map((draw) =>
    toRetryAfter(1000, draw)
  );
  t.deepEqual(delays, [500, 750, 1000, 1250, 1499]);
  t.is(toRetryAfter(0, 0.5), 50);
});

test("a call is sent while servers have room and none waits", (t) => {
  const load = {
    servers: 2,
    slots: 12,
    running: 11,
    waiting: 0,
    meanMilliseconds: 100,
    rateWaitMilliseconds: 0,
  };
  const caller = { isDeferrable: false, remainingMilliseconds: 1500 };
  const scoring = { isDeferrable: true, remainingMilliseconds: 1500 };
  t.is(decideCall(load, caller, 0).kind, "send");
  t.is(decideCall(load, scoring, 0).kind, "wait");
  t.is(decideCall({ ...load, running: 9 }, scoring, 0).kind, "send");
  t.is(decideCall({ ...load, servers: 0, slots: 0 }, caller, 0).kind, "send");
});

test("a call waits for servers that limit their request rate, or is rejected with a time to return", (t) => {
  const load = {
    servers: 2,
    slots: 12,
    running: 0,
    waiting: 0,
    meanMilliseconds: 100,
    rateWaitMilliseconds: 800,
  };
  const patient = { isDeferrable: false, remainingMilliseconds: 1500 };
  const hasty = { isDeferrable: false, remainingMilliseconds: 850 };
  t.deepEqual(decideCall(load, patient, 0.5), { kind: "wait" });
  t.deepEqual(decideCall(load, hasty, 0.5), {
    kind: "reject",
    retryAfterMilliseconds: 800,
  });
});

test("waiting calls are ordered by rank, kind and age, and none starves", (t) => {
  const call = (
    name: string,
    priority: number,
    arrivedAt: number,
    isDeferrable = false,
  ): {
    name: string;
    priority: number;
    arrivedAt: number;
    isDeferrable: boolean;
  } => ({
    name,
    priority,
    arrivedAt,
    isDeferrable,
  });
  t.is(findNextCall([call("low", 2, 0), call("high", 1, 10)])?.name, "high");
  t.is(
    findNextCall([call("scoring", 1, 0, true), call("caller", 1, 10)])?.name,
    "caller",
  );
  t.is(findNextCall([call("new", 1, 10), call("old", 1, 0)])?.name, "old");
  t.is(findNextCall([call("aged", 2, 0), call("high", 1, 5000)])?.name, "aged");
  t.is(findNextCall([]), undefined);
});

const FAIR_SEED = 12;

interface NamedCall extends WaitingCall {
  readonly name: string;
}

function createCall(name: string, more: Partial<NamedCall> = {}): NamedCall {
  return { name, priority: 1, isDeferrable: false, arrivedAt: 0, ...more };
}

// The order before calls were shared by organisation.
function toEarlierOrder(
  { priority, isDeferrable, arrivedAt }: WaitingCall,
): number {
  return (priority + (isDeferrable ? 0.5 : 0)) * 4000 + arrivedAt;
}

test("with one organisation or none, calls go in the order of rank, kind and age alone", (t) => {
  const anyCall = fc.record({
    priority: fc.integer({ min: 0, max: 3 }),
    isDeferrable: fc.boolean(),
    arrivedAt: fc.integer({ min: 0, max: 20 }).map((each) => each * 1000),
  });
  const use = { useOf: () => 500, costMilliseconds: 40 };
  fc.assert(
    fc.property(
      fc.array(anyCall, { maxLength: 25 }),
      anyCall,
      fc.constantFrom(undefined, "a"),
      (calls, other, organisation) => {
        const waiting = calls.map((each, index) =>
          createCall(String(index), { ...each, organisation })
        );
        const call = createCall("new", {
          ...other,
          arrivedAt: 30_000,
          organisation,
        });
        const order = toEarlierOrder(call);
        t.deepEqual(
          listBefore(call, waiting, use),
          waiting.filter((each) => toEarlierOrder(each) <= order),
        );
        const [first] = [...waiting].sort((left, right) =>
          toEarlierOrder(left) - toEarlierOrder(right)
        );
        t.is(findNextCall(waiting, use), first);
        const rest = waiting.filter((each) => each !== first);
        t.is(first && findTurnHeir(first, rest), undefined);
      },
    ),
    { seed: FAIR_SEED },
  );
});

// Guards against a large organisation's backlog that gets the calls of a small one rejected.
test("a call of a small organisation is not rejected for the backlog of a large one", (t) => {
  const backlog = Array.from(
    { length: 400 },
    (_unused, index) =>
      createCall(String(index), { organisation: "large", arrivedAt: index }),
  );
  const use = {
    useOf: (name: string) => (name === "large" ? 5000 : 0),
    costMilliseconds: 40,
  };
  const decide = (organisation: string): string => {
    const call = createCall("new", { organisation, arrivedAt: 500 });
    return decideCall(
      {
        servers: 2,
        slots: 12,
        running: 16,
        waiting: listBefore(call, backlog, use).length,
        meanMilliseconds: 40,
        rateWaitMilliseconds: 0,
      },
      { isDeferrable: false, remainingMilliseconds: 800 },
      0.5,
    ).kind;
  };
  t.is(decide("small"), "wait");
  t.is(decide("large"), "reject");
});

test("in a rank the organisation with the least use goes first, and a more urgent rank before it", (t) => {
  const use = {
    useOf: (name: string) => (name === "large" ? 5000 : 10),
    costMilliseconds: 40,
  };
  const large = createCall("large", { organisation: "large" });
  const small = createCall("small", { organisation: "small", arrivedAt: 900 });
  const urgent = createCall("urgent", {
    organisation: "large",
    priority: 0,
    arrivedAt: 950,
  });
  t.is(findNextCall([large, small], use), small);
  t.is(findNextCall([large, small, urgent], use), urgent);
  const late = createCall("late", { priority: 2, arrivedAt: 1000 });
  t.deepEqual(listBefore(late, [large, small, urgent], use).length, 3);
});

// Guards against a rank that stays ahead of a more urgent one because an old call of a large
// organisation keeps waiting in it.
test("each turn of a rank is used once, whichever organisation's call uses it", (t) => {
  const use = {
    useOf: (name: string) => (name === "large" ? 5000 : 10),
    costMilliseconds: 40,
  };
  const old = createCall("old", { organisation: "large", priority: 2 });
  const small = createCall("small", {
    organisation: "small",
    priority: 2,
    arrivedAt: 5000,
  });
  const urgent = createCall("urgent", { priority: 1, arrivedAt: 4500 });
  t.is(findNextCall([old, small, urgent], use), small);
  t.is(findTurnHeir(small, [old, urgent]), old);
  const heir = { ...old, turnAt: small.arrivedAt };
  t.is(findNextCall([heir, urgent], use), urgent);
  t.is(toLevel(old, 4100), 1);
  t.is(toLevel(heir, 5100), 2);
});
