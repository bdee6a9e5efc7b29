import test from "ava";
import type { NodeRecord } from "./node_record.ts";
import { selectHighCapacityNodes } from "./select_high_capacity_nodes.ts";

function node(
  name: string,
  processorShare: number,
  isServing = true,
): NodeRecord {
  return {
    node: name,
    nodeStart: name,
    failureDomain: "a",
    processorShare,
    callerAddress: name,
    isServing,
    heartbeatMilliseconds: 300,
    isRunningSteps: false,
    engineUse: undefined,
    leavingServers: [],
    limits: [],
    peerAddress: undefined,
    isCutOff: false,
    wallOffset: undefined,
    usageSettledThrough: 0,
  };
}

const HIGH_CAPACITY_NODES = ["a", "b", "c", "d", "e", "f"].map((name) =>
  node(name, 1.35)
);

test("low-capacity nodes are not selected while there are enough high-capacity ones", (t) => {
  t.deepEqual(
    selectHighCapacityNodes([...HIGH_CAPACITY_NODES, node("small", 0.3)]),
    HIGH_CAPACITY_NODES,
  );
});

test("low-capacity nodes are selected when few high-capacity ones remain", (t) => {
  const few = [...HIGH_CAPACITY_NODES.slice(0, 3), node("small", 0.3)];
  t.deepEqual(selectHighCapacityNodes(few), few);
});

test("draining nodes are not selected", (t) => {
  const draining = node("g", 1.35, false);
  t.deepEqual(
    selectHighCapacityNodes([...HIGH_CAPACITY_NODES, draining]),
    HIGH_CAPACITY_NODES,
  );
});
