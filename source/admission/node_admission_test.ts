import test from "ava";
import {
  type AdmissionBench,
  createAdmissionBench,
  describeServer,
} from "../../stand_ins/entry/admission_bench.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { BrokenInvariantError } from "../utilities/invariant.ts";
import type { AdmissionTicket } from "./admission.ts";
import type { AdmissionPolicyName } from "./policies/policy_table.ts";
import type { AdmissibleWork } from "./waiting_request.ts";

const DECLARATION = {
  classes: [
    { name: "lookups", latencyP99Milliseconds: 1000 },
    { name: "rollouts", latencyP99Milliseconds: 20_000 },
    { name: "later", latencyP99Milliseconds: 30_000, deferrable: true },
  ],
  organisations: [
    { name: "large" },
    { name: "small" },
    { name: "limited", requestsPerSecond: 10 },
    { name: "narrow", concurrentRequests: 4 },
  ],
};

const LEARNING_MILLISECONDS = 250;

interface Arrival {
  readonly organisation: string;
  readonly classOfWork: string;
}

function arrival(text: string): Arrival {
  const [organisation = "", classOfWork = ""] = text.split(" ");
  return { organisation, classOfWork };
}

const ORDER_CASES: ReadonlyArray<{
  readonly title: string;
  readonly policy: AdmissionPolicyName;
  readonly arrivals: ReadonlyArray<string>;
}> = [
  {
    title: "fifo starts requests in order of arrival",
    policy: "fifo",
    arrivals: ["large lookups", "large rollouts", "small lookups"],
  },
  {
    title: "perNodeFair starts the organisation with the least service first",
    policy: "perNodeFair",
    arrivals: ["large lookups", "large lookups", "small lookups"],
  },
  {
    title: "slackFair starts the class with the least slack first",
    policy: "slackFair",
    arrivals: ["large rollouts", "small rollouts", "large lookups"],
  },
  {
    title:
      "slackFair starts the organisation with the least service over all nodes first",
    policy: "slackFair",
    arrivals: ["large lookups", "large lookups", "small lookups"],
  },
  {
    title: "slackFair starts deferrable work last",
    policy: "slackFair",
    arrivals: ["small later", "large rollouts", "large lookups"],
  },
];

for (const { title, policy, arrivals } of ORDER_CASES) {
  test(title, async (t) => {
    const clock = new ManualClock();
    const { nodes: [node] } = createBench(clock, { policy, slots: 2 });
    const first = await node?.admit(work(clock, arrival("large lookups")));
    await clock.advance(300);
    node?.tick();
    const second = await node?.admit(work(clock, arrival("large lookups")));
    // Uses up the equal share of "small", whose next request then needs a free slot.
    if (policy === "slackFair") {
      await node?.admit(work(clock, arrival("small lookups")));
    }
    await clock.advance(300);
    node?.tick();
    const order: string[] = [];
    for (const text of arrivals) {
      void node?.admit(work(clock, arrival(text))).then((ticket) => {
        order.push(text);
        release(ticket);
      });
    }
    await clock.advance(10);
    release(first);
    release(second);
    for (let step = 0; step < 40; step += 1) {
      await clock.advance(500);
      node?.tick();
    }
    t.snapshot(order);
  });
}

test("overdue deferrable work still starts while on-time work uses all slots", async (t) => {
  const clock = new ManualClock();
  const { nodes: [node] } = createBench(clock, {
    policy: "slackFair",
    slots: 2,
  });
  let deferredStarted = 0;
  for (let index = 0; index < 3; index += 1) {
    void node?.admit(work(clock, arrival("small later"), 120_000)).then(() => {
      deferredStarted += 1;
    });
  }
  t.is(deferredStarted, 0);
  for (let second = 0; second < 60; second += 1) {
    for (let count = 0; count < 2; count += 1) {
      void node?.admit(work(clock, arrival("large lookups"))).then(
        async (ticket) => {
          await clock.sleep(990);
          release(ticket);
        },
      );
    }
    await clock.advance(1000);
    node?.tick();
  }
  t.true(deferredStarted >= 1);
});

