import test, { type ExecutionContext } from "ava";
import { LateTable } from "../../stand_ins/installation/late_table.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import {
  InstallationNode,
  type InstallationNodeParts,
} from "../node/installation_node.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { ScrapedMetrics } from "../observability/scraped_metrics.ts";
import { MeasuredTable } from "../platform/measured_table.ts";
import { SystemClock } from "../utilities/system_clock.ts";
import type { NodeDescription } from "./node_record.ts";
import { writeNodeRecord } from "./node_record_row.ts";
import { NodeRegister } from "./node_register.ts";
import { toProcessIdentity } from "./process_identity.ts";

/** Time after its end from which no response may name a node: `contact_ms` and 3 s. */
const NAMED_MILLISECONDS = 7000;
/** Greatest delay with which the store writes a heartbeat. */
const LATE_MILLISECONDS = 6000;
/** Nodes beside those that run, as many as in a large deployment. */
const OTHER_NODES = 68;
const DISCOVERY_MILLISECONDS = 1500;
const SAMPLE_MILLISECONDS = 40;
/** Time for which responses are read after the end of a node. */
const WATCHED_MILLISECONDS = 13_000;
/** Time after a start, or after faults, in which running nodes are named again. */
const RENAMED_MILLISECONDS = 2500;

interface TestNode {
  readonly name: string;
  readonly path: LateTable;
  readonly readsStore: () => boolean;
  /** Returns the names of the nodes of a response. */
  readonly list: () => ReadonlyArray<string>;
  readonly kill: () => void;
}

function describeNode(node: string, start: string): NodeDescription {
  return {
    node,
    nodeStart: toProcessIdentity(node, start),
    failureDomain: "a",
    processorShare: 1,
    callerAddress: `${node}:80`,
    isServing: true,
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

function startNode(
  t: ExecutionContext,
  table: MemoryDurableTable,
  name: string,
  start = "1",
): TestNode {
  const stopping = new AbortController();
  const path = new LateTable(table);
  const kill = (): void => {
    path.isCut = true;
    stopping.abort();
  };
  t.teardown(kill);
  const clock = new SystemClock();
  const metrics = new ScrapedMetrics();
  const measured = new MeasuredTable(path, { clock, metrics });
  const register = new NodeRegister({
    clock,
    log: new RecordingEventLog(),
    table: measured,
    stopping: stopping.signal,
    self: () => describeNode(name, start),
  });
  void register.run();
  const node = new InstallationNode({
    register,
    storeHealth: measured.health,
  } as unknown as InstallationNodeParts);
  return {
    name,
    path,
    kill,
    readsStore: () => !path.isCut && !measured.health.isUnreachable,
    list: () =>
      node.addresses().addresses.map((address) => address.split(":")[0] ?? ""),
  };
}

function wait(milliseconds: number): Promise<void> {
  return new SystemClock().sleep(milliseconds);
}

interface Scene {
  readonly table: MemoryDurableTable;
  readonly first: TestNode;
  readonly second: TestNode;
  readonly third: TestNode;
}

async function start(
  t: ExecutionContext,
  otherNodes = 0,
): Promise<Scene> {
  const table = new MemoryDurableTable();
  const [first, second, third] = ["n1", "n2", "n3"].map((name) =>
    startNode(t, table, name)
  ) as [TestNode, TestNode, TestNode];
  await wait(DISCOVERY_MILLISECONDS);
  if (otherNodes > 0) {
    await registerOthers(table, otherNodes);
    await wait(RENAMED_MILLISECONDS);
  }
  t.deepEqual(first.list(), ["n1", "n2", "n3"]);
  return { table, first, second, third };
}

// Nodes without a recent heartbeat count for the pace of all heartbeats for a minute.
async function registerOthers(
  table: MemoryDurableTable,
  count: number,
): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    const node = `other-${index}`;
    const value = writeNodeRecord({
      ...describeNode(node, "1"),
      isServing: false,
      heartbeatMilliseconds: 300,
    });
    await table.commit({
      conditions: [],
      puts: [{ table: "nodes", partition: node, key: node, value }],
    });
  }
}

// Ends a node just after it sent a heartbeat, which is written late.
async function killAfterHeartbeat({ path, kill }: TestNode): Promise<number> {
  const before = path.lateCommits;
  while (path.lateCommits === before) await wait(5);
  kill();
  return performance.now();
}

interface Watched {
  /** Times since the end of the node at which responses named it too late. */
  readonly late: ReadonlyArray<number>;
  /** Share of the responses that named the other running node. */
  readonly namedShare: number;
}

