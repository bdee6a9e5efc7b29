import test from "ava";
import { createCallRelay } from "../../stand_ins/installation/create_call_relay.ts";
import { ScriptedServerClient } from "../../stand_ins/installation/scripted_server_client.ts";
import { AllowedRegions } from "../decisions/allowed_regions.ts";
import type { FailureCause } from "../backends/failure_cause.ts";
import type { RelayedRequest } from "./peer_client.ts";

const REQUEST: RelayedRequest = {
  identifier: "q",
  method: "GET",
  path: "/",
  host: "h",
  headers: {},
  body: Buffer.alloc(0),
  key: undefined,
  budgetMilliseconds: 100,
  configurationVersion: 1,
};

const CASES: ReadonlyArray<{
  readonly cause: FailureCause;
  readonly isAvoided: boolean;
}> = [
  { cause: "connect", isAvoided: true },
  { cause: "cut", isAvoided: true },
  { cause: "silent", isAvoided: true },
  { cause: "refused", isAvoided: false },
  { cause: "status", isAvoided: false },
  { cause: "cancelled", isAvoided: false },
];

for (const { cause, isAvoided } of CASES) {
  test(`a node whose answer fails as ${cause} is ${isAvoided ? "" : "not "}avoided`, async (t) => {
    const relay = createCallRelay(
      new ScriptedServerClient(() => ({ kind: "notRun" })),
      {
        others: ["n2"],
        open: () =>
          Promise.resolve({ kind: "notRun", reason: "scripted", cause }),
      },
    );
    await relay.check();
    t.true(relay.isNeededFor());
    const peer = relay.choosePeer();
    if (peer === undefined) return t.fail();
    await relay.send(peer, REQUEST, new AbortController().signal);
    t.deepEqual(relay.choosePeer(), isAvoided ? undefined : peer);
    t.is(relay.isNeededFor(), !isAvoided);
    t.true(relay.isNodeReplaceable, "steps and duties still move");
  });
}

test("a node without others keeps its calls, steps and duties", async (t) => {
  const relay = createCallRelay(
    new ScriptedServerClient(() => ({ kind: "notRun" })),
    {
      others: [],
      open: () => Promise.reject(new Error("There is no other node")),
    },
  );
  await relay.check();
  t.false(relay.isNeededFor());
  t.false(relay.isNodeReplaceable);
  t.is(relay.choosePeer(), undefined);
});

const PEER_CASES: ReadonlyArray<{
  readonly title: string;
  readonly regions: ReadonlyArray<string> | undefined;
  readonly others: ReadonlyArray<string>;
  readonly chosen: string | undefined;
}> = [
  {
    title: "without a list stays in the region",
    regions: undefined,
    others: ["a2", "b1"],
    chosen: "a2",
  },
  {
    title: "without a list does not leave the region",
    regions: undefined,
    others: ["b1"],
    chosen: undefined,
  },
  {
    title: "that may be processed here stays in the region",
    regions: ["a", "b"],
    others: ["a2", "b1"],
    chosen: "a2",
  },
  {
    title: "goes to another allowed region without a node here",
    regions: ["a", "b"],
    others: ["b1", "c1"],
    chosen: "b1",
  },
  {
    title: "that may not be processed here goes to an allowed region",
    regions: ["b"],
    others: ["a2", "b1", "c1"],
    chosen: "b1",
  },
  {
    title: "stays in the caller's region without a node in an allowed one",
    regions: ["b"],
    others: ["a2", "c1"],
    chosen: "a2",
  },
  {
    title: "goes to no other region",
    regions: ["b"],
    others: ["c1"],
    chosen: undefined,
  },
];

for (const { title, regions, others, chosen } of PEER_CASES) {
  test(`a call ${title}`, async (t) => {
    const relay = createCallRelay(
      new ScriptedServerClient(() => ({ kind: "notRun" })),
      {
        others,
        findDomain: (node) => node.slice(0, 1),
        open: () =>
          Promise.resolve({ kind: "notRun", reason: "gone", cause: "connect" }),
      },
    );
    const allowed = regions &&
      new AllowedRegions(new Set(regions), (domain) => domain);
    t.false(relay.isNeededFor(allowed), "before the cut is noticed");
    await relay.check();
    t.is(relay.choosePeer(allowed)?.node, chosen);
    t.is(relay.isNeededFor(allowed), chosen !== undefined);
  });
}

// Guards against calls that stay with nodes of the region that do not answer.
test("a restricted call goes to another allowed region while the nodes here do not answer", async (t) => {
  const relay = createCallRelay(
    new ScriptedServerClient(() => ({ kind: "notRun" })),
    {
      others: ["a2", "b1"],
      findDomain: (node) => node.slice(0, 1),
      open: () =>
        Promise.resolve({ kind: "notRun", reason: "gone", cause: "connect" }),
    },
  );
  await relay.check();
  const allowed = new AllowedRegions(new Set(["a", "b"]), (domain) => domain);
  const peer = relay.choosePeer(allowed);
  if (peer === undefined) return t.fail();
  t.is(peer.node, "a2");
  await relay.send(peer, REQUEST, new AbortController().signal);
  t.is(relay.choosePeer(allowed)?.node, "b1");
});
