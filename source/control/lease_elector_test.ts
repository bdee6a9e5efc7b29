import test from "ava";
import {
  ControlNode,
  LEASE_MILLISECONDS,
  ORDER_DEADLINE_MILLISECONDS,
} from "../../stand_ins/control/control_node.ts";
import {
  type CallBehaviour,
  FAST_RESPONSE,
} from "../../stand_ins/platform/local_platform.ts";
import { createPlatformState } from "../../stand_ins/platform/platform_state.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { LeaseSimulation } from "../../stand_ins/control/lease_simulation.ts";
import { LeaseElector } from "./lease_elector.ts";

const WAIT_MILLISECONDS = LEASE_MILLISECONDS + ORDER_DEADLINE_MILLISECONDS;

function createFateDecider(kind: CallBehaviour["kind"]): () => CallBehaviour {
  return () => ({
    kind,
    requestDelayMilliseconds: 1,
    responseDelayMilliseconds: 200,
  });
}

interface Case {
  readonly applyScenario: (simulation: LeaseSimulation) => void | Promise<void>;
  /** Whether node-1 holds the lease directly after the scenario. */
  readonly isHeldAfter: boolean;
  readonly holders: ReadonlyArray<string>;
}

const CASES: Readonly<Record<string, Case>> = {
  "nothing fails": {
    applyScenario: () => {},
    isHeldAfter: true,
    holders: ["node-1:1"],
  },
  "the holder is killed": {
    applyScenario: ({ first }) => first.kill(),
    isHeldAfter: true,
    holders: ["node-1:1", "node-2:2"],
  },
  "the holder shuts down": {
    applyScenario: ({ first }) => first.terminate(),
    isHeldAfter: true,
    holders: ["node-1:1", "node-2:2"],
  },
  "the holder is stopped for less than its lease": {
    applyScenario: ({ first }) => {
      void first.clock.stop({ milliseconds: 1_500, haltsMonotonic: false });
    },
    isHeldAfter: true,
    holders: ["node-1:1"],
  },
  "the holder is stopped past its lease": {
    applyScenario: ({ first }) => {
      void first.clock.stop({ milliseconds: 20_000, haltsMonotonic: false });
    },
    isHeldAfter: true,
    holders: ["node-1:1", "node-2:2"],
  },
  "the holder's instance is suspended past its lease": {
    applyScenario: ({ first }) => {
      void first.clock.stop({ milliseconds: 20_000, haltsMonotonic: true });
    },
    isHeldAfter: true,
    holders: ["node-1:1", "node-2:2"],
  },
  "a suspension is hidden by a step of the wall clock soon after": {
    applyScenario: async ({ first, clock }) => {
      const milliseconds = 20_000;
      void first.clock.stop({ milliseconds, haltsMonotonic: true });
      // The step hides the suspension before the next renewal after the suspension is answered.
      first.chooseBehaviour = createFateDecider("answered");
      await clock.advance(milliseconds + 50);
      first.clock.stepWall(-milliseconds);
    },
    isHeldAfter: false,
    holders: ["node-1:1", "node-2:2"],
  },
  "the wall clock is stepped forward": {
    applyScenario: ({ first }) => first.clock.stepWall(3_600_000),
    isHeldAfter: false,
    holders: ["node-1:1"],
  },
  "the wall clock is stepped back": {
    applyScenario: ({ first }) => first.clock.stepWall(-3_600_000),
    isHeldAfter: false,
    holders: ["node-1:1"],
  },
  "every response to a renewal is lost and only reads are answered": {
    applyScenario: async (simulation) => {
      let calls = 0;
      simulation.first.chooseBehaviour = () => {
        calls += 1;
        return createFateDecider(calls % 2 === 1 ? "answerLost" : "answered")();
      };
      await simulation.advance(20_000);
    },
    isHeldAfter: true,
    holders: ["node-1:1"],
  },
  "all responses are lost for longer than the lease": {
    applyScenario: async (simulation) => {
      simulation.first.chooseBehaviour = createFateDecider("answerLost");
      await simulation.advance(2 * WAIT_MILLISECONDS);
      simulation.first.chooseBehaviour = createFateDecider("answered");
    },
    isHeldAfter: false,
    holders: ["node-1:1", "node-2:2"],
  },
  "the table refuses the holder's calls": {
    applyScenario: ({ first }) => {
      first.chooseBehaviour = createFateDecider("refused");
    },
    isHeldAfter: true,
    holders: ["node-1:1", "node-2:2"],
  },
  "the table is unreachable for both nodes, then recovers": {
    applyScenario: async (simulation) => {
      simulation.first.chooseBehaviour = createFateDecider("refused");
      simulation.second.chooseBehaviour = createFateDecider("dropped");
      await simulation.advance(60_000);
      simulation.first.chooseBehaviour = createFateDecider("answered");
      simulation.second.chooseBehaviour = createFateDecider("answered");
    },
    isHeldAfter: false,
    holders: ["node-1:1"],
  },
};

