import test from "ava";
import type { NodeRecord } from "../installation/node_record.ts";
import {
  InstallationNode,
  type InstallationNodeParts,
} from "./installation_node.ts";

const RUNNING: ReadonlyArray<NodeRecord> = ["a", "b"].map((node) => ({
  node,
  nodeStart: `${node}/1`,
  failureDomain: "z",
  processorShare: 1,
  callerAddress: `${node}:80`,
  isServing: true,
  signMilliseconds: 300,
  engineUse: undefined,
}));

function askAddresses(
  { isRead, isAway }: { readonly isRead: boolean; readonly isAway: boolean },
): ReadonlyArray<string> {
  const parts = {
    register: { isRead, running: RUNNING },
    storeHealth: { isAway },
  } as unknown as InstallationNodeParts;
  return new InstallationNode(parts).addresses().addresses;
}

test("callers are told the nodes that run", (t) => {
  const addresses = askAddresses({ isRead: true, isAway: false });
  t.deepEqual(addresses, ["a:80", "b:80"]);
});

test("a node that hears nothing of the store names no nodes", (t) => {
  t.deepEqual(askAddresses({ isRead: true, isAway: true }), []);
});

test("a node that has not heard all others yet names no nodes", (t) => {
  t.deepEqual(askAddresses({ isRead: false, isAway: false }), []);
});