test("overdue work and on-time work don't starve each other", async (t) => {
  const clock = new ManualClock();
  const { nodes: [node] } = createBench(clock, {
    policy: "slackFair",
    slots: 8,
  });
  const started = { rollouts: 0, lookups: 0 };
  const runs = { rollouts: 2000, lookups: 200 };
  async function request(name: keyof typeof started): Promise<void> {
    const within = name === "lookups" ? 2000 : 600_000;
    const asked = work(clock, arrival(`large ${name}`), within);
    const answer = await node?.admit(asked);
    if (answer?.kind !== "admitted") return;
    started[name] += 1;
    await clock.sleep(runs[name]);
    release(answer);
  }
  async function load(
    lookupsPerSecond: number,
    seconds: number,
  ): Promise<void> {
    for (let step = 0; step < seconds * 10; step += 1) {
      void request("rollouts");
      for (let count = 0; count < lookupsPerSecond / 10; count += 1) {
        void request("lookups");
      }
      await clock.advance(100);
      node?.tick();
    }
  }
  await load(0, 40);
  await load(10, 20);
  t.true(started.lookups >= 150, `${started.lookups} of 200 lookups started`);
  const before = started.rollouts;
  await load(80, 20);
  const later = started.rollouts - before;
  t.true(
    later >= 5,
    `${later} rollouts started while lookups exceeded the capacity`,
  );
});

test("a request that can no longer meet its deadline is refused as not run", async (t) => {
  const clock = new ManualClock();
  const { nodes: [node] } = createBench(clock, { policy: "slackFair" });
  await node?.admit(work(clock, arrival("large lookups")));
  const late = node?.admit(work(clock, arrival("large lookups"), 500));
  await clock.advance(600);
  node?.tick();
  t.snapshot(await late);
});

test("a full queue refuses the organisation with the most waiting requests, and admits one below its share", async (t) => {
  const clock = new ManualClock();
  const { nodes: [node] } = createBench(clock, { policy: "slackFair" });
  await node?.admit(work(clock, arrival("large lookups")));
  await clock.advance(300);
  node?.tick();
  const refused: string[] = [];
  for (let index = 0; index < 100; index += 1) {
    void node?.admit(work(clock, arrival("large lookups"), 100_000)).then(
      (answer) => {
        if (answer.kind === "notRun") refused.push(answer.reason);
      },
    );
  }
  const small = node?.admit(work(clock, arrival("small lookups"), 100_000));
  await clock.advance(0);
  t.is(node?.queued("assist-lm"), 64);
  t.deepEqual([...new Set(refused)], ["queueFull"]);
  t.is((await small)?.kind, "admitted");
});

test("a cancelled request is removed from the queue and refused as not run", async (t) => {
  const clock = new ManualClock();
  const { nodes: [node] } = createBench(clock, { policy: "slackFair" });
  await node?.admit(work(clock, arrival("large lookups")));
  const controller = new AbortController();
  const waiting = node?.admit({
    ...work(clock, arrival("large lookups")),
    signal: controller.signal,
  });
  controller.abort("keyWithdrawn");
  t.like(await waiting, { kind: "notRun", reason: "keyWithdrawn" });
  t.is(node?.queued("assist-lm"), 0);
});

test("releasing a ticket twice breaks an invariant", async (t) => {
  const clock = new ManualClock();
  const { nodes: [node] } = createBench(clock, { policy: "slackFair" });
  const ticket = await node?.admit(work(clock, arrival("large lookups")));
  release(ticket);
  t.throws(() => release(ticket), { instanceOf: BrokenInvariantError });
});

for (const through of ["one node", "all nodes"] as const) {
  test(`a limit of requests per second holds under excess load through ${through}`, async (t) => {
    const clock = new ManualClock();
    const bench = createBench(clock, {
      policy: "slackFair",
      slots: 1000,
      nodes: 5,
    });
    const targets = through === "one node"
      ? bench.nodes.slice(0, 1)
      : bench.nodes;
    const admitted = await flood(clock, {
      bench,
      targets,
      organisation: "limited",
      perSecond: 100,
      seconds: 30,
    });
    const inLaterPart = admitted.filter((at) => at >= 5000).length / 25;
    const inFirstPart = admitted.filter((at) => at < 5000).length / 5;
    t.true(inLaterPart <= 11, `${inLaterPart} requests a second`);
    t.true(inLaterPart >= 7, `${inLaterPart} requests a second`);
    t.true(inFirstPart <= 20, `${inFirstPart} requests a second at first`);
  });
}

