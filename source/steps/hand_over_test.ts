import test from "ava";
import {
  type FakeNode,
  FakeNodeGroup,
} from "../../stand_ins/steps/fake_node_group.ts";
import {
  FakeTrainer,
  type FakeTrainerOptions,
} from "../../stand_ins/steps/fake_trainer.ts";

const SUBMISSION = {
  trainer: "dots",
  step: "17",
  groups: [{ prompt: "one", samples: 4, maximumTokens: 20 }],
};

interface Fixture {
  readonly group: FakeNodeGroup;
  readonly owner: FakeNode;
  readonly other: FakeNode;
  readonly trainer: FakeTrainer;
}

async function createFixture(
  options: Partial<FakeTrainerOptions> & {
    /** Returns the position of the node that receives a pull; 0 is the owner. */
    readonly chooseNodePosition?: (pull: number) => number;
  } = {},
): Promise<Fixture> {
  const stalenessBoundVersions = 0;
  const group = new FakeNodeGroup({
    nodes: 3,
    engines: 2,
    seed: 1,
    stalenessBoundVersions,
  });
  const [owner, other] = group.nodes;
  if (owner === undefined || other === undefined) throw new Error("No nodes");
  const trainer = new FakeTrainer({
    group,
    boundVersions: stalenessBoundVersions,
    statesVersion: false,
    pauseMilliseconds: 10,
    maximum: 4,
    ...options,
    chooseNode: (pull) =>
      group.nodes[options.chooseNodePosition?.(pull) ?? 0] ?? owner,
  });
  await group.runUntilDone(trainer.publish(1, owner));
  await group.runUntilDone(trainer.submit(SUBMISSION));
  return { group, owner, other, trainer };
}

test("a node partitioned from its peers reads the newest version before it delivers samples", async (t) => {
  const fixture = await createFixture();
  const { group, owner, other, trainer } = fixture;
  await group.clock.advance(1000);
  owner.isPartitioned = true;
  t.true(await group.runUntilDone(trainer.publish(2, other)));
  group.pool.loadEverywhere(2);
  t.true(await group.runUntilDone(trainer.pullAll()));
  t.is(trainer.findings().tooOld, 0);
  t.is(trainer.findings().delivered, 4);
  group.close();
});

test("a publication returns only when no node relies on an earlier table read", async (t) => {
  const fixture = await createFixture({ maximum: 1 });
  const { group, owner, other, trainer } = fixture;
  await group.clock.advance(1000);
  owner.isPartitioned = true;
  owner.isMissingFromLists = true;
  const first = await group.runUntilDone(trainer.pullOnce());
  t.is(first?.samples.length, 1);
  t.true(await group.runUntilDone(trainer.publish(2, other)));
  group.pool.loadEverywhere(2);
  await group.runUntilDone(trainer.pullOnce());
  t.is(trainer.findings().tooOld, 0);
  group.close();
});

test("a node partitioned from the table and its peers asks the trainer to state the version", async (t) => {
  const fixture = await createFixture();
  const { group, owner, trainer } = fixture;
  await group.clock.advance(1000);
  owner.isPartitioned = true;
  owner.platform.tableFault = "down";
  t.is(await group.runUntilDone(trainer.pullOnce()), undefined);
  t.like(trainer.refusals, [{
    error: "platformUnavailable",
    field: "newest_version",
    ran: "notRun",
  }]);
  group.close();
});

test("a publication whose response was lost can be repeated", async (t) => {
  const fixture = await createFixture();
  const { group, owner, other, trainer } = fixture;
  owner.platform.tableFault = "downAfterCommit";
  t.false(await group.runUntilDone(trainer.publish(2, owner)));
  t.like(trainer.refusals, [{ ran: "unknown" }]);
  owner.platform.tableFault = "loseCommits";
  t.true(await group.runUntilDone(trainer.publish(3, owner)));
  t.true(await group.runUntilDone(trainer.publish(3, other)));
  t.false(await group.runUntilDone(trainer.publish(2, other)));
  group.close();
});

test("the same cursor returns the same samples after the node that responded first was killed", async (t) => {
  const kills: (() => void)[] = [];
  const fixture = await createFixture({
    chooseNodePosition: (pull) => pull <= 1 ? 0 : 1,
    losesAnswer: (pull) => {
      if (pull === 1) kills.forEach((kill) => kill());
      return pull === 1;
    },
  });
  const { group, owner, trainer } = fixture;
  kills.push(() => group.kill(owner));
  t.true(await group.runUntilDone(trainer.pullAll()));
  t.false(owner.isAlive);
  t.is(trainer.findings().contradictions, 0);
  t.is(trainer.findings().delivered, 4);
  group.close();
});

test("a step submitted to several nodes concurrently has one manifest", async (t) => {
  const fixture = await createFixture();
  const { group } = fixture;
  const trainer = group.configuration.declaration?.trainers[0];
  if (trainer === undefined) throw new Error("No trainer");
  const submission = { ...SUBMISSION, step: "18" };
  const outcomes = await group.runUntilDone(Promise.all(
    group.nodes.map((node) => node.service.submit(submission, trainer)),
  ));
  const epochs = outcomes.map((outcome) =>
    outcome.kind === "accepted" ? outcome.manifest.epoch : outcome.message
  );
  t.is(new Set(epochs).size, 1);
  group.close();
});

const SUBMISSION_FAULTS = [
  { fault: "down", seen: { kind: "refused", ran: "notRun" } },
  { fault: "downAfterCommit", seen: { kind: "refused", ran: "unknown" } },
  { fault: "loseCommits", seen: { kind: "accepted" } },
] as const;

for (const { fault, seen } of SUBMISSION_FAULTS) {
  test(`a step can be submitted again to another node after: ${fault}`, async (t) => {
    const fixture = await createFixture();
    const { group, owner, other } = fixture;
    const trainer = group.configuration.declaration?.trainers[0];
    if (trainer === undefined) throw new Error("No trainer");
    owner.platform.tableFault = fault;
    const submission = { ...SUBMISSION, step: "18" };
    t.like(
      await group.runUntilDone(owner.service.submit(submission, trainer)),
      seen,
    );
    const again = await group.runUntilDone(
      other.service.submit(submission, trainer),
    );
    t.is(again.kind, "accepted");
    if (again.kind !== "accepted") return;
    const expected = { kind: "accepted", isNew: fault === "down" };
    t.like(again, expected);
    group.close();
  });
}

test("a step released before a shutdown continues on another node without rerunning its samples", async (t) => {
  const fixture = await createFixture({
    chooseNodePosition: (pull) => pull === 0 ? 0 : 1,
  });
  const { group, owner, trainer } = fixture;
  await group.clock.advance(400);
  const { runs } = group.pool;
  await group.runUntilDone(owner.service.drain());
  group.kill(owner);
  t.true(await group.runUntilDone(trainer.pullAll()));
  t.is(group.pool.runs, runs);
  group.close();
});
