import test from "ava";
import { createCallRelay } from "../../stand_ins/installation/create_call_relay.ts";
import { ScriptedServerClient } from "../../stand_ins/installation/scripted_server_client.ts";
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