for (const through of ["one node", "all nodes"] as const) {
  test(`a limit of concurrent requests holds under excess load through ${through}`, async (t) => {
    const clock = new ManualClock();
    const bench = createBench(clock, {
      policy: "slackFair",
      slots: 1000,
      nodes: 3,
    });
    const targets = through === "one node"
      ? bench.nodes.slice(0, 1)
      : bench.nodes;
    let running = 0;
    let most = 0;
    await flood(clock, {
      bench,
      targets,
      organisation: "narrow",
      perSecond: 20,
      seconds: 30,
      onAdmitted: async (ticket) => {
        running += 1;
        if (clock.monotonic() > 5000) most = Math.max(most, running);
        await clock.sleep(2000);
        running -= 1;
        release(ticket);
      },
    });
    t.true(most <= 4, `${most} at once`);
    t.true(most >= 3, `${most} at once`);
  });
}

test("a limit of concurrent requests refuses no light use through any node", async (t) => {
  const clock = new ManualClock();
  const bench = createBench(clock, {
    policy: "slackFair",
    slots: 1000,
    nodes: 9,
  });
  let refused = 0;
  for (let index = 0; index < 60; index += 1) {
    const asked = work(clock, arrival("narrow lookups"));
    const answer = await bench.nodes[index % 9]?.admit(asked);
    if (answer?.kind === "notRun") refused += 1;
    void clock.sleep(900).then(() => release(answer));
    await clock.advance(500);
    for (const node of bench.nodes) node.tick();
  }
  t.is(refused, 0);
});

interface Flood {
  readonly bench: AdmissionBench;
  readonly targets: AdmissionBench["nodes"];
  readonly organisation: string;
  readonly perSecond: number;
  readonly seconds: number;
  readonly onAdmitted?: (ticket: AdmissionTicket) => Promise<void>;
}

async function flood(
  clock: ManualClock,
  options: Flood,
): Promise<ReadonlyArray<number>> {
  const admitted: number[] = [];
  const { targets, organisation, onAdmitted } = options;
  const interval = 1000 / options.perSecond;
  const total = options.perSecond * options.seconds;
  for (let index = 0; index < total; index += 1) {
    const node = targets[index % targets.length];
    const classOfWork = "lookups";
    void node?.admit(work(clock, { organisation, classOfWork })).then(
      (answer) => {
        if (answer.kind !== "admitted") return;
        admitted.push(clock.monotonic());
        if (onAdmitted !== undefined) return onAdmitted(answer);
        answer.release(0);
      },
    );
    await clock.advance(interval);
    for (const each of options.bench.nodes) each.tick();
  }
  return admitted;
}

// The simulated server reports all slots in use and one waiting request while it is full, and also
// at the start, so that the nodes can estimate its slots. At any other time it reports its running
// requests.
function createBench(
  clock: ManualClock,
  options: {
    readonly policy: AdmissionPolicyName;
    readonly slots?: number;
    readonly nodes?: number;
  },
): AdmissionBench {
  const slots = options.slots ?? 1;
  let running = 0;
  const bench = createAdmissionBench({
    clock,
    nodes: options.nodes ?? 1,
    policy: options.policy,
    declaration: DECLARATION,
    factDelayMilliseconds: 800,
    servers: () => {
      const isFull = clock.monotonic() < LEARNING_MILLISECONDS ||
        running >= slots;
      const load = isFull ? { running: slots, waiting: 1 } : { running };
      return [describeServer("127.0.0.1:1", load)];
    },
  });
  for (const node of bench.nodes) {
    const admit = node.admit.bind(node);
    node.admit = async (asked) => {
      const answer = await admit(asked);
      if (answer.kind !== "admitted") return answer;
      running += 1;
      return {
        kind: "admitted",
        release: (tokens) => {
          answer.release(tokens);
          running -= 1;
        },
      };
    };
  }
  return bench;
}

function work(
  clock: ManualClock,
  { organisation, classOfWork }: Arrival,
  withinMilliseconds = 60_000,
): AdmissibleWork {
  return {
    requestIdentifier: "request",
    service: "assist-lm",
    classOfWork,
    organisation,
    deadline: clock.monotonic() + withinMilliseconds,
    ledger: { add: () => {}, close: () => {} },
    signal: new AbortController().signal,
    expectedTokens: 10,
  };
}

function release(answer: { readonly kind: string } | undefined): void {
  if (answer?.kind === "admitted") (answer as AdmissionTicket).release(10);
}
