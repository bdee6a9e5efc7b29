import test from "ava";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import {
  type ScriptedAnswer,
  ScriptedServerClient,
} from "../../stand_ins/installation/scripted_server_client.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { RouteKind, ServiceRoute } from "../installation/configuration.ts";
import { ServerView } from "../installation/server_view.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { createRandomSource } from "../utilities/random_source.ts";
import { SystemClock } from "../utilities/system_clock.ts";
import { CallForwarder } from "./call_forwarder.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { ServerUse } from "./server_use.ts";

interface Trial {
  readonly outcome: CallOutcome;
  readonly client: ScriptedServerClient;
  readonly milliseconds: number;
}

function toRoute(kind: RouteKind, maximumAttempts: number): ServiceRoute {
  return {
    name: "r",
    host: "h",
    pathPrefix: "/",
    services: [{ service: "s", weight: 1 }],
    kind,
    timeoutMilliseconds: 2000,
    latencyTargetMilliseconds: 100,
    maximumAttempts,
    isPublic: true,
    isResumable: false,
    isSingleVersion: false,
    sampleLifeMilliseconds: 0,
    resultDeadlineMilliseconds: 0,
  };
}

function toServer(identifier: string): BackendServerEntry {
  return {
    identifier,
    startedAt: 0,
    service: "s",
    address: `${identifier}:80`,
    failureDomain: "a",
    slots: 4,
    isLeaving: false,
    warmUpMilliseconds: 0,
    weightVersions: new Map(),
    acceptedOrders: 0,
    isReclaimable: false,
  };
}

async function createServers(
  names: ReadonlyArray<string>,
): Promise<ServerView> {
  const table = new MemoryDurableTable();
  await table.commit({
    conditions: [],
    puts: names.map((key) => ({
      table: "servers",
      partition: "",
      key,
      value: Buffer.from(key),
    })),
  });
  const stopping = new AbortController();
  const servers = new ServerView({
    clock: new SystemClock(),
    log: new RecordingEventLog(),
    table,
    tableName: "servers",
    readRow: (key) => toServer(key),
    drainMilliseconds: 2000,
    stopping: stopping.signal,
  });
  const isRead = new Promise<void>((resolve) => servers.watch(resolve));
  void servers.run();
  await isRead;
  stopping.abort();
  return servers;
}

async function forward(
  answers: ReadonlyArray<ScriptedAnswer>,
  options: {
    readonly servers?: ReadonlyArray<string>;
    readonly kind?: RouteKind;
    readonly maximumAttempts?: number;
    readonly budgetMilliseconds?: number;
  } = {},
): Promise<Trial> {
  const clock = new SystemClock();
  const random = createRandomSource(7);
  const left = [...answers];
  const client = new ScriptedServerClient(() =>
    left.shift() ?? { kind: "notRun" }
  );
  const forwarder = new CallForwarder({
    clock,
    random,
    client,
    log: new RecordingEventLog(),
    servers: await createServers(options.servers ?? ["a", "b", "c"]),
    use: new ServerUse({
      clock,
      random,
      failureDomain: "a",
      isConnected: () => false,
    }),
  });
  const startedAt = clock.monotonic();
  const outcome = await forwarder.forward({
    request: {
      identifier: "q",
      method: "GET",
      path: "/",
      host: "h",
      headers: {},
      body: Buffer.alloc(0),
    },
    route: toRoute(options.kind ?? "idempotent", options.maximumAttempts ?? 3),
    deadline: startedAt + (options.budgetMilliseconds ?? 1000),
    signal: new AbortController().signal,
  });
  return { outcome, client, milliseconds: clock.monotonic() - startedAt };
}

function describe({ outcome }: Trial): string {
  if (outcome.kind === "answered") return `${outcome.status} ${outcome.body}`;
  if (outcome.kind === "refused") return `refused ${outcome.refusal}`;
  return outcome.kind === "unknown" ? outcome.reason : outcome.kind;
}

const GOOD: ScriptedAnswer = { status: 200, body: "good" };

const CASES: ReadonlyArray<{
  readonly title: string;
  readonly answers: ReadonlyArray<ScriptedAnswer>;
  readonly kind?: RouteKind;
  readonly maximumAttempts?: number;
  readonly expected: string;
  readonly sent: number;
}> = [
  { title: "a whole answer", answers: [GOOD], expected: "200 good", sent: 1 },
  {
    title: "an answer that was cut is asked for again",
    answers: [{ status: 200, body: "go", isCut: true }, GOOD],
    expected: "200 good",
    sent: 2,
  },
  {
    title: "an unsigned answer is asked for again",
    answers: [{ status: 200, body: "bad", isUnsigned: true }, GOOD],
    expected: "200 good",
    sent: 2,
  },
  {
    title: "a server's 500 is passed on when attempts are used up",
    answers: [{ status: 500, body: "no" }, { status: 500, body: "no" }],
    maximumAttempts: 2,
    expected: "500 no",
    sent: 2,
  },
  {
    title: "a request that may not run twice is sent once",
    answers: [{ kind: "unknown" }, GOOD],
    kind: "nonIdempotent",
    expected: "serverFailed",
    sent: 1,
  },
  {
    title: "a request that may not run twice is sent again if it did not run",
    answers: [{ kind: "notRun", isFull: true }, GOOD],
    kind: "nonIdempotent",
    expected: "200 good",
    sent: 2,
  },
  {
    title: "an outcome that is unknown is never told as not run",
    answers: [{ kind: "unknown" }, { kind: "notRun" }],
    maximumAttempts: 1,
    expected: "serverFailed",
    sent: 1,
  },
];

for (const each of CASES) {
  test(`forwarding: ${each.title}`, async (t) => {
    const trial = await forward(each.answers, each);
    t.is(describe(trial), each.expected);
    t.is(trial.client.sent.length, each.sent);
  });
}

test("a second server is tried beside a slow one, which is cancelled", async (t) => {
  const slow = { status: 200, body: "slow", afterMilliseconds: 800 };
  const trial = await forward([slow, GOOD]);
  t.is(describe(trial), "200 good");
  t.true(trial.milliseconds < 400);
  t.deepEqual(trial.client.cancelled, trial.client.sent.slice(0, 1));
});

test("servers that are all full lead to a refusal well before the caller gives up", async (t) => {
  const full = Array<ScriptedAnswer>(200).fill({
    kind: "notRun",
    isFull: true,
  });
  const trial = await forward(full);
  t.is(describe(trial), "refused noServer");
  t.true(trial.milliseconds < 300);
});

test("a call without any server is refused", async (t) => {
  const trial = await forward([], { servers: [] });
  t.is(describe(trial), "refused noServer");
});

test("a call that a server still works at ends as timed out at its deadline", async (t) => {
  const slow = { status: 200, afterMilliseconds: 3000 };
  const trial = await forward([slow, slow, slow], { budgetMilliseconds: 300 });
  t.is(describe(trial), "timedOut");
  t.true(trial.milliseconds < 400);
});
