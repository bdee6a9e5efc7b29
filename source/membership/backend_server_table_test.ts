import test from "ava";
import { create } from "@bufbuild/protobuf";
import {
  type BackendServerFact,
  BackendServerFactSchema,
} from "../../generated/snipepath/v1/peer_pb.ts";
import {
  createDelta,
  createStore,
} from "../../stand_ins/membership/told_history.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import type { ListedInstance } from "../platform/instance_list_client.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { BackendServerTable } from "./backend_server_table.ts";
import type { FactStore } from "./fact_store.ts";

const ADDRESS = "10.0.0.9:8000";

interface Bench {
  readonly clock: ManualClock;
  readonly table: BackendServerTable;
  /** Makes a peer tell of the server; its word arrives at once. */
  readonly tell: (peer: string, fact: Partial<BackendServerFact>) => void;
  /** Makes a peer show a sign of life. */
  readonly beat: (peer: string) => void;
  readonly told: string[];
  readonly expire: () => void;
}

function createBench(): Bench {
  const clock = new ManualClock();
  const { store } = createStore("node", clock);
  const peers = new Map<string, FactStore>();
  const told: string[] = [];
  const table = new BackendServerTable({
    store,
    clock,
    log: new RecordingEventLog(),
    onUnreachable: (address) => told.push(`unreachable ${address}`),
    onLeaving: (address) => told.push(`leaving ${address}`),
  });
  const peerOf = (name: string): FactStore => {
    const peer = peers.get(name) ?? createStore(name, clock).store;
    peers.set(name, peer);
    return peer;
  };
  const deliver = (peer: FactStore): void => {
    store.applyBatch(createDelta(peer, 0));
  };
  return {
    clock,
    table,
    told,
    tell: (name, fact) => {
      const { $typeName: _type, $unknown: _unknown, ...fields } = fact;
      const value = create(BackendServerFactSchema, {
        service: "dot-models",
        startIdentity: "s1",
        reachable: true,
        ...fields,
      });
      peerOf(name).tell("backendServer", ADDRESS, value);
      deliver(peerOf(name));
    },
    beat: (name) => {
      peerOf(name).tellDue();
      deliver(peerOf(name));
    },
    expire: () => store.expireOrigins(),
  };
}

function listed(change: Partial<ListedInstance> = {}): ListedInstance {
  return {
    kind: "backendServer",
    name: ADDRESS,
    address: ADDRESS,
    failureDomain: "cluj-a",
    service: "dot-models",
    tier: "cheap",
    leaving: false,
    microsPerHour: 5,
    ...change,
  };
}

type Step = (bench: Bench) => void | Promise<void>;

const reachable: Step = ({ tell }) => tell("a", {});
const noticeToPeer: Step = ({ tell }) => tell("b", { leaving: true });

/** Steps, and whether the server is available after each. */
const CASES: Readonly<Record<string, ReadonlyArray<Step>>> = {
  "only listed": [({ table }) => table.noteListed([listed()])],
  "told reachable, then unreachable": [
    reachable,
    ({ tell }) => tell("a", { reachable: false }),
  ],
  "notice to one peer only, then another repeats its old word": [
    reachable,
    noticeToPeer,
    ({ tell }) => tell("a", { running: 3 }),
  ],
  "notice from a peer that dies": [
    reachable,
    noticeToPeer,
    async ({ clock, beat, expire }) => {
      for (let second = 0; second < 12; second += 2) {
        await clock.advance(2000);
        beat("a");
        expire();
      }
    },
  ],
  "notice, then a new process at the address": [
    reachable,
    noticeToPeer,
    ({ tell }) => tell("a", { startIdentity: "s2" }),
    ({ tell }) => tell("b", { startIdentity: "s2" }),
    ({ tell }) => tell("a", { startIdentity: "s2", running: 1 }),
  ],
  "late word of the earlier process after its successor's notice": [
    ({ tell }) => tell("a", { startIdentity: "s2" }),
    ({ tell }) => tell("a", { startIdentity: "s2", leaving: true }),
    ({ tell }) => tell("b", { startIdentity: "s1" }),
  ],
  "notice in the list, then gone from the list": [
    reachable,
    ({ table }) => table.noteListed([listed()]),
    ({ table }) => table.noteListed([listed({ leaving: true })]),
    ({ table }) => table.noteListed([]),
  ],
  "notice before any process is known": [
    ({ table }) => table.noteLeaving(ADDRESS),
    reachable,
    ({ tell }) => tell("a", { startIdentity: "s2" }),
  ],
  "the telling peer falls silent": [
    reachable,
    ({ clock }) => clock.advance(9000),
    ({ clock }) => clock.advance(2000),
    ({ beat }) => beat("a"),
  ],
  "own finding of unreachable, then reached": [
    reachable,
    ({ table }) => table.noteUnreachable(ADDRESS),
    ({ tell }) => tell("a", { running: 2 }),
    ({ table }) => table.noteReached(ADDRESS),
  ],
};

for (const [name, steps] of Object.entries(CASES)) {
  test(`available: ${name}`, async (t) => {
    const bench = createBench();
    const seen: boolean[] = [];
    for (const step of steps) {
      await step(bench);
      seen.push(bench.table.isAvailable(ADDRESS));
    }
    t.snapshot({ seen, told: bench.told });
  });
}

test("a server that nobody speaks of is forgotten", async (t) => {
  const { table, clock } = createBench();
  table.noteListed([listed()]);
  table.noteListed([]);
  table.forget();
  t.deepEqual(table.addresses(), [ADDRESS]);
  await clock.advance(30_000);
  table.forget();
  t.deepEqual(table.servers("dot-models"), []);
  t.deepEqual(table.addresses(), []);
});