// Reads the responses of running nodes that read the store.
async function watch(
  nodes: ReadonlyArray<TestNode>,
  { ended, endedAt }: { readonly ended: string; readonly endedAt: number },
): Promise<Watched> {
  const late: number[] = [];
  let responses = 0;
  let named = 0;
  while (performance.now() < endedAt + WATCHED_MILLISECONDS) {
    const elapsed = performance.now() - endedAt;
    for (const { name, readsStore, list } of nodes) {
      if (!readsStore()) continue;
      const names = list();
      responses += 1;
      if (names.some((other) => other !== name && other !== ended)) named += 1;
      if (names.includes(ended) && elapsed > NAMED_MILLISECONDS) {
        late.push(Math.round(elapsed));
      }
    }
    await wait(SAMPLE_MILLISECONDS);
  }
  return { late, namedShare: named / responses };
}

async function repeat(
  endAt: number,
  action: () => Promise<void> | void,
): Promise<void> {
  while (performance.now() < endAt) await action();
}

const CASES: ReadonlyArray<{
  readonly title: string;
  /** Number of nodes that don't serve callers and make all heartbeats less frequent; 0 if absent. */
  readonly otherNodes?: number;
  /** Causes the fault, beginning with the end of the third node; returns the time of that end. */
  readonly cause: (scene: Scene) => Promise<number> | number;
  /** Least share of the responses that must name the other running node. */
  readonly leastNamedShare: number;
}> = [
  {
    title: "whose last heartbeat is written 6 s late",
    otherNodes: OTHER_NODES,
    cause: async ({ third }) => {
      third.path.lateMilliseconds = LATE_MILLISECONDS;
      return await killAfterHeartbeat(third);
    },
    leastNamedShare: 0.95,
  },
  {
    title: "all of whose last heartbeats are written 6 s late",
    otherNodes: OTHER_NODES,
    cause: async ({ third }) => {
      third.path.lateMilliseconds = LATE_MILLISECONDS;
      await wait(3000);
      return await killAfterHeartbeat(third);
    },
    leastNamedShare: 0.95,
  },
  {
    title: "after which the store's history is dropped again and again",
    cause: ({ third, table }) => {
      third.kill();
      const endedAt = performance.now();
      void repeat(endedAt + WATCHED_MILLISECONDS, async () => {
        await wait(900);
        table.discardHistory();
      });
      return endedAt;
    },
    leastNamedShare: 0.95,
  },
  {
    title: "after which the store's history is dropped once, later",
    cause: ({ third, table }) => {
      third.kill();
      setTimeout(() => table.discardHistory(), 9000);
      return performance.now();
    },
    leastNamedShare: 0.95,
  },
  {
    title: "after which the store fails and recovers again and again",
    cause: ({ third, table }) => {
      third.kill();
      const endedAt = performance.now();
      void repeat(endedAt + WATCHED_MILLISECONDS, async () => {
        table.isDown = true;
        await wait(250);
        table.isDown = false;
        await wait(750);
      });
      return endedAt;
    },
    leastNamedShare: 0.95,
  },
  {
    title: "that ended while another node could not read the store",
    cause: async ({ first, third }) => {
      first.path.isCut = true;
      await wait(3000);
      third.kill();
      const endedAt = performance.now();
      setTimeout(() => first.path.isCut = false, 8000);
      return endedAt;
    },
    // The node that comes back, and while it is away the other one, are alone at first.
    leastNamedShare: 0.3,
  },
  {
    title: "that ended during a long outage of the store",
    cause: async ({ third, table }) => {
      table.isDown = true;
      await wait(500);
      third.kill();
      const endedAt = performance.now();
      setTimeout(() => table.isDown = false, 8000);
      return endedAt;
    },
    leastNamedShare: 0.7,
  },
];

for (const { title, cause, otherNodes, leastNamedShare } of CASES) {
  test(`no response names a node ${title} for more than 7 s`, async (t) => {
    const scene = await start(t, otherNodes);
    const { first, second, third } = scene;
    const endedAt = await cause(scene);
    const { late, namedShare } = await watch([first, second], {
      ended: third.name,
      endedAt,
    });
    t.deepEqual(late, []);
    t.true(namedShare >= leastNamedShare, `${namedShare}`);
    await wait(RENAMED_MILLISECONDS);
    t.deepEqual(first.list(), ["n1", "n2"]);
    t.deepEqual(second.list(), ["n1", "n2"]);
  });
}

for (const lateMilliseconds of [0, LATE_MILLISECONDS]) {
  test(`after all nodes restarted, no response names one that did not come back and whose heartbeats were ${lateMilliseconds} ms late`, async (t) => {
    const { table, first, second, third } = await start(t);
    for (const { path } of [first, second, third]) {
      path.lateMilliseconds = lateMilliseconds;
    }
    await wait(500);
    for (const { kill } of [first, second, third]) kill();
    const endedAt = performance.now();
    await wait(1000);
    const nodes = ["n1", "n2"].map((name) => startNode(t, table, name, "2"));
    await wait(DISCOVERY_MILLISECONDS);
    await registerOthers(table, OTHER_NODES);
    const { late, namedShare } = await watch(nodes, { ended: "n3", endedAt });
    t.deepEqual(late, []);
    t.true(namedShare >= 0.7, `${namedShare}`);
    for (const { list } of nodes) t.deepEqual(list(), ["n1", "n2"]);
  });
}
