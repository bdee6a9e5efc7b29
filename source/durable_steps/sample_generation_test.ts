import test from "ava";
import { createSampleRequest } from "../../stand_ins/installation/create_sample_request.ts";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import {
  type ScriptedResponse,
  ScriptedServerClient,
} from "../../stand_ins/installation/scripted_server_client.ts";
import { TextLengthEstimate } from "../decisions/text_length.ts";
import type { ServerRequest, TextEvent } from "../backends/server_client.ts";
import type { ServiceRoute } from "../installation/configuration.ts";
import { ServerLimits } from "../installation/server_limits.ts";
import { ServerView } from "../installation/server_view.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import { SystemClock } from "../utilities/system_clock.ts";
import { EnginePool } from "./engine_pool.ts";
import { SampleGeneration } from "./sample_generation.ts";
import type { SampleText } from "./sample_text.ts";

const TIME_LIMIT_MILLISECONDS = 1500;

const ROUTE = {
  services: [{ service: "s", share: 1 }],
  isSingleVersion: false,
  maximumAttempts: 3,
} as unknown as ServiceRoute;

interface RunResult {
  readonly text: SampleText;
  readonly outcome: string;
  readonly requests: ReadonlyArray<ServerRequest>;
  /** Identifiers of the engines that were asked, in order. */
  readonly servers: ReadonlyArray<string>;
}

// Runs one sample on two engines until it ends or 1.5 s have passed.
async function run(
  text: SampleText,
  answer: (request: ServerRequest, count: number) => ScriptedResponse,
  softwareVersions: Readonly<Record<string, string>> = {},
  mayHaveChanged: () => Promise<boolean> = () => Promise.resolve(false),
): Promise<RunResult> {
  const clock = new SystemClock();
  const log = new RecordingEventLog();
  const table = new MemoryDurableTable();
  const stopping = new AbortController();
  const { signal } = stopping;
  const servers = new ServerView({
    clock,
    log,
    table,
    tableName: "servers",
    readRow: (key) =>
      createServerEntry(key, {
        weightVersions: new Map([["m", 5]]),
        softwareVersion: softwareVersions[key] ?? "v1",
      }),
    drainMilliseconds: 2000,
    stopping: signal,
  });
  await table.commit({
    conditions: [],
    puts: ["e1", "e2"].map((key) => ({
      table: "servers",
      partition: "",
      key,
      value: Buffer.alloc(0),
    })),
  });
  void servers.run();
  const requests: ServerRequest[] = [];
  const client = new ScriptedServerClient((_server, request) => {
    requests.push(request);
    return answer(request, requests.length);
  });
  const timer = setTimeout(() => stopping.abort(), TIME_LIMIT_MILLISECONDS);
  const outcome = await new SampleGeneration({
    clock,
    log,
    pool: new EnginePool(clock, {
      servers,
      limits: new ServerLimits({
        node: "n1",
        clock,
        log: new RecordingEventLog(),
      }),
      isConnected: () => true,
      findMemoryTokens: () => 0,
    }),
    client,
    servers,
    serverStarts: { mayHaveChanged },
    sample: createSampleRequest("q1"),
    text,
    host: "h",
    organisation: "o",
    model: "m",
    minimumVersion: 5,
    findDueTime: () => 5000,
    group: "s/g",
    isSpare: false,
    textLengths: new TextLengthEstimate(),
    isLong: false,
    draw: 0,
    route: () => ROUTE,
    remainingMilliseconds: () => 10_000,
    signal,
  }).run();
  clearTimeout(timer);
  stopping.abort();
  return {
    text,
    outcome: outcome.kind,
    requests,
    servers: client.requestedServers,
  };
}

function createText(events: number): SampleText {
  return {
    parts: Array.from({ length: events }, (_unused, index) => `part ${index}`),
    versions: events > 0 ? [5] : [],
    softwareVersion: events > 0 ? "v1" : undefined,
    begunBy: events > 0 ? { identifier: "e1", startedAt: 0 } : undefined,
    lastEvent: events > 0 ? events - 1 : undefined,
    isWhole: false,
  };
}

function createEvents(first: number, count: number): ReadonlyArray<TextEvent> {
  return Array.from({ length: count }, (_unused, index) => ({
    number: first + index,
    text: `part ${first + index}`,
    weightVersion: undefined,
  }));
}

