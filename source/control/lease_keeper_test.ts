import test from "ava";
import {
  ControlNode,
  LEASE_MILLISECONDS,
  ORDER_DEADLINE_MILLISECONDS,
} from "../../stand_ins/control/control_node.ts";
import {
  type CallFate,
  PROMPT_ANSWER,
} from "../../stand_ins/platform/local_platform.ts";
import { createPlatformState } from "../../stand_ins/platform/platform_state.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { LeaseKeeper } from "./lease_keeper.ts";

const STEP_MILLISECONDS = 50;
const WAIT_MILLISECONDS = LEASE_MILLISECONDS + ORDER_DEADLINE_MILLISECONDS;

/** Two nodes that compete; the first one holds the lease at the start. */
class Contest {
  readonly clock = new ManualClock();
  readonly state = createPlatformState({ clock: this.clock });
  readonly first = this.#createNode("node-1");
  readonly second = this.#createNode("node-2");
  firstLease = new LeaseKeeper({ context: this.first.context, name: "usage" });
  secondLease = new LeaseKeeper({
    context: this.second.context,
    name: "usage",
  });
  /** Holders as they changed, such as "node-1:1". */
  readonly holders: string[] = [];

  async start(): Promise<void> {
    void this.firstLease.run();
    await this.advance(100);
    void this.secondLease.run();
    await this.advance(100);
  }

  /** Advances both nodes; returns the time in which no node held the lease. */
  async advance(milliseconds: number): Promise<number> {
    let vacant = 0;
    for (let past = 0; past < milliseconds; past += STEP_MILLISECONDS) {
      await this.clock.advance(STEP_MILLISECONDS);
      if (!this.#observe()) vacant += STEP_MILLISECONDS;
    }
    return vacant;
  }

  #observe(): boolean {
    const held = [
      { node: this.first, lease: this.firstLease.ifHeld() },
      { node: this.second, lease: this.secondLease.ifHeld() },
    ].filter(({ node, lease }) => lease !== undefined && !node.clock.isStopped);
    const names = held.map(({ node, lease }) =>
      `${node.name}:${lease?.fencingNumber}`
    );
    const holder = names.join(" and ");
    if (holder !== "" && holder !== this.holders.at(-1)) {
      this.holders.push(holder);
    }
    return holder !== "";
  }

  #createNode(name: string): ControlNode {
    return new ControlNode({ name, clock: this.clock, state: this.state });
  }
}

function always(kind: CallFate["kind"]): () => CallFate {
  return () => ({ kind, sendMilliseconds: 1, answerMilliseconds: 200 });
}

interface Case {
  readonly happens: (contest: Contest) => void | Promise<void>;
  /** Whether node-1 holds the lease right after. */
  readonly isHeldAfter: boolean;
  readonly holders: ReadonlyArray<string>;
}

const CASES: Readonly<Record<string, Case>> = {
  "nothing fails": {
    happens: () => {},
    isHeldAfter: true,
    holders: ["node-1:1"],
  },
  "the holder is killed": {
    happens: ({ first }) => first.kill(),
    isHeldAfter: true,
    holders: ["node-1:1", "node-2:2"],
  },
  "the holder ends": {
    happens: ({ first }) => first.terminate(),
    isHeldAfter: true,
    holders: ["node-1:1", "node-2:2"],
  },
  "the holder is stopped for less than its lease": {
    happens: ({ first }) => {
      void first.clock.stop({ milliseconds: 1_500, haltsMonotonic: false });
    },
    isHeldAfter: true,
    holders: ["node-1:1"],
  },
  "the holder is stopped past its lease": {
    happens: ({ first }) => {
      void first.clock.stop({ milliseconds: 20_000, haltsMonotonic: false });
    },
    isHeldAfter: true,
    holders: ["node-1:1", "node-2:2"],
  },
  "the holder's machine is suspended past its lease": {
    happens: ({ first }) => {
      void first.clock.stop({ milliseconds: 20_000, haltsMonotonic: true });
    },
    isHeldAfter: true,
    holders: ["node-1:1", "node-2:2"],
  },
  "a suspension is hidden by a step of the wall clock soon after": {
    happens: async ({ first, clock }) => {
      const milliseconds = 20_000;
      void first.clock.stop({ milliseconds, haltsMonotonic: true });
      // Too short for the next renewal after the suspension to come back.
      first.decideFate = always("answered");
      await clock.advance(milliseconds + 50);
      first.clock.stepWall(-milliseconds);
    },
    isHeldAfter: false,
    holders: ["node-1:1", "node-2:2"],
  },
  "the wall clock is stepped forward": {
    happens: ({ first }) => first.clock.stepWall(3_600_000),
    isHeldAfter: false,
    holders: ["node-1:1"],
  },
  "the wall clock is stepped back": {
    happens: ({ first }) => first.clock.stepWall(-3_600_000),
    isHeldAfter: false,
    holders: ["node-1:1"],
  },
  "every renewal's answer is lost and only reads are answered": {
    happens: async (contest) => {
      let calls = 0;
      contest.first.decideFate = () => {
        calls += 1;
        return always(calls % 2 === 1 ? "answerLost" : "answered")();
      };
      await contest.advance(20_000);
    },
    isHeldAfter: true,
    holders: ["node-1:1"],
  },
  "all answers are lost for longer than the lease": {
    happens: async (contest) => {
      contest.first.decideFate = always("answerLost");
      await contest.advance(2 * WAIT_MILLISECONDS);
      contest.first.decideFate = always("answered");
    },
    isHeldAfter: false,
    holders: ["node-1:1", "node-2:2"],
  },
  "the table refuses the holder": {
    happens: ({ first }) => {
      first.decideFate = always("refused");
    },
    isHeldAfter: true,
    holders: ["node-1:1", "node-2:2"],
  },
  "the table is away for both, then back": {
    happens: async (contest) => {
      contest.first.decideFate = always("refused");
      contest.second.decideFate = always("dropped");
      await contest.advance(60_000);
      contest.first.decideFate = always("answered");
      contest.second.decideFate = always("answered");
    },
    isHeldAfter: false,
    holders: ["node-1:1"],
  },
};

