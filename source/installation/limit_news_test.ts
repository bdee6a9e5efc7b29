import test from "ava";
import { toLimitNews } from "./limit_news.ts";
import type { NodeRecord } from "./node_record.ts";

function createRecord(
  node: string,
  more: Partial<NodeRecord> = {},
): NodeRecord {
  return {
    node,
    nodeStart: `${node}/1`,
    failureDomain: "a",
    processorShare: 1,
    callerAddress: "",
    isServing: true,
    isRunningSteps: false,
    engineUse: undefined,
    leavingServers: [],
    limits: [],
    peerAddress: undefined,
    isCutOff: false,
    wallOffset: undefined,
    usageSettledThrough: -1,
    heartbeatMilliseconds: 300,
    ...more,
  };
}

const LIMIT = {
  identifier: "e1",
  startedAt: 0,
  requestsPerSecond: 2,
  demand: 1,
};

test("all serving nodes share a limit, also those with low capacity", (t) => {
  const own = createRecord("n2");
  const others = [
    ...["n3", "n4", "n5", "n6", "n7", "n8"].map((node) => createRecord(node)),
    createRecord("n1", { processorShare: 0.2, heartbeatMilliseconds: 1500 }),
    createRecord("n9", { isServing: false }),
    createRecord("n0", { limits: [LIMIT], heartbeatMilliseconds: 400 }),
  ];
  t.deepEqual(toLimitNews({ running: [own, ...others], others }), {
    records: [LIMIT],
    nodes: ["n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8"],
    heartbeatMilliseconds: 400,
  });
});