for (
  const [title, { applyScenario, isHeldAfter, holders }] of Object.entries(
    CASES,
  )
) {
  test(`one holder at a time when ${title}`, async (t) => {
    const simulation = new LeaseSimulation();
    await simulation.start();
    await applyScenario(simulation);
    t.is(simulation.firstLease.getHeldLease() !== undefined, isHeldAfter);
    await simulation.advance(3 * WAIT_MILLISECONDS + 20_000);
    t.deepEqual(simulation.holders, holders);
  });
}

test("a successor waits for the lease duration and the order deadline from its first read of the row", async (t) => {
  const simulation = new LeaseSimulation();
  await simulation.start();
  simulation.first.kill();
  t.is(await simulation.advance(WAIT_MILLISECONDS), WAIT_MILLISECONDS);
  t.true(
    await simulation.advance(2 * LEASE_MILLISECONDS) < 2 * LEASE_MILLISECONDS,
  );
});

test("a lease duration starts when the renewal is sent, not when it is answered", async (t) => {
  const simulation = new LeaseSimulation();
  await simulation.start();
  const { first, clock, firstLease } = simulation;
  let sentAt = -1;
  first.chooseBehaviour = (_area, writtenTable) => {
    if (sentAt >= 0 || writtenTable === "") {
      return createFateDecider("refused")();
    }
    sentAt = clock.monotonic();
    return {
      kind: "answered",
      requestDelayMilliseconds: 1,
      responseDelayMilliseconds: 2_000,
    };
  };
  while (sentAt < 0) await clock.advance(1);
  const end = sentAt + LEASE_MILLISECONDS;
  await clock.advance(end - 10 - clock.monotonic());
  t.not(firstLease.getHeldLease(), undefined);
  await clock.advance(10);
  t.is(firstLease.getHeldLease(), undefined);
});

test("the takeover of a released lease waits for the order deadline only", async (t) => {
  const simulation = new LeaseSimulation();
  await simulation.start();
  simulation.first.terminate();
  const vacant = await simulation.advance(WAIT_MILLISECONDS);
  t.true(vacant >= ORDER_DEADLINE_MILLISECONDS, `${vacant} ms`);
  t.true(vacant < WAIT_MILLISECONDS, `${vacant} ms`);
});

