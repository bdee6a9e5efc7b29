import test from "ava";
import { createStepTools } from "../../stand_ins/installation/create_step_tools.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { AllowedRegions } from "../decisions/allowed_regions.ts";
import type { NodeRecord } from "../installation/node_record.ts";
import { createRendezvous } from "../membership/rendezvous.ts";
import { selectOwnerCandidates, StepOwnerChoice } from "./step_owner_choice.ts";
import type { StepEntry } from "./step_registry.ts";

function createNode(node: string, more: Partial<NodeRecord> = {}): NodeRecord {
  return {
    node,
    nodeStart: `${node}/1`,
    // The first letter of a node's name is its failure domain and its region.
    failureDomain: node.slice(0, 1),
    processorShare: 1,
    callerAddress: `${node}:1`,
    peerAddress: undefined,
    isServing: true,
    isCutOff: false,
    isRunningSteps: false,
    heartbeatMilliseconds: 300,
    engineUse: undefined,
    leavingServers: [],
    limits: [],
    wallOffset: undefined,
    usageSettledThrough: 0,
    ...more,
  };
}

function allow(...names: ReadonlyArray<string>): AllowedRegions {
  return new AllowedRegions(new Set(names), (failureDomain) => failureDomain);
}

const SUBMISSION = { model: "m", samples: [] };
const NODES = ["n1", "n2", "s1", "e1"].map((name) => createNode(name));

async function createChoice(
  running: ReadonlyArray<NodeRecord> = NODES,
): Promise<StepOwnerChoice> {
  return new StepOwnerChoice({
    ...createStepTools(new MemoryDurableTable()),
    register: { running },
    rendezvous: await createRendezvous(),
    nodeStart: "s1/1",
    region: "s",
  });
}

test("the owner is in an allowed region, else in the region of this node", async (t) => {
  const choice = await createChoice();
  t.regex(choice.choose(SUBMISSION, allow("n")), /^n/);
  t.is(choice.choose(SUBMISSION, allow("e", "x")), "e1/1");
  t.is(choice.choose(SUBMISSION, allow("x")), "s1/1");
});

// Guards against an owner outside the region when this node is not among the candidates.
test("without a permitted node, the node to which the step was submitted owns it", async (t) => {
  const choice = await createChoice(
    NODES.map((node) => ({ ...node, isServing: node.node !== "s1" })),
  );
  t.is(choice.choose(SUBMISSION, allow("x")), "s1/1");
});

test("nodes of allowed regions that reach no server are used only if no other may be", (t) => {
  const running = NODES.map((node) => ({
    ...node,
    isCutOff: node.failureDomain === "n",
  }));
  const select = (
    nodes: ReadonlyArray<NodeRecord>,
    callerRegion: string,
  ): string =>
    selectOwnerCandidates(nodes, { allowed: allow("n"), callerRegion })
      .map(({ node }) => node).join(" ");
  t.is(select(running, "s"), "s1");
  t.is(select(running, "x"), "n1 n2");
  t.is(select(running.slice(2), "x"), "");
});

// Guards against a selection by capacity over all regions that leaves none of the allowed one.
test("nodes of an allowed region with low capacity are candidates beside larger nodes elsewhere", (t) => {
  const large = Array.from(
    { length: 8 },
    (_unused, index) => createNode(`s${index}`, { processorShare: 8 }),
  );
  const candidates = selectOwnerCandidates([...large, createNode("n1")], {
    allowed: allow("n"),
    callerRegion: "s",
  });
  t.deepEqual(candidates.map(({ node }) => node), ["n1"]);
});

const KEEP_CASES: ReadonlyArray<{
  readonly owner: string;
  readonly allowed: AllowedRegions | undefined;
  readonly submittedRegion?: string;
  readonly isKept: boolean;
}> = [
  { owner: "e1/1", allowed: undefined, isKept: true },
  { owner: "n1/1", allowed: allow("n"), isKept: true },
  { owner: "e1/1", allowed: allow("n"), isKept: false },
  { owner: "e1/1", allowed: allow("n"), submittedRegion: "e", isKept: true },
  { owner: "e1/1", allowed: allow("n"), submittedRegion: "n", isKept: false },
  { owner: "s1/1", allowed: allow("n"), isKept: true },
  { owner: "gone/1", allowed: allow("n"), isKept: true },
  { owner: "e1/1", allowed: allow(), isKept: true },
];

for (const { owner, allowed, submittedRegion, isKept } of KEEP_CASES) {
  test(`the owner ${owner} of a step from ${submittedRegion ?? "an earlier program"} with ${allowed?.key ?? "any region"} is ${isKept ? "" : "not "}kept`, async (t) => {
    const manifest = submittedRegion === undefined ? {} : { submittedRegion };
    const entry = { owner, manifest } as StepEntry;
    t.is((await createChoice()).mayKeep(entry, allowed), isKept);
  });
}
