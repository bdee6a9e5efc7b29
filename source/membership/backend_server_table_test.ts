import test from "ava";
import { create } from "@bufbuild/protobuf";
import {
  type BackendServerFact,
  BackendServerFactSchema,
} from "../../generated/snipepath/v1/peer_pb.ts";
import {
  createBatchAfter,
  createStore,
} from "../../stand_ins/membership/fact_publications.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import type { ListedInstance } from "../platform/instance_list_client.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { BackendServerTable } from "./backend_server_table.ts";
import type { FactStore } from "./fact_store.ts";

const ADDRESS = "10.0.0.9:8000";

interface Fixture {
  readonly clock: ManualClock;
  readonly table: BackendServerTable;
  /** Publishes a fact of a peer about the server and delivers it at once. */
  readonly publish: (peer: string, fact: Partial<BackendServerFact>) => void;
  /** Publishes a heartbeat of a peer and delivers it at once. */
  readonly sendHeartbeat: (peer: string) => void;
  /** Calls of the table's callbacks. */
  readonly callbacks: string[];
  readonly expire: () => void;
}

function createFixture(): Fixture {
  const clock = new ManualClock();
  const { store } = createStore("node", clock);
  const peers = new Map<string, FactStore>();
  const callbacks: string[] = [];
  const table = new BackendServerTable({
    store,
    clock,
    log: new RecordingEventLog(),
    onUnreachable: (address) => callbacks.push(`unreachable ${address}`),
    onDrainNotice: (address) => callbacks.push(`leaving ${address}`),
  });
  const peerOf = (name: string): FactStore => {
    const peer = peers.get(name) ?? createStore(name, clock).store;
    peers.set(name, peer);
    return peer;
  };
  const deliver = (peer: FactStore): void => {
    store.applyBatch(createBatchAfter(peer, 0));
  };
  return {
    clock,
    table,
    callbacks,
    publish: (name, fact) => {
      const { $typeName: _type, $unknown: _unknown, ...fields } = fact;
      const value = create(BackendServerFactSchema, {
        service: "dot-models",
        startIdentity: "s1",
        reachable: true,
        ...fields,
      });
      peerOf(name).publish("backendServer", ADDRESS, value);
      deliver(peerOf(name));
    },
    sendHeartbeat: (name) => {
      peerOf(name).publishDue();
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

type Step = (fixture: Fixture) => void | Promise<void>;

const publishReachable: Step = ({ publish }) => publish("a", {});
const publishDraining: Step = ({ publish }) => publish("b", { leaving: true });

/** Steps of each test, after each of which the availability of the server is recorded. */
const CASES: Readonly<Record<string, ReadonlyArray<Step>>> = {
  "only listed": [({ table }) => table.applyInstanceList([listed()])],
  "published reachable, then unreachable": [
    publishReachable,
    ({ publish }) => publish("a", { reachable: false }),
  ],
  "drain notice to only one peer, then another peer publishes its outdated fact":
    [
      publishReachable,
      publishDraining,
      ({ publish }) => publish("a", { running: 3 }),
    ],
  "drain notice from a peer that expires": [
    publishReachable,
    publishDraining,
    async ({ clock, sendHeartbeat, expire }) => {
      for (let second = 0; second < 12; second += 2) {
        await clock.advance(2000);
        sendHeartbeat("a");
        expire();
      }
    },
  ],
  "drain notice, then a new incarnation at the address": [
    publishReachable,
    publishDraining,
    ({ publish }) => publish("a", { startIdentity: "s2" }),
    ({ publish }) => publish("b", { startIdentity: "s2" }),
    ({ publish }) => publish("a", { startIdentity: "s2", running: 1 }),
  ],
  "late fact of the previous incarnation after its successor's drain notice": [
    ({ publish }) => publish("a", { startIdentity: "s2" }),
    ({ publish }) => publish("a", { startIdentity: "s2", leaving: true }),
    ({ publish }) => publish("b", { startIdentity: "s1" }),
  ],
  "drain notice in the list, then removed from the list": [
    publishReachable,
    ({ table }) => table.applyInstanceList([listed()]),
    ({ table }) => table.applyInstanceList([listed({ leaving: true })]),
    ({ table }) => table.applyInstanceList([]),
  ],
  "drain notice before any incarnation is known": [
    ({ table }) => table.markLeaving(ADDRESS),
    publishReachable,
    ({ publish }) => publish("a", { startIdentity: "s2" }),
  ],
  "the publishing peer stops its heartbeats and resumes": [
    publishReachable,
    ({ clock }) => clock.advance(9000),
    ({ clock }) => clock.advance(2000),
    ({ sendHeartbeat }) => sendHeartbeat("a"),
  ],
  "found unreachable by this node, then reached": [
    publishReachable,
    ({ table }) => table.markUnreachable(ADDRESS),
    ({ publish }) => publish("a", { running: 2 }),
    ({ table }) => table.markReached(ADDRESS),
  ],
};

for (const [name, steps] of Object.entries(CASES)) {
  test(`available: ${name}`, async (t) => {
    const fixture = createFixture();
    const availability: boolean[] = [];
    for (const step of steps) {
      await step(fixture);
      availability.push(fixture.table.isAvailable(ADDRESS));
    }
    t.snapshot({ availability, callbacks: fixture.callbacks });
  });
}

test("a server that neither the list nor any fact contains is removed", async (t) => {
  const { table, clock } = createFixture();
  table.applyInstanceList([listed()]);
  table.applyInstanceList([]);
  table.removeUnreferenced();
  t.deepEqual(table.addresses(), [ADDRESS]);
  await clock.advance(30_000);
  table.removeUnreferenced();
  t.deepEqual(table.servers("dot-models"), []);
  t.deepEqual(table.addresses(), []);
});