for (
  const [title, { happens, isHeldAfter, holders }] of Object.entries(CASES)
) {
  test(`one holder at a time when ${title}`, async (t) => {
    const contest = new Contest();
    await contest.start();
    await happens(contest);
    t.is(contest.firstLease.ifHeld() !== undefined, isHeldAfter);
    await contest.advance(3 * WAIT_MILLISECONDS + 20_000);
    t.deepEqual(contest.holders, holders);
  });
}

test("a successor waits for lease and order deadline from its first sight", async (t) => {
  const contest = new Contest();
  await contest.start();
  contest.first.kill();
  t.is(await contest.advance(WAIT_MILLISECONDS), WAIT_MILLISECONDS);
  t.true(
    await contest.advance(2 * LEASE_MILLISECONDS) < 2 * LEASE_MILLISECONDS,
  );
});

test("a lease counts from the send of the renewal, not from its answer", async (t) => {
  const contest = new Contest();
  await contest.start();
  const { first, clock, firstLease } = contest;
  let sentAt = -1;
  first.decideFate = (_area, writtenTable) => {
    if (sentAt >= 0 || writtenTable === "") return always("refused")();
    sentAt = clock.monotonic();
    return { kind: "answered", sendMilliseconds: 1, answerMilliseconds: 2_000 };
  };
  while (sentAt < 0) await clock.advance(1);
  const end = sentAt + LEASE_MILLISECONDS;
  await clock.advance(end - 10 - clock.monotonic());
  t.not(firstLease.ifHeld(), undefined);
  await clock.advance(10);
  t.is(firstLease.ifHeld(), undefined);
});

test("a lease given back waits for the order deadline only", async (t) => {
  const contest = new Contest();
  await contest.start();
  contest.first.terminate();
  const vacant = await contest.advance(WAIT_MILLISECONDS);
  t.true(vacant >= ORDER_DEADLINE_MILLISECONDS, `${vacant} ms`);
  t.true(vacant < WAIT_MILLISECONDS, `${vacant} ms`);
});

test("many candidates read little and take over as fast", async (t) => {
  const clock = new ManualClock();
  const state = createPlatformState({ clock });
  let reads = 0;
  const contestants = Array.from({ length: 100 }, (_, seed) => {
    const name = `node-${seed}`;
    const node = new ControlNode({ name, clock, state, seed });
    node.decideFate = (_area, writtenTable) => {
      reads += writtenTable === "" ? 1 : 0;
      return PROMPT_ANSWER;
    };
    const candidates = (): number => 100;
    const { context } = node;
    const lease = new LeaseKeeper({ context, name: "usage", candidates });
    void lease.run();
    return { node, lease };
  });
  const findHolder = (): typeof contestants[number] | undefined =>
    contestants.find(({ node, lease }) =>
      !node.clock.isStopped && lease.ifHeld() !== undefined
    );
  await clock.advance(2 * LEASE_MILLISECONDS);
  reads = 0;
  await clock.advance(60_000);
  const readsPerSecond = reads / 60;
  t.true(readsPerSecond < 20, `${readsPerSecond} reads a second`);
  for (let kill = 0; kill < 5; kill++) {
    findHolder()?.node.kill();
    await clock.advance(2 * WAIT_MILLISECONDS);
    t.not(findHolder(), undefined);
  }
});

test("nodes that race for an absent lease get one holder", async (t) => {
  const contest = new Contest();
  void contest.firstLease.run();
  void contest.secondLease.run();
  await contest.advance(10_000);
  t.is(contest.holders.length, 1);
});