test("many candidates cause few reads and still take over in time", async (t) => {
  const clock = new ManualClock();
  const state = createPlatformState({ clock });
  let reads = 0;
  const candidateNodes = Array.from({ length: 100 }, (_, seed) => {
    const name = `node-${seed}`;
    const node = new ControlNode({ name, clock, state, seed });
    node.chooseBehaviour = (_area, writtenTable) => {
      reads += writtenTable === "" ? 1 : 0;
      return FAST_RESPONSE;
    };
    const candidates = (): number => 100;
    const { context } = node;
    const lease = new LeaseElector({
      context,
      name: "usage",
      countLeaseCandidates: candidates,
    });
    void lease.run();
    return { node, lease };
  });
  const findHolder = (): typeof candidateNodes[number] | undefined =>
    candidateNodes.find(({ node, lease }) =>
      !node.clock.isStopped && lease.getHeldLease() !== undefined
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

test("one of two nodes that create the same lease concurrently holds it", async (t) => {
  const simulation = new LeaseSimulation();
  void simulation.firstLease.run();
  void simulation.secondLease.run();
  await simulation.advance(10_000);
  t.is(simulation.holders.length, 1);
});

const RETURN_MILLISECONDS = 3 * WAIT_MILLISECONDS;

interface Competitor {
  readonly node: ControlNode;
  readonly lease: LeaseElector;
}

// Runs a node whose lease must not return to it within RETURN_MILLISECONDS after another holder.
function startCompetitor(
  name: string,
  shared: Pick<LeaseSimulation, "clock" | "state">,
  nodeStart = `${name}/1`,
): Competitor {
  const node = new ControlNode({ name, ...shared });
  const lease = new LeaseElector({
    context: { ...node.context, nodeStart },
    name: "usage",
    returnMilliseconds: RETURN_MILLISECONDS,
    isNodeProcessUnique: true,
  });
  void lease.run();
  return { node, lease };
}

interface ReturnCase {
  /** Makes the first holder lose the lease. */
  readonly lose: (first: ControlNode) => void;
  /** Lets the first holder act again. */
  readonly restore: (first: ControlNode) => void;
}

const RETURN_CASES: Readonly<Record<string, ReturnCase>> = {
  "wakes from a freeze": {
    lose: (first) =>
      void first.clock.stop({
        milliseconds: 1.5 * WAIT_MILLISECONDS,
        haltsMonotonic: true,
      }),
    restore: () => {},
  },
  "was cut off from the store": {
    lose: (first) => {
      first.chooseBehaviour = createFateDecider("dropped");
    },
    restore: (first) => {
      first.chooseBehaviour = () => FAST_RESPONSE;
    },
  },
  "was cut off while its clock was stepped forward": {
    lose: (first) => {
      first.clock.stepWall(5000);
      first.chooseBehaviour = createFateDecider("dropped");
    },
    restore: (first) => {
      first.clock.stepWall(-5000);
      first.chooseBehaviour = () => FAST_RESPONSE;
    },
  },
  "was cut off while its clock was stepped back": {
    lose: (first) => {
      first.clock.stepWall(-5000);
      first.chooseBehaviour = createFateDecider("dropped");
    },
    restore: (first) => {
      first.clock.stepWall(5000);
      first.chooseBehaviour = () => FAST_RESPONSE;
    },
  },
};

for (const [title, { lose, restore }] of Object.entries(RETURN_CASES)) {
  test(`the lease does not return soon to a holder that ${title}`, async (t) => {
    const shared = new LeaseSimulation();
    const { clock } = shared;
    const first = startCompetitor("node-1", shared);
    await clock.advance(100);
    const second = startCompetitor("node-2", shared);
    await clock.advance(RETURN_MILLISECONDS);
    t.not(first.lease.getHeldLease(), undefined);
    const lastHeldAt = clock.monotonic();
    lose(first.node);
    while (second.lease.getHeldLease() === undefined) await clock.advance(10);
    second.node.kill();
    restore(first.node);
    while (
      first.node.clock.isStopped || first.lease.getHeldLease() === undefined
    ) {
      await clock.advance(10);
    }
    t.true(clock.monotonic() - lastHeldAt >= RETURN_MILLISECONDS);
  });
}

test("a restarted process takes over its node's lease at once, and another node's later", async (t) => {
  const shared = new LeaseSimulation();
  const { clock } = shared;
  const first = startCompetitor("node-1", shared);
  await clock.advance(RETURN_MILLISECONDS);
  first.node.kill();
  const other = startCompetitor("node-2", shared);
  const restarted = startCompetitor("node-1", shared, "node-1/2");
  await clock.advance(2 * ORDER_DEADLINE_MILLISECONDS);
  t.is(restarted.lease.getHeldLease()?.fencingNumber, 2);
  restarted.node.kill();
  await clock.advance(WAIT_MILLISECONDS + 100);
  t.is(other.lease.getHeldLease(), undefined);
  await clock.advance(RETURN_MILLISECONDS);
  t.is(other.lease.getHeldLease()?.fencingNumber, 3);
});

test("a holder that may not hold the lease any more releases it, and returns only after the lease time", async (t) => {
  const run = new LeaseSimulation();
  const state = { isCandidate: true };
  run.firstLease = new LeaseElector({
    context: run.first.context,
    name: "usage",
    isCandidate: () => state.isCandidate,
    returnMilliseconds: 3 * LEASE_MILLISECONDS,
  });
  await run.start();
  t.truthy(run.firstLease.getHeldLease());
  state.isCandidate = false;
  await run.advance(LEASE_MILLISECONDS + ORDER_DEADLINE_MILLISECONDS);
  t.is(run.firstLease.getHeldLease(), undefined);
  t.truthy(run.secondLease.getHeldLease());
  state.isCandidate = true;
  await run.advance(2 * LEASE_MILLISECONDS);
  t.is(run.firstLease.getHeldLease(), undefined);
  t.deepEqual(run.holders, ["node-1:1", "node-2:2"]);
});
