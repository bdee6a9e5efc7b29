import test from "ava";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { SystemClock } from "../utilities/system_clock.ts";
import { NodeRegister } from "./node_register.ts";
import { toProcessIdentity } from "./process_identity.ts";

const DISCOVERY_MILLISECONDS = 700;
const LOSS_MILLISECONDS = 1600;
/**
 * With this many nodes and equal heartbeat intervals for all nodes, a loss would be detected after
 * 2.9 s.
 */
const LOW_CAPACITY_NODES = 100;
const LOSS_AMONG_MANY_MILLISECONDS = 2200;

const OWNER_LOSS_MILLISECONDS = 950;

interface TestNode {
  readonly register: NodeRegister;
  readonly stop: () => void;
}

function startNode(
  table: MemoryDurableTable,
  node: string,
  options: {
    readonly start?: string;
    readonly processorShare?: number;
    readonly isRunningSteps?: boolean;
  } = {},
): TestNode {
  const { start = "1", processorShare = 1, isRunningSteps = false } = options;
  const stopping = new AbortController();
  const register = new NodeRegister({
    clock: new SystemClock(),
    log: new RecordingEventLog(),
    table,
    stopping: stopping.signal,
    self: () => ({
      node,
      nodeStart: toProcessIdentity(node, start),
      failureDomain: "a",
      processorShare,
      callerAddress: `${node}:80`,
      isServing: true,
      isRunningSteps,
      engineUse: undefined,
      leavingServers: [],
      limits: [],
      peerAddress: undefined,
      isCutOff: false,
      wallOffset: undefined,
      usageSettledThrough: 0,
    }),
  });
  void register.run();
  return { register, stop: () => stopping.abort() };
}

function wait(milliseconds: number): Promise<void> {
  return new SystemClock().sleep(milliseconds);
}

test("nodes discover each other, and a node without heartbeats counts as lost", async (t) => {
  const table = new MemoryDurableTable();
  const first = startNode(table, "first");
  const second = startNode(table, "second");
  await wait(DISCOVERY_MILLISECONDS);
  t.true(first.register.isRunning("second/1"));
  second.stop();
  await wait(LOSS_MILLISECONDS);
  t.false(first.register.isRunning("second/1"));
  first.stop();
});

test("an outage of the store makes no node count as lost", async (t) => {
  const table = new MemoryDurableTable();
  const nodes = [startNode(table, "first"), startNode(table, "second")];
  await wait(DISCOVERY_MILLISECONDS);
  table.isDown = true;
  const seen: boolean[] = [];
  const [{ register }] = nodes as [TestNode, TestNode];
  for (let round = 0; round < 20; round += 1) {
    if (round === 10) table.isDown = false;
    await wait(LOSS_MILLISECONDS / 10);
    seen.push(register.isRunning("second/1"));
  }
  t.true(seen.every((isRunning) => isRunning));
  for (const { stop } of nodes) stop();
});

test("a register that can't be read is not current", async (t) => {
  const table = new MemoryDurableTable();
  const { register, stop } = startNode(table, "first");
  await wait(DISCOVERY_MILLISECONDS);
  t.true(register.isCurrent);
  table.isDown = true;
  await wait(LOSS_MILLISECONDS);
  t.false(register.isCurrent);
  stop();
});

test("a restarted node replaces its earlier process without a loss timeout", async (t) => {
  const table = new MemoryDurableTable();
  const watching = startNode(table, "first");
  const before = startNode(table, "second");
  await wait(DISCOVERY_MILLISECONDS);
  before.stop();
  const after = startNode(table, "second", { start: "2" });
  await wait(DISCOVERY_MILLISECONDS);
  t.false(watching.register.isRunning("second/1"));
  t.true(watching.register.isRunning("second/2"));
  for (const { stop } of [watching, after]) stop();
});

test("the loss of a high-capacity node is detected soon among many low-capacity nodes", async (t) => {
  const table = new MemoryDurableTable();
  const lowCapacity = Array.from(
    { length: LOW_CAPACITY_NODES },
    (_unused, index) =>
      startNode(table, `small-${index}`, { processorShare: 0.2 }),
  );
  const highCapacity = [startNode(table, "first"), startNode(table, "second")];
  await wait(2 * DISCOVERY_MILLISECONDS);
  const [watching, lost] = highCapacity as [TestNode, TestNode];
  t.true(watching.register.isRunning("second/1"));
  lost.stop();
  await wait(LOSS_AMONG_MANY_MILLISECONDS);
  t.false(watching.register.isRunning("second/1"));
  t.is(watching.register.running.length, 1 + lowCapacity.length);
  for (const { stop } of [...lowCapacity, watching]) stop();
});

test("the loss of a node that runs steps is detected in less than a second", async (t) => {
  const table = new MemoryDurableTable();
  const others = Array.from(
    { length: 20 },
    (_unused, index) => startNode(table, `other-${index}`),
  );
  const watching = startNode(table, "first");
  const owner = startNode(table, "owner", { isRunningSteps: true });
  await wait(2 * DISCOVERY_MILLISECONDS);
  t.true(watching.register.isRunning("owner/1"));
  owner.stop();
  await wait(OWNER_LOSS_MILLISECONDS);
  t.false(watching.register.isRunning("owner/1"));
  t.is(watching.register.running.length, 1 + others.length);
  for (const { stop } of [...others, watching]) stop();
});
