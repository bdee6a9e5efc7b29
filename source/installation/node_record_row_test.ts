import test from "ava";
import type { NodeRecord } from "./node_record.ts";
import { readNodeRecord, writeNodeRecord } from "./node_record_row.ts";

/** Number of fields that rows had before they named the store's version and the demand. */
const EARLIER_FIELDS = 14;
const FIELDS_WITHOUT_DEMAND = EARLIER_FIELDS + 1;

const RECORD: NodeRecord = {
  node: "n1",
  nodeStart: "n1/1",
  failureDomain: "a",
  processorShare: 1,
  callerAddress: "h:1",
  peerAddress: undefined,
  isCutOff: false,
  isServing: true,
  isRunningSteps: false,
  engineUse: undefined,
  leavingServers: [],
  limits: [],
  wallOffset: undefined,
  usageSettledThrough: -1,
  heartbeatMilliseconds: 300,
};

test("a node's demand for services with a warm-up is read as it was written", (t) => {
  const demands = new Map([["s", "high"], ["p", "low"]] as const);
  const row = writeNodeRecord({ ...RECORD, demands });
  t.deepEqual(readNodeRecord("n1", row)?.demands, demands);
});

// Guards against nodes of two versions that don't understand each other during an upgrade.
test("rows of nodes without the demand are readable, and a node without demand writes such rows", (t) => {
  const row = writeNodeRecord(RECORD);
  const fields: ReadonlyArray<unknown> = JSON.parse(row.toString());
  t.is(fields.length, FIELDS_WITHOUT_DEMAND);
  t.deepEqual(readNodeRecord("n1", row)?.demands, new Map());
  const earlier = fields.slice(0, EARLIER_FIELDS);
  const read = readNodeRecord("n1", Buffer.from(JSON.stringify(earlier)));
  t.deepEqual(read?.demands, new Map());
  t.is(read?.storeVersion, undefined);
});

const WORK = {
  sequence: 7,
  services: new Map([[
    "s",
    [{ level: 1.5, organisation: "a", waiting: 12, use: 3400 }],
  ]]),
};

test("what waits and runs at a node is read as it was written", (t) => {
  const row = writeNodeRecord({ ...RECORD, work: WORK });
  t.deepEqual(readNodeRecord("n1", row)?.work, WORK);
});

// Guards against nodes of two versions that don't understand each other during an upgrade.
test("rows without waiting work are readable and as long as before", (t) => {
  const row = writeNodeRecord(RECORD);
  const fields: ReadonlyArray<unknown> = JSON.parse(row.toString());
  t.is(fields.length, FIELDS_WITHOUT_DEMAND);
  t.is(readNodeRecord("n1", row)?.work, undefined);
});

// Guards against a node that counts as lost because another version writes something else there.
test("a row whose waiting work has another form is readable without it", (t) => {
  const row = writeNodeRecord(RECORD);
  const fields: ReadonlyArray<unknown> = JSON.parse(row.toString());
  for (const other of [3, {}, [["s"]], [1, 2], [1, [5]], null]) {
    const value = Buffer.from(JSON.stringify([...fields, [], other]));
    const record = readNodeRecord("n1", value);
    t.is(record?.node, "n1");
    t.is(record?.work, undefined);
  }
});
