import test from "ava";
import type { NodeRecord } from "./node_record.ts";
import { selectStrongNodes } from "./select_strong_nodes.ts";

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
    signMilliseconds: 300,
    engineUse: undefined,
  };
}

const STRONG = ["a", "b", "c", "d", "e", "f"].map((name) => node(name, 1.35));

test("weak nodes get no callers while there are enough strong ones", (t) => {
  t.deepEqual(selectStrongNodes([...STRONG, node("weak", 0.3)]), STRONG);
});

test("weak nodes serve when few strong ones are left", (t) => {
  const few = [...STRONG.slice(0, 3), node("weak", 0.3)];
  t.deepEqual(selectStrongNodes(few), few);
});

test("nodes that leave are not selected", (t) => {
  const leaving = node("g", 1.35, false);
  t.deepEqual(selectStrongNodes([...STRONG, leaving]), STRONG);
});
