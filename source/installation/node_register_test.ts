import test from "ava";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { SystemClock } from "../utilities/system_clock.ts";
import { NodeRegister } from "./node_register.ts";
import { toProcessIdentity } from "./process_identity.ts";

const INTERVALS_MILLISECONDS = 700;
const LOSS_MILLISECONDS = 1600;
/** With one pace for all of them, a loss would be seen after 2.9 s. */
const WEAK_NODES = 100;
const LOSS_AMONG_WEAK_MILLISECONDS = 2200;

interface Member {
  readonly register: NodeRegister;
  readonly stop: () => void;
}

function join(
  table: MemoryDurableTable,
  node: string,
  options: { readonly start?: string; readonly processorShare?: number } = {},
): Member {
  const { start = "1", processorShare = 1 } = options;
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
      engineUse: undefined,
    }),
  });
  void register.run();
  return { register, stop: () => stopping.abort() };
}

function wait(milliseconds: number): Promise<void> {
  return new SystemClock().sleep(milliseconds);
}

test("nodes see each other, and one that falls silent is lost", async (t) => {
  const table = new MemoryDurableTable();
  const first = join(table, "first");
  const second = join(table, "second");
  await wait(INTERVALS_MILLISECONDS);
  t.true(first.register.isRunning("second/1"));
  second.stop();
  await wait(LOSS_MILLISECONDS);
  t.false(first.register.isRunning("second/1"));
  first.stop();
});

test("no node is lost because the store was down", async (t) => {
  const table = new MemoryDurableTable();
  const members = [join(table, "first"), join(table, "second")];
  await wait(INTERVALS_MILLISECONDS);
  table.isDown = true;
  const seen: boolean[] = [];
  const [{ register }] = members as [Member, Member];
  for (let round = 0; round < 20; round += 1) {
    if (round === 10) table.isDown = false;
    await wait(LOSS_MILLISECONDS / 10);
    seen.push(register.isRunning("second/1"));
  }
  t.true(seen.every((isRunning) => isRunning));
  for (const { stop } of members) stop();
});

test("a view of nodes that can't be read is not current", async (t) => {
  const table = new MemoryDurableTable();
  const { register, stop } = join(table, "first");
  await wait(INTERVALS_MILLISECONDS);
  t.true(register.isCurrent);
  table.isDown = true;
  await wait(LOSS_MILLISECONDS);
  t.false(register.isCurrent);
  stop();
});

test("a restarted node replaces its earlier process at once", async (t) => {
  const table = new MemoryDurableTable();
  const watching = join(table, "first");
  const before = join(table, "second");
  await wait(INTERVALS_MILLISECONDS);
  before.stop();
  const after = join(table, "second", { start: "2" });
  await wait(INTERVALS_MILLISECONDS);
  t.false(watching.register.isRunning("second/1"));
  t.true(watching.register.isRunning("second/2"));
  for (const { stop } of [watching, after]) stop();
});

test("among many weak nodes the loss of a strong one is seen as soon as among few", async (t) => {
  const table = new MemoryDurableTable();
  const weak = Array.from(
    { length: WEAK_NODES },
    (_unused, index) => join(table, `weak-${index}`, { processorShare: 0.2 }),
  );
  const strong = [join(table, "first"), join(table, "second")];
  await wait(2 * INTERVALS_MILLISECONDS);
  const [watching, lost] = strong as [Member, Member];
  t.true(watching.register.isRunning("second/1"));
  lost.stop();
  await wait(LOSS_AMONG_WEAK_MILLISECONDS);
  t.false(watching.register.isRunning("second/1"));
  t.is(watching.register.running.length, 1 + weak.length);
  for (const { stop } of [...weak, watching]) stop();
});
