import test from "ava";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import {
  type ScriptedResponse,
  ScriptedServerClient,
} from "../../stand_ins/installation/scripted_server_client.ts";
import type { ExchangeFailure } from "../backends/http_exchange.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { RouteKind, ServiceRoute } from "../installation/configuration.ts";
import { ServerLimits } from "../installation/server_limits.ts";
import { ServerView } from "../installation/server_view.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { createRandomSource } from "../utilities/random_source.ts";
import { SystemClock } from "../utilities/system_clock.ts";
import { CrashGuard } from "./crash_guard.ts";
import type { CallOutcome } from "./call_outcome.ts";
import {
  createCallRelay,
  type CutOffNode,
} from "../../stand_ins/installation/create_call_relay.ts";
import { createCrashGuard } from "../../stand_ins/installation/create_crash_guard.ts";
import { createCallForwarder } from "./create_call_forwarder.ts";
import { ServerCallStatistics } from "./server_call_statistics.ts";

interface ForwardingResult {
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
    priority: 1,
    timeoutMilliseconds: 2000,
    latencyTargetMilliseconds: 100,
    maximumAttempts,
    isPublic: true,
    isResumable: false,
    isSingleVersion: false,
    allowedRegions: undefined,
    sampleLifetimeMilliseconds: 0,
    resultDeadlineMilliseconds: 0,
  };
}

