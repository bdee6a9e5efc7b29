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
  heartbeatMilliseconds: 300,
  isRunningSteps: false,
  engineUse: undefined,
  leavingServers: [],
  limits: [],
  peerAddress: undefined,
  isCutOff: false,
  wallOffset: undefined,
  usageSettledThrough: 0,
}));

function listAddresses(
  { isLoaded, isUnreachable }: {
    readonly isLoaded: boolean;
    readonly isUnreachable: boolean;
  },
  running = RUNNING_NODES,
): ReadonlyArray<string> {
  const parts = {
    register: { isLoaded, running, listAddressable: () => running },
    storeHealth: { isUnreachable },
  } as unknown as InstallationNodeParts;
  return new InstallationNode(parts).addresses().addresses;
}

test("the address list contains the running nodes", (t) => {
  const addresses = listAddresses({ isLoaded: true, isUnreachable: false });
  t.deepEqual(addresses, ["a:80", "b:80"]);
});

test("a node that can't reach the store lists the other nodes that it knew", (t) => {
  t.deepEqual(listAddresses({ isLoaded: true, isUnreachable: true }), ["b:80"]);
});

test("a node that knows no other node lists itself even when it can't reach the store", (t) => {
  const alone = RUNNING_NODES.slice(0, 1);
  const addresses = listAddresses(
    { isLoaded: true, isUnreachable: true },
    alone,
  );
  t.deepEqual(addresses, ["a:80"]);
});

test("the address list is empty until all running nodes are known", (t) => {
  t.deepEqual(listAddresses({ isLoaded: false, isUnreachable: false }), []);
});
