import test, { type ExecutionContext } from "ava";
import {
  createEngineResponseBuilder,
  createFaultScript,
  createResponseScript,
  createReuseFaultScript,
  RAW_FAULT_NAMES,
} from "../../stand_ins/raw_server/raw_faults.ts";
import {
  createRefusingAddress,
  type RawConnection,
  type RawScript,
  type RawServer,
  startRawServer,
} from "../../stand_ins/raw_server/raw_server.ts";
import { SystemClock } from "../utilities/system_clock.ts";
import { ConnectionPools } from "./connection_pools.ts";
import type { EngineOutcome, EngineTokens } from "./engine_client.ts";
import { HttpEngineClient } from "./http_engine_client.ts";

const SILENCE_MILLISECONDS = 300;
/** Time in which a request must arrive at the server. */
const ARRIVAL_MILLISECONDS = 10_000;

/** Faults whose outcome depends on whether the client writes its first byte before the reset arrives. */
const RACING_FAULTS: ReadonlyArray<string> = ["resetOnAccept"];

interface Bench {
  readonly client: HttpEngineClient;
  /** Waits until no request runs on a reusable connection to an address. */
  waitUntilIdle(address: string): Promise<void>;
  complete(
    address: string,
    options?: {
      readonly signal?: AbortSignal;
      readonly onTokens?: (tokens: EngineTokens) => void;
      readonly mayStart?: () => boolean;
    },
  ): Promise<EngineOutcome>;
}

function createBench(t: ExecutionContext): Bench {
  const pools = new ConnectionPools();
  const client = new HttpEngineClient({ clock: new SystemClock(), pools });
  t.teardown(() => client.close());
  let count = 0;
  return {
    client,
    waitUntilIdle: async (address) => {
      do await nextTurn(); while (pools.countRunning(address) > 0);
    },
    complete: (address, options = {}) => {
      count += 1;
      return client.complete(address, {
        requestIdentifier: `request-${count}`,
        prompt: "one two three",
        maximumTokens: 4,
        priority: 1,
        cacheSalt: "school-3",
        resumeText: "",
      }, {
        signal: new AbortController().signal,
        silenceMilliseconds: SILENCE_MILLISECONDS,
        onTokens: () => {},
        ...options,
      });
    },
  };
}

async function serve(
  t: ExecutionContext,
  script: RawScript,
): Promise<RawServer> {
  const server = await startRawServer(script);
  t.teardown(() => server.close());
  return server;
}

function summarise(outcome: EngineOutcome): string {
  if (outcome.kind === "finished") return "finished";
  return `${outcome.kind} ${outcome.cause}`;
}

function countReceivedBytes(server: RawServer): number {
  return server.connections.reduce(
    (sum, { received }) => sum + received.length,
    0,
  );
}

function countReceivedRequests(server: RawServer): number {
  return server.connections.reduce(
    (sum, { received }) => sum + received.split("HTTP/1.1").length - 1,
    0,
  );
}

