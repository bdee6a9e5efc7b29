import test from "ava";
import { createCallRelay } from "../../stand_ins/installation/create_call_relay.ts";
import { createCrashGuard } from "../../stand_ins/installation/create_crash_guard.ts";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { ScriptedServerClient } from "../../stand_ins/installation/scripted_server_client.ts";
import type { ServiceRoute } from "../installation/configuration.ts";
import { ServerLimits } from "../installation/server_limits.ts";
import { ServerView } from "../installation/server_view.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { createRandomSource } from "../utilities/random_source.ts";
import { SystemClock } from "../utilities/system_clock.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { createCallForwarder } from "./create_call_forwarder.ts";
import { ServerCallStatistics } from "./server_call_statistics.ts";

/** Calls that two servers of four slots run or queue. */
const RUNNING_CALLS = 12;
const WAITING_CALLS = 6;
const CALL_MILLISECONDS = 600;
const ROUTE: ServiceRoute = {
  name: "r",
  host: "h",
  pathPrefix: "/",
  services: [{ service: "s", weight: 1 }],
  kind: "nonIdempotent",
  priority: 1,
  timeoutMilliseconds: 3000,
  latencyTargetMilliseconds: 1000,
  maximumAttempts: 3,
  isPublic: true,
  isResumable: false,
  isSingleVersion: false,
  allowedRegions: undefined,
  sampleLifetimeMilliseconds: 0,
  resultDeadlineMilliseconds: 0,
};

interface Fixture {
  readonly servers: ServerView;
  readonly client: ScriptedServerClient;
  readonly call: () => Promise<CallOutcome>;
}

// Two servers, one in each of the failure domains "a" and "b".
async function createFixture(): Promise<Fixture> {
  const clock = new SystemClock();
  const log = new RecordingEventLog();
  const random = createRandomSource(3);
  const table = new MemoryDurableTable();
  const stopping = new AbortController();
  await table.commit({
    conditions: [],
    puts: ["a1", "b1"].map((key) => ({
      table: "servers",
      partition: "",
      key,
      value: Buffer.alloc(0),
    })),
  });
  const servers = new ServerView({
    clock,
    log,
    table,
    tableName: "servers",
    readRow: (key) =>
      createServerEntry(key, {
        failureDomain: key.slice(0, 1),
        weightVersions: new Map(),
      }),
    drainMilliseconds: 2000,
    stopping: stopping.signal,
  });
  const isRead = new Promise<void>((resolve) => servers.watch(resolve));
  void servers.run();
  await isRead;
  stopping.abort();
  const client = new ScriptedServerClient(() => ({
    status: 200,
    body: "good",
    afterMilliseconds: CALL_MILLISECONDS,
  }));
  const forwarder = createCallForwarder({
    crashGuard: createCrashGuard(client),
    callRelay: createCallRelay(client),
    clock,
    random,
    client,
    log,
    servers,
    serverStatistics: new ServerCallStatistics({
      clock,
      random,
      failureDomain: "a",
      limits: new ServerLimits({ node: "n1", clock, log }),
      isConnected: () => false,
    }),
  });
  return {
    servers,
    client,
    call: () =>
      forwarder.forward({
        request: {
          identifier: "q",
          method: "GET",
          path: "/",
          host: "h",
          headers: {},
          body: Buffer.alloc(0),
        },
        route: ROUTE,
        priority: 1,
        isDeferrable: false,
        mayCrashServers: true,
        deadline: clock.monotonic() + 2900,
        signal: new AbortController().signal,
      }),
  };
}

test("calls that wait when the last servers are evacuated are refused before any slot is free, and running ones are answered", async (t) => {
  const { servers, client, call } = await createFixture();
  const running = Array.from({ length: RUNNING_CALLS }, () => call());
  await new Promise((resolve) => setTimeout(resolve, 50));
  const waiting = Array.from({ length: WAITING_CALLS }, () => call());
  await new Promise((resolve) => setTimeout(resolve, 50));
  t.is(client.requestedServers.length, RUNNING_CALLS);
  servers.setEvacuatedDomains(new Set(["a", "b"]));
  let answered = 0;
  for (const each of running) void each.then(() => answered += 1);
  const refused = await Promise.all(waiting);
  t.is(answered, 0, "the refusals come before the running calls end");
  for (const outcome of refused) {
    t.like(outcome, { kind: "refused", refusal: "noServer" });
    const after = outcome.kind === "refused"
      ? outcome.retryAfterMilliseconds ?? 0
      : 0;
    t.true(after >= 500 && after <= 1500, `${after}`);
  }
  for (const outcome of await Promise.all(running)) {
    t.like(outcome, { kind: "answered", status: 200 });
  }
  t.is(client.requestedServers.length, RUNNING_CALLS);
});

test("the gate counts no slots of evacuated servers", async (t) => {
  const { servers, client, call } = await createFixture();
  servers.setEvacuatedDomains(new Set(["a"]));
  const calls: Promise<CallOutcome>[] = [];
  for (let index = 0; index < RUNNING_CALLS; index += 1) {
    calls.push(call());
    // Calls count as running once they are sent.
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.is(client.requestedServers.length, RUNNING_CALLS / 2);
  await Promise.all(calls);
  t.deepEqual([...new Set(client.requestedServers)], ["b1"]);
});
