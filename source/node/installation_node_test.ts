import test from "ava";
import type { NodeRecord } from "../installation/node_record.ts";
import {
  InstallationNode,
  type InstallationNodeParts,
} from "./installation_node.ts";

const RUNNING_NODES: ReadonlyArray<NodeRecord> = ["a", "b"].map((
  node,
): NodeRecord => ({
  node,
  nodeStart: `${node}/1`,
  failureDomain: "z",
  processorShare: 1,
  callerAddress: `${node}:80`,
  isServing: true,
  signMilliseconds: 300,
  engineUse: undefined,
}));

function listAddresses(
  { isLoaded, isAway }: {
    readonly isLoaded: boolean;
    readonly isAway: boolean;
  },
  running = RUNNING_NODES,
): ReadonlyArray<string> {
  const parts = {
    register: { isLoaded, running },
    storeHealth: { isAway },
  } as unknown as InstallationNodeParts;
  return new InstallationNode(parts).addresses().addresses;
}

test("the address list contains the running nodes", (t) => {
  const addresses = listAddresses({ isLoaded: true, isAway: false });
  t.deepEqual(addresses, ["a:80", "b:80"]);
});

test("a node that can't reach the store lists the other nodes that it knew", (t) => {
  t.deepEqual(listAddresses({ isLoaded: true, isAway: true }), ["b:80"]);
});

test("a node that knows no other node lists itself even when it can't reach the store", (t) => {
  const alone = RUNNING_NODES.slice(0, 1);
  const addresses = listAddresses({ isLoaded: true, isAway: true }, alone);
  t.deepEqual(addresses, ["a:80"]);
});

test("the address list is empty until all running nodes are known", (t) => {
  t.deepEqual(listAddresses({ isLoaded: false, isAway: false }), []);
});