function countUsedConnections(server: RawServer): number {
  return server.connections.filter(({ received }) => received !== "").length;
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

test("each fault of an exchange has the correct outcome", async (t) => {
  const seen: Record<string, string> = {};
  await Promise.all(RAW_FAULT_NAMES.map(async (name) => {
    const server = await serve(
      t,
      createFaultScript(name, createEngineResponseBuilder(7)),
    );
    const bench = createBench(t);
    const outcome = await bench.complete(server.address);
    if (outcome.kind === "notRun") t.is(countReceivedBytes(server), 0, name);
    if (!RACING_FAULTS.includes(name)) seen[name] = summarise(outcome);
  }));
  t.snapshot(Object.entries(seen).sort());
});

test("each fault on a reused connection has the correct outcome", async (t) => {
  const seen: Record<string, string> = {};
  await Promise.all(RAW_FAULT_NAMES.map(async (name) => {
    const script = createReuseFaultScript(name, createEngineResponseBuilder(7));
    const server = await serve(t, script);
    const bench = createBench(t);
    const first = await bench.complete(server.address);
    t.is(first.kind, "finished", name);
    await bench.waitUntilIdle(server.address);
    const before = countReceivedBytes(server);
    const outcome = await bench.complete(server.address);
    if (outcome.kind === "notRun") {
      t.is(countReceivedBytes(server), before, name);
    }
    if (!RACING_FAULTS.includes(name)) seen[name] = summarise(outcome);
    if (RACING_FAULTS.includes(name)) return;
    t.is(countUsedConnections(server), 1, name);
  }));
  t.snapshot(Object.entries(seen).sort());
});

test("a completion on an engine that refuses connections did not run", async (t) => {
  const bench = createBench(t);
  const outcome = await bench.complete(createRefusingAddress());
  t.is(summarise(outcome), "notRun connect");
});

// The status must also be 429 or 503.
test("an error answer counts as not run only if the engine reports not_run", async (t) => {
  const cases = [
    { status: 429, body: '{"error":"not_run"}' },
    { status: 503, body: '{"error":"not_run"}' },
    { status: 429, body: '{"error":"busy"}' },
    { status: 503, body: "" },
    { status: 503, body: "not_run" },
    { status: 500, body: '{"error":"not_run"}' },
    { status: 200, body: '{"error":"not_run"}' },
    { status: 400, body: "{}" },
  ];
  const seen = await Promise.all(cases.map(async ({ status, body }) => {
    const server = await serve(t, async (connection) => {
      await connection.readRequest();
      const head = `HTTP/1.1 ${status} X\r\ncontent-length: ${body.length}`;
      connection.write(`${head}\r\n\r\n${body}`);
    });
    const bench = createBench(t);
    const outcome = await bench.complete(server.address);
    return `${status} ${body} -> ${summarise(outcome)}`;
  }));
  t.snapshot(seen);
});

test("a redirect is not followed", async (t) => {
  const target = await serve(
    t,
    createResponseScript(createEngineResponseBuilder(7)),
  );
  const server = await serve(t, async (connection) => {
    await connection.readRequest();
    connection.write(
      `HTTP/1.1 307 X\r\nlocation: http://${target.address}/\r\n` +
        "content-length: 0\r\n\r\n",
    );
  });
  const bench = createBench(t);
  const outcome = await bench.complete(server.address);
  t.is(summarise(outcome), "unknown status");
  t.is(target.connections.length, 0);
});

test("an answer to another request is rejected", async (t) => {
  const server = await serve(
    t,
    createResponseScript((request) =>
      createEngineResponseBuilder(7)(
        request.replace(/x-request-id: .*/, "x-request-id: x"),
      )
    ),
  );
  const bench = createBench(t);
  const tokens: EngineTokens[] = [];
  const outcome = await bench.complete(server.address, {
    onTokens: (event) => tokens.push(event),
  });
  t.is(summarise(outcome), "unknown untrusted");
  t.deepEqual(tokens, []);
});

test("events that contradict the stream are rejected", async (t) => {
  const mutations: Readonly<Record<string, (body: string) => string>> = {
    otherRequest: (body) =>
      body.replaceAll('"request_id":"request-1"', '"request_id":"request-9"'),
    versionMissing: (body) =>
      body.replaceAll('"weight_version":7', '"weight_versio":7'),
    versionOfWrongType: (body) =>
      body.replaceAll('"weight_version":7', '"weight_version":-'),
    tokensLost: (body) =>
      body.replaceAll('"completion_tokens":4', '"completion_tokens":5'),
    textOfNoToken: (body) => body.replace('"tokens":2', '"tokens":0'),
    noFinish: (body) =>
      body.replaceAll('"finish_reason":"length"', '"finish_reason":null    '),
    noEndMarker: (body) => body.replace("data: [DONE]", ":     [DONE]"),
  };
  const seen = await Promise.all(
    Object.entries(mutations).map(async ([name, mutate]) => {
      const server = await serve(
        t,
        createResponseScript((request) => {
          const answer = createEngineResponseBuilder(7)(request);
          return {
            ...answer,
            firstHalf: mutateChunk(answer.firstHalf, mutate),
            secondHalf: mutateChunk(answer.secondHalf, mutate),
          };
        }),
      );
      const bench = createBench(t);
      const outcome = await bench.complete(server.address);
      return `${name}: ${summarise(outcome)}`;
    }),
  );
  t.snapshot(seen);
});

test("a connection that timed out is not reused", async (t) => {
  const server = await serve(t, async (connection) => {
    if (server.connections[0] === connection) {
      await connection.waitUntilClosed();
      return;
    }
    await createResponseScript(createEngineResponseBuilder(7))(connection);
  });
  const bench = createBench(t);
  t.is(summarise(await bench.complete(server.address)), "unknown silent");
  await server.connections[0]?.waitUntilClosed();
  t.is(summarise(await bench.complete(server.address)), "finished");
  t.is(countUsedConnections(server), 2);
});

test("after a timeout on one connection, the other idle connections to its server are not reused", async (t) => {
  const unansweredConnections = new Set<unknown>();
  const server = await serve(t, async (connection) => {
    for (;;) {
      const request = await connection.readRequest();
      if (request === undefined) return;
      if (unansweredConnections.has(connection)) continue;
      await writeAnswerInTwoParts(connection, request);
    }
  });
  const bench = createBench(t);
  const first = await Promise.all(
    [1, 2, 3].map(() => bench.complete(server.address)),
  );
  t.deepEqual(first.map(summarise), ["finished", "finished", "finished"]);
  await bench.waitUntilIdle(server.address);
  t.is(countUsedConnections(server), 3);
  for (const connection of server.connections) {
    unansweredConnections.add(connection);
  }
  t.is(summarise(await bench.complete(server.address)), "unknown silent");
  t.is(summarise(await bench.complete(server.address)), "finished");
});

test("a connection is not reused after its request was cancelled", async (t) => {
  const server = await serve(t, async (connection) => {
    const request = await connection.readRequest();
    if (request === undefined) return;
    const answer = createEngineResponseBuilder(7)(request);
    connection.write(
      `HTTP/1.1 200 OK\r\n${answer.headers}\r\n${answer.firstHalf}`,
    );
    await connection.waitUntilClosed();
    connection.write(answer.secondHalf);
  });
  const bench = createBench(t);
  const abortController = new AbortController();
  const texts: string[] = [];
  const outcome = await bench.complete(server.address, {
    signal: abortController.signal,
    onTokens: ({ text }) => {
      texts.push(text);
      abortController.abort();
    },
  });
  t.is(summarise(outcome), "unknown cancelled");
  t.deepEqual(texts, ["a b "]);
  const later = new AbortController();
  const laterOutcome = bench.complete(server.address, { signal: later.signal });
  const end = performance.now() + ARRIVAL_MILLISECONDS;
  const isMissing = (): boolean => countReceivedRequests(server) < 2;
  while (isMissing() && performance.now() < end) await nextTurn();
  t.is(countUsedConnections(server), 2);
  later.abort();
  await laterOutcome;
});

test("consecutive requests share a connection", async (t) => {
  const server = await serve(
    t,
    createResponseScript(createEngineResponseBuilder(7)),
  );
  const bench = createBench(t);
  for (let count = 0; count < 5; count += 1) {
    t.is((await bench.complete(server.address)).kind, "finished");
    await bench.waitUntilIdle(server.address);
  }
  t.is(server.connections.length, 1);
});

test("no byte is sent if `mayStart` returns false", async (t) => {
  const server = await serve(
    t,
    createResponseScript(createEngineResponseBuilder(7)),
  );
  const bench = createBench(t);
  const outcome = await bench.complete(server.address, {
    mayStart: () => false,
  });
  t.is(summarise(outcome), "notRun withheld");
  t.is(countReceivedBytes(server), 0);
});

async function writeAnswerInTwoParts(
  connection: RawConnection,
  request: string,
): Promise<void> {
  const { headers, firstHalf, secondHalf } = createEngineResponseBuilder(7)(
    request,
  );
  connection.write(`HTTP/1.1 200 OK\r\n${headers}\r\n${firstHalf}`);
  await nextTurn();
  connection.write(secondHalf);
}

function mutateChunk(chunk: string, mutate: (body: string) => string): string {
  const [, body = "", ...rest] = chunk.split("\r\n");
  const mutated = mutate(body);
  return [mutated.length.toString(16), mutated, ...rest].join("\r\n");
}