function toServer(identifier: string): BackendServerEntry {
  return {
    identifier,
    startedAt: 0,
    softwareVersion: "v1",
    service: identifier.startsWith("moved") ? "moved" : "s",
    address: `${identifier}:80`,
    failureDomain: "a",
    slots: 4,
    isDraining: false,
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
  const firstRead = new Promise<void>((resolve) => servers.watch(resolve));
  void servers.run();
  await firstRead;
  stopping.abort();
  return servers;
}

async function forward(
  answers: ReadonlyArray<ScriptedResponse>,
  options: {
    readonly servers?: ReadonlyArray<string>;
    readonly kind?: RouteKind;
    readonly maximumAttempts?: number;
    readonly budgetMilliseconds?: number;
    /** Servers whose limits allow no request at present. */
    readonly limited?: ReadonlyArray<string>;
    /** Other nodes of a node that reaches no server. */
    readonly cutOff?: CutOffNode;
    /** Whether the node knows before the call that it is cut off; false if absent. */
    readonly isCutOffKnown?: boolean;
    /** Guard of calls that crash servers; one without records if absent. */
    readonly crashGuard?: CrashGuard;
    /** Returns the service of the route that is in force; "s" if absent. */
    readonly findService?: () => string;
    /** Clock that is advanced while the call is forwarded; the system's clock if absent. */
    readonly clock?: ManualClock;
  } = {},
): Promise<ForwardingResult> {
  const clock = options.clock ?? new SystemClock();
  const random = createRandomSource(7);
  const remaining = [...answers];
  const client = new ScriptedServerClient(() =>
    remaining.shift() ?? { kind: "notRun" }
  );
  const limits = new ServerLimits({
    node: "n1",
    clock,
    log: new RecordingEventLog(),
  });
  for (const identifier of options.limited ?? []) {
    limits.recordAnswer(toServer(identifier), 0);
    limits.recordRequest(identifier);
  }
  const callRelay = createCallRelay(client, options.cutOff);
  if (options.isCutOffKnown === true) await callRelay.check();
  const forwarder = createCallForwarder({
    crashGuard: options.crashGuard ?? createCrashGuard(client),
    callRelay,
    clock,
    random,
    client,
    log: new RecordingEventLog(),
    servers: await createServers(options.servers ?? ["a", "b", "c"]),
    serverStatistics: new ServerCallStatistics({
      clock,
      random,
      failureDomain: "a",
      limits,
      isConnected: () => false,
    }),
  });
  const startedAt = clock.monotonic();
  const { findService = (): string => "s" } = options;
  const route = toRoute(
    options.kind ?? "idempotent",
    options.maximumAttempts ?? 3,
  );
  const forwarding = forwarder.forward({
    request: {
      identifier: "q",
      method: "GET",
      path: "/",
      host: "h",
      headers: {},
      body: Buffer.alloc(0),
    },
    route,
    findRoute: () => ({
      ...route,
      services: [{ service: findService(), weight: 1 }],
    }),
    priority: 1,
    isDeferrable: false,
    mayCrashServers: true,
    relay: { key: undefined, configurationVersion: 1 },
    deadline: startedAt + (options.budgetMilliseconds ?? 1000),
    signal: new AbortController().signal,
  });
  if (options.clock !== undefined) {
    await advanceUntilSettled(options.clock, forwarding);
  }
  const outcome = await forwarding;
  return { outcome, client, milliseconds: clock.monotonic() - startedAt };
}

async function advanceUntilSettled(
  clock: ManualClock,
  forwarding: Promise<unknown>,
): Promise<void> {
  let isSettled = false;
  const settle = (): void => {
    isSettled = true;
  };
  forwarding.then(settle, settle);
  while (!isSettled) await clock.advance(1);
}

function describe({ outcome }: ForwardingResult): string {
  if (outcome.kind === "answered") return `${outcome.status} ${outcome.body}`;
  if (outcome.kind === "refused") return `refused ${outcome.refusal}`;
  return outcome.kind === "unknown" ? outcome.reason : outcome.kind;
}

const GOOD_ANSWER: ScriptedResponse = { status: 200, body: "good" };
/**
 * Time until a slow answer, by the system's clock; much longer than a test takes whose call runs on
 * a clock of its own, so that the call always ends first.
 */
const SLOW_MILLISECONDS = 60_000;

const CASES: ReadonlyArray<{
  readonly title: string;
  readonly answers: ReadonlyArray<ScriptedResponse>;
  readonly kind?: RouteKind;
  readonly maximumAttempts?: number;
  readonly expected: string;
  readonly sent: number;
}> = [
  {
    title: "a complete response is returned",
    answers: [GOOD_ANSWER],
    expected: "200 good",
    sent: 1,
  },
  {
    title: "a response that was cut off is retried",
    answers: [{ status: 200, body: "go", isCut: true }, GOOD_ANSWER],
    expected: "200 good",
    sent: 2,
  },
  {
    title: "an unsigned response is retried",
    answers: [{ status: 200, body: "bad", isUnsigned: true }, GOOD_ANSWER],
    expected: "200 good",
    sent: 2,
  },
  {
    title: "a server's status 500 is returned when no attempts remain",
    answers: [{ status: 500, body: "no" }, { status: 500, body: "no" }],
    maximumAttempts: 2,
    expected: "500 no",
    sent: 2,
  },
  {
    title: "a request that is not idempotent is sent once",
    answers: [{ kind: "unknown" }, GOOD_ANSWER],
    kind: "nonIdempotent",
    expected: "serverFailed",
    sent: 1,
  },
  {
    title: "a request that is not idempotent is retried if it did not run",
    answers: [{ kind: "notRun", isRefused: true }, GOOD_ANSWER],
    kind: "nonIdempotent",
    expected: "200 good",
    sent: 2,
  },
  {
    title: "an unknown outcome is never reported as not run",
    answers: [{ kind: "unknown" }, { kind: "notRun" }],
    maximumAttempts: 1,
    expected: "serverFailed",
    sent: 1,
  },
];

for (const each of CASES) {
  test(`forwarding: ${each.title}`, async (t) => {
    const result = await forward(each.answers, {
      ...each,
      clock: new ManualClock(),
    });
    t.is(describe(result), each.expected);
    t.is(result.client.requestedServers.length, each.sent);
  });
}

test("a slow request is hedged at a second server and then cancelled", async (t) => {
  const slow = {
    status: 200,
    body: "slow",
    afterMilliseconds: SLOW_MILLISECONDS,
  };
  const result = await forward([slow, GOOD_ANSWER], {
    clock: new ManualClock(),
  });
  t.is(describe(result), "200 good");
  t.true(result.milliseconds < 400);
  t.deepEqual(
    result.client.cancelledServers,
    result.client.requestedServers.slice(0, 1),
  );
});

test("a call is refused well before its deadline when all servers are at capacity", async (t) => {
  const full = Array<ScriptedResponse>(200).fill({
    kind: "notRun",
    isRefused: true,
  });
  const result = await forward(full, { clock: new ManualClock() });
  t.is(describe(result), "refused noServer");
  t.true(result.milliseconds < 300);
});

test("a call to a service without servers is refused", async (t) => {
  const result = await forward([], { servers: [] });
  t.is(describe(result), "refused noServer");
});

test("a call times out at its deadline while a server still runs it", async (t) => {
  const slow = { status: 200, afterMilliseconds: SLOW_MILLISECONDS };
  const result = await forward([slow, slow, slow], {
    budgetMilliseconds: 300,
    clock: new ManualClock(),
  });
  t.is(describe(result), "timedOut");
  t.true(result.milliseconds <= 300, `${result.milliseconds} ms`);
  t.true(result.milliseconds > 250, "not long before the deadline");
});

test("a call that a full server refuses is not sent again without a pause while the others have used up their limits", async (t) => {
  const { client } = await forward(
    Array.from({ length: 200 }, () => ({ kind: "notRun", isRefused: true })),
    {
      limited: ["b", "c"],
      budgetMilliseconds: 900,
      clock: new ManualClock(),
    },
  );
  const sent = client.requestedServers.length;
  t.true(sent >= 2 && sent <= 8, `${sent} requests`);
});

test("a call of a node that is cut off is answered through another node", async (t) => {
  const addresses: string[] = [];
  const { outcome } = await forward([], {
    cutOff: {
      others: ["n2", "n3"],
      open: (address) => {
        addresses.push(address);
        return Promise.resolve({
          kind: "answered",
          status: 200,
          headers: {},
          signature: "signed",
          weightVersion: undefined,
          body: (async function* (): AsyncGenerator<Buffer> {
            yield Buffer.from("relayed");
          })(),
          abandon: () => {},
        });
      },
    },
  });
  t.is(outcome.kind === "answered" ? String(outcome.body) : "", "relayed");
  t.is(addresses.length, 1);
});

// Half of the latency target is 50 ms, and pauses between attempts are 15 ms and longer.
test("a call of a node that is cut off is not sent again without a pause while no other node answers", async (t) => {
  let relayed = 0;
  const { outcome, client } = await forward([], {
    cutOff: {
      others: ["n2"],
      open: () => {
        relayed += 1;
        return Promise.resolve({
          kind: "notRun",
          reason: "scripted",
          cause: "connect",
        });
      },
    },
  });
  t.is(outcome.kind, "refused");
  t.is(relayed, 1);
  const sent = client.requestedServers.length;
  t.true(sent <= 8, `${sent} attempts at servers`);
});

test("a node that is cut off leaves the trial of a held call to the node that forwards it", async (t) => {
  const claims: string[] = [];
  const crashGuard = new CrashGuard({
    log: new RecordingEventLog(),
    detector: { findFate: () => Promise.resolve("unknown") },
    records: {
      size: 1,
      decide: () => ({ kind: "try" }),
      isSuspect: () => true,
      claimTrial: (content) => {
        claims.push(content);
        return Promise.resolve(1);
      },
      returnTrial: () => {},
      recordCrash: () => {},
      recordSuccess: () => {},
    },
  });
  const open = (): Promise<ExchangeFailure> =>
    Promise.resolve({ kind: "notRun", reason: "scripted", cause: "refused" });
  const cutOff = { others: ["n2"], open };
  await forward([], { cutOff, crashGuard, isCutOffKnown: true });
  t.deepEqual(claims, []);
});

// Guards against retries at the service that the route had before, whose servers may be gone.
for (
  const { kind, answer, expected, sent } of [
    { kind: "idempotent", answer: "unknown", expected: "200 good", sent: 2 },
    { kind: "nonIdempotent", answer: "notRun", expected: "200 good", sent: 2 },
    {
      kind: "nonIdempotent",
      answer: "unknown",
      expected: "serverFailed",
      sent: 1,
    },
  ] as const
) {
  test(`after the answer ${answer}, a call of kind ${kind} goes on at the service to which its route has moved: ${expected}`, async (t) => {
    let service = "s";
    const asked: string[] = [];
    const result = await forward([{ kind: answer }, GOOD_ANSWER], {
      servers: ["a", "moved-1"],
      kind,
      clock: new ManualClock(),
      findService: () => {
        asked.push(service);
        const current = service;
        service = "moved";
        return current;
      },
    });
    t.is(describe(result), expected);
    t.deepEqual(
      result.client.requestedServers,
      ["a", "moved-1"].slice(0, sent),
    );
  });
}
