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
  { isLoaded, isAway }: {
    readonly isLoaded: boolean;
    readonly isAway: boolean;
  },
  running = RUNNING,
): ReadonlyArray<string> {
  const parts = {
    register: { isLoaded, running },
    storeHealth: { isAway },
  } as unknown as InstallationNodeParts;
  return new InstallationNode(parts).addresses().addresses;
}

test("callers are told the nodes that run", (t) => {
  const addresses = askAddresses({ isLoaded: true, isAway: false });
  t.deepEqual(addresses, ["a:80", "b:80"]);
});

test("a node that hears nothing of the store names the others that it knew", (t) => {
  t.deepEqual(askAddresses({ isLoaded: true, isAway: true }), ["b:80"]);
});

test("a node that knows no other one names itself whatever it hears", (t) => {
  const alone = RUNNING.slice(0, 1);
  const addresses = askAddresses({ isLoaded: true, isAway: true }, alone);
  t.deepEqual(addresses, ["a:80"]);
});

test("a node that has not heard all others yet names no nodes", (t) => {
  t.deepEqual(askAddresses({ isLoaded: false, isAway: false }), []);
});