test("a text interrupted after its last event is complete when an engine adds no events", async (t) => {
  const { text, outcome, requests } = await run(createText(4), () => ({
    status: 200,
    weightVersion: "none",
    events: [],
  }));
  t.is(outcome, "completed");
  t.is(text.parts.length, 4);
  t.deepEqual(requests.map(({ afterEvent }) => afterEvent), [3]);
});

test("an interrupted text is continued after its last event", async (t) => {
  const { text, outcome } = await run(createText(4), () => ({
    status: 200,
    weightVersion: 5,
    events: createEvents(4, 2),
  }));
  t.is(outcome, "completed");
  t.is(text.parts.length, 6);
});

test("events of a weight version that is not allowed are ignored", async (t) => {
  const { text, outcome } = await run(
    createText(4),
    (_request, count) => ({
      status: 200,
      weightVersion: count === 1 ? 4 : 5,
      events: createEvents(4, 2),
    }),
  );
  t.is(outcome, "completed");
  t.deepEqual(text.versions, [5]);
  t.is(text.parts.length, 6);
});

test("events without a weight version are ignored", async (t) => {
  const { text, outcome } = await run(createText(4), () => ({
    status: 200,
    weightVersion: "none",
    events: createEvents(4, 2),
  }));
  t.is(outcome, "cancelled");
  t.is(text.parts.length, 4);
});

test("a response without events does not complete a text without events", async (t) => {
  const { text, outcome } = await run(createText(0), () => ({
    status: 200,
    weightVersion: 5,
    events: [],
  }));
  t.is(outcome, "cancelled");
  t.false(text.isWhole);
});

test("a text that one engine interrupts is continued after its last event", async (t) => {
  const { text, outcome, requests } = await run(
    createText(0),
    (_request, count) => ({
      status: 200,
      weightVersion: 5,
      events: count === 1 ? createEvents(0, 3) : createEvents(3, 2),
      isCut: count === 1,
    }),
  );
  t.is(outcome, "completed");
  t.deepEqual(requests.map(({ afterEvent }) => afterEvent), [undefined, 2]);
  t.is(text.parts.join(), "part 0,part 1,part 2,part 3,part 4");
});

test("an interrupted text goes on at the software version that began it, though another engine is free", async (t) => {
  const { outcome, requests, servers } = await run(
    createText(3),
    () => ({ status: 200, weightVersion: 5, events: createEvents(3, 2) }),
    { e1: "v2" },
  );
  t.is(outcome, "completed");
  t.deepEqual(requests.map(({ afterEvent }) => afterEvent), [2]);
  t.deepEqual(servers, ["e2"]);
});

test("a text whose software version has gone is generated again from its start", async (t) => {
  const { text, outcome, requests } = await run(
    createText(3),
    () => ({ status: 200, weightVersion: 6, events: createEvents(0, 2) }),
    { e1: "v2", e2: "v2" },
  );
  t.is(outcome, "completed");
  t.deepEqual(requests.map(({ afterEvent }) => afterEvent), [undefined]);
  t.is(text.parts.join(), "part 0,part 1");
  t.deepEqual(text.versions, [6]);
  t.is(text.softwareVersion, "v2");
});

test("a text of an unknown software version is generated again from its start", async (t) => {
  const { text, requests } = await run(
    { ...createText(3), softwareVersion: undefined },
    () => ({ status: 200, weightVersion: 5, events: createEvents(0, 2) }),
  );
  t.deepEqual(requests.map(({ afterEvent }) => afterEvent), [undefined]);
  t.is(text.parts.length, 2);
});

test("a text whose first engine may have had another software version is generated again from its start", async (t) => {
  const { text, requests } = await run(
    createText(3),
    () => ({ status: 200, weightVersion: 5, events: createEvents(0, 2) }),
    {},
    () => Promise.resolve(true),
  );
  t.deepEqual(requests.map(({ afterEvent }) => afterEvent), [undefined]);
  t.is(text.parts.length, 2);
});

test("a text whose software version only fails is generated again by another one", async (t) => {
  const { text, outcome } = await run(
    createText(2),
    ({ afterEvent }) =>
      afterEvent === undefined
        ? { status: 200, weightVersion: 5, events: createEvents(0, 4) }
        : { kind: "unknown" },
    { e2: "v2" },
  );
  t.is(outcome, "completed");
  t.is(text.softwareVersion, "v2");
  t.is(text.parts.length, 4);
});
