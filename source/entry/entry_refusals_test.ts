import { connect } from "node:net";
import test, { type ExecutionContext } from "ava";
import fc from "fast-check";
import { Client } from "undici";
import {
  createEntryBench,
  type EntryBench,
  type EntryBenchOptions,
} from "../../stand_ins/entry/entry_bench.ts";

const ABSENT_KEY = `sp_${"0".repeat(16)}_${"0".repeat(64)}`;
const RANDOM_SEED = 20261203;

interface Call {
  readonly method?: "GET" | "POST" | "PUT" | "DELETE" | "PATCH";
  readonly path?: string;
  /** "school", "library", "withdrawn" or "wrongSecret" for a key of the bench, "none", or the key itself. */
  readonly key?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

const COMPLETION = { model: "dot-models", prompt: "dots" };

function createCompletion(change: Readonly<Record<string, unknown>>): Call {
  const body = JSON.stringify({ ...COMPLETION, ...change });
  return { method: "POST", path: "/v1/completions", body };
}

const REFUSED_CALLS: Readonly<Record<string, Call>> = {
  "no key": { path: "/orders/1", key: "none" },
  "unknown key": { path: "/orders/1", key: ABSENT_KEY },
  "malformed key": { path: "/orders/1", key: "letmein" },
  "withdrawn key": { path: "/orders/1", key: "withdrawn" },
  "key of another organisation": { path: "/orders/school/1", key: "library" },
  "model of another organisation": { ...createCompletion({}), key: "library" },
  "no key for a model": { ...createCompletion({}), key: "none" },
  "wrong secret": { path: "/orders/1", key: "wrongSecret" },
  "two keys": { path: "/orders/1", headers: { "x-api-key": ABSENT_KEY } },
  "basic credentials": {
    path: "/orders/1",
    key: "none",
    headers: { authorization: "Basic c2Nob29s" },
  },
  "unknown route": { path: "/nothing" },
  "prefix that ends inside a segment": { path: "/ordersmore" },
  "model reached as a plain service": { path: "/models/v1/completions" },
  "wrong method": { method: "DELETE", path: "/v1/addresses" },
  "bad failure domain": { path: "/v1/addresses?failure_domain=%00" },
  "invalid path": { path: "//[" },
  "bad deadline": {
    path: "/orders/1",
    headers: { "x-deadline-milliseconds": "soon" },
  },
  "empty body": { method: "POST", path: "/v1/completions", body: "" },
  "invalid JSON": { method: "POST", path: "/v1/completions", body: "{" },
  "JSON that is not an object": {
    method: "POST",
    path: "/v1/completions",
    body: "[1]",
  },
  "other content type": {
    ...createCompletion({}),
    headers: { "content-type": "text/plain" },
  },
  "oversized body": createCompletion({ prompt: "x".repeat(1_100_000) }),
  "model missing": createCompletion({ model: undefined }),
  "model of wrong type": createCompletion({ model: 7 }),
  "unknown model": createCompletion({ model: "other" }),
  "plain service as model": createCompletion({ model: "orders" }),
  "prompt missing": createCompletion({ prompt: undefined }),
  "prompt of wrong type": createCompletion({ prompt: ["a"] }),
  "unknown class": createCompletion({ class: "urgent" }),
  "no tokens": createCompletion({ max_tokens: 0 }),
  "too many tokens": createCompletion({ max_tokens: 1e9 }),
  "fraction of a token": createCompletion({ max_tokens: 1.5 }),
  "stream of wrong type": createCompletion({ stream: "yes" }),
  "unsupported field": createCompletion({ temperature: 0 }),
  "field of the prototype": createCompletion({ constructor: "x" }),
};

for (const [title, call] of Object.entries(REFUSED_CALLS)) {
  test(`refuses: ${title}`, async (t) => {
    const bench = await startBench(t);
    const { status, text, retryAfter } = await send(bench, call);
    t.snapshot({ status, retryAfter, ...JSON.parse(text) });
    t.is(
      bench.dispatcher.calls.length + bench.dispatcher.completions.length,
      0,
    );
  });
}

for (const call of [createCompletion({}), { path: "/orders/1" }]) {
  test(`a node without a configuration refuses as not run: ${call.path}`, async (t) => {
    const bench = await startBench(t, { unconfigured: true });
    const { status, text, retryAfter } = await send(bench, call);
    t.snapshot({ status, retryAfter, ...JSON.parse(text) });
  });
}

const KEY_PLACES: Readonly<Record<string, (key: string) => Call>> = {
  "bearer header": () => ({ path: "/orders/1" }),
  "x-api-key header": (key) => ({
    path: "/orders/1",
    key: "none",
    headers: { "x-api-key": key },
  }),
  "cookie": (key) => ({ path: "/orders/1", headers: { cookie: `k=${key}` } }),
  "another header": (key) => ({ path: "/orders/1", headers: { "x-a": key } }),
  "content type": (key) => ({
    path: "/orders/1",
    method: "PUT",
    body: "x",
    headers: { "content-type": `text/${key}` },
  }),
  "header's name": (key) => ({ path: "/orders/1", headers: { [key]: "1" } }),
  "query": (key) => ({ path: `/orders/1?key=${key}` }),
  "escaped query": (key) => ({
    path: `/orders/1?bad=%zz&key=${key.replaceAll("_", "%255F")}`,
  }),
  "path": (key) => ({ path: `/orders/${key}` }),
  "open route": (key) => ({ path: `/status?key=${key}` }),
  "plain body": (key) => ({
    method: "PUT",
    path: "/orders/1",
    body: `{"a":"${key}"}`,
  }),
  "long plain body": (key) => ({
    method: "PUT",
    path: "/orders/1",
    body: "s".repeat(70_000) + key + "s".repeat(70_000),
  }),
  "prompt": (key) => createCompletion({ prompt: `say ${key}` }),
  "user": (key) => createCompletion({ user: key }),
  "model": (key) => createCompletion({ model: key }),
  "class": (key) => createCompletion({ class: key }),
  "field's name": (key) => createCompletion({ [key]: 1 }),
};

for (const [place, build] of Object.entries(KEY_PLACES)) {
  test(`no backend server receives a key sent in: ${place}`, async (t) => {
    const bench = await startBench(t);
    const key = bench.shown["school"] ?? "";
    const { status, text } = await send(bench, build(key));
    const secret = key.slice(20);
    t.false(bench.dispatcher.receivedContent.includes(secret));
    t.false(text.includes(secret));
    t.false(JSON.stringify(bench.log.events).includes(secret));
    t.snapshot(status);
  });
}

test("no part of a key that arrives byte by byte is passed on", async (t) => {
  const bench = await startBench(t);
  const key = bench.shown["school"] ?? "";
  const body = `before ${key} after`;
  const answer = await sendRaw(bench, [
    "PUT /status HTTP/1.1\r\nhost: a\r\n",
    `content-length: ${body.length}\r\n\r\n`,
    ...body,
  ]);
  t.true(answer.startsWith("HTTP/1.1 400"), answer);
  const seen = bench.dispatcher.receivedContent;
  t.false(/sp_/.test(seen.slice(seen.indexOf("before"))));
});

const MALFORMED_REQUESTS: Readonly<Record<string, ReadonlyArray<string>>> = {
  "not HTTP": ["hello\r\n\r\n"],
  "headers too large": [
    `GET / HTTP/1.1\r\nx-a: ${"x".repeat(20_000)}\r\n\r\n`,
  ],
  "two lengths": [
    "PUT /status HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n" +
    "transfer-encoding: chunked\r\n\r\n",
  ],
};

for (const [title, parts] of Object.entries(MALFORMED_REQUESTS)) {
  test(`refuses malformed HTTP: ${title}`, async (t) => {
    const bench = await startBench(t);
    t.snapshot(await sendRaw(bench, parts));
    t.is(bench.dispatcher.calls.length, 0);
  });
}

test("a request with an incomplete body runs nothing", async (t) => {
  const bench = await startBench(t);
  await sendRaw(bench, [
    "PUT /status HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf",
  ], { closeAfter: true });
  await waitUntil(() => bench.server.runningExchanges === 0);
  t.is(bench.dispatcher.calls.length, 0);
});

test("random requests are refused or served, and never for a wrong organisation", async (t) => {
  const bench = await startBench(t);
  const name = fc.constantFrom("model", "prompt", "class", "stream", "n");
  const value = fc.oneof(
    fc.constantFrom<unknown>("dot-models", "open-models", "lookups", true, 1),
    fc.jsonValue(),
  );
  const call = fc.record({
    method: fc.constantFrom("GET", "POST", "PUT", "DELETE"),
    path: fc.oneof(
      fc.constantFrom(
        "/v1/completions",
        "/v1/addresses",
        "/orders/1",
        "/orders/school/2",
        "/status",
        "/%2e%2e/orders/school",
      ),
      fc.webPath().map((path) => path === "" ? "/" : path),
    ),
    key: fc.constantFrom("school", "library", "none", "withdrawn", ABSENT_KEY),
    body: fc.oneof(
      fc.dictionary(name, value).map((fields) => JSON.stringify(fields)),
      fc.string(),
    ),
  });
  await fc.assert(
    fc.asyncProperty(call, async (input) => {
      bench.dispatcher.calls.length = 0;
      bench.dispatcher.completions.length = 0;
      const { status } = await send(bench, input as Call);
      t.true(status >= 200 && status < 600 && status !== 500);
      const ran = [...bench.dispatcher.calls, ...bench.dispatcher.completions];
      const allowed = ["school", "library"].includes(input.key)
        ? [input.key, "open"]
        : ["open"];
      t.true(ran.every(({ organisation }) => allowed.includes(organisation)));
      const isSchoolOnly = input.path.startsWith("/orders/school");
      if (isSchoolOnly && input.key !== "school") t.is(ran.length, 0);
    }),
    { seed: RANDOM_SEED, numRuns: 400 },
  );
  t.false(bench.log.events.some(({ name }) => name === "handlerFailed"));
});

interface KeyedBench extends EntryBench {
  readonly shown: Readonly<Record<string, string>>;
}

async function startBench(
  t: ExecutionContext,
  options: EntryBenchOptions = {},
): Promise<KeyedBench> {
  const bench = createEntryBench(options);
  bench.address = await bench.server.listen();
  t.teardown(() => bench.stop());
  await bench.keys.refresh();
  const [school, library, withdrawn] = [
    await issueKey(bench, "school"),
    await issueKey(bench, "library"),
    await issueKey(bench, "school"),
  ];
  await bench.authority.withdraw(withdrawn.split("_")[1] ?? "");
  const wrongSecret = school.slice(0, -64) + "0".repeat(64);
  const shown = { school, library, withdrawn, wrongSecret };
  return Object.assign(bench, { shown });
}

async function issueKey(
  bench: EntryBench,
  organisation: string,
): Promise<string> {
  const outcome = await bench.authority.issue({ organisation, trainer: false });
  return outcome.kind === "given" ? outcome.key : "";
}

interface Answer {
  readonly status: number;
  readonly text: string;
  readonly retryAfter: string;
}

async function send(bench: KeyedBench, call: Call): Promise<Answer> {
  const key = call.key ?? "school";
  const shown = bench.shown[key] ?? key;
  const authorization = key === "none"
    ? {}
    : { authorization: `Bearer ${shown}` };
  const hasBody = call.method !== undefined && call.method !== "GET";
  const client = new Client(`http://${bench.address}`);
  const answer = await client.request({
    path: call.path ?? "/",
    method: call.method ?? "GET",
    headers: { ...authorization, ...call.headers },
    body: hasBody ? call.body ?? null : null,
  });
  const text = await answer.body.text();
  await client.close();
  return {
    status: answer.statusCode,
    text,
    retryAfter: String(answer.headers["retry-after"] ?? ""),
  };
}

function sendRaw(
  bench: EntryBench,
  parts: ReadonlyArray<string>,
  options: { readonly closeAfter?: boolean } = {},
): Promise<string> {
  const [host = "", port = ""] = bench.address.split(":");
  return new Promise((resolve) => {
    const socket = connect(Number(port), host);
    let received = "";
    socket.setNoDelay(true);
    socket.on("data", (chunk) => {
      received += chunk.toString();
      socket.end();
    });
    socket.on("error", () => {});
    socket.on("close", () => resolve(received));
    void (async () => {
      for (const part of parts) {
        socket.write(part);
        await new Promise((next) => setImmediate(next));
      }
      if (options.closeAfter === true) socket.destroy();
    })();
  });
}

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let count = 0; count < 1000 && !condition(); count += 1) {
    await new Promise((next) => setTimeout(next, 5));
  }
}
