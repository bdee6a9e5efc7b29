import { connect, type Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import { Client } from "undici";
import {
  createEntryBench,
  type EntryBench,
  type EntryBenchOptions,
} from "../../stand_ins/entry/entry_bench.ts";

const PROMPT = JSON.stringify({ model: "dot-models", prompt: "dots" });
const STREAM = JSON.stringify({ ...JSON.parse(PROMPT), stream: true });
const OPEN_STREAM = JSON.stringify({
  ...JSON.parse(STREAM),
  model: "open-models",
});

const LONG_MILLISECONDS = 60_000;

interface AbortCase {
  readonly body: string;
  readonly key: boolean;
  readonly act: (bench: KeyedBench) => void;
  readonly isAborted: boolean;
  /** Freshness bound of keys in milliseconds, if the test waits until it has passed. */
  readonly freshness?: number;
}

const ABORT_CASES: Readonly<Record<string, AbortCase>> = {
  "the withdrawal of its key by a peer": {
    body: STREAM,
    key: true,
    act: (bench) => void bench.keys.applyWithdrawal(bench.identifier),
    isAborted: true,
  },
  "the withdrawal of its key by an operator while the table is down": {
    body: STREAM,
    key: true,
    act: (bench) => {
      bench.platform.fault = "down";
      void bench.authority.withdraw(bench.identifier);
    },
    isAborted: true,
  },
  "a stale view of keys": {
    freshness: 1200,
    body: STREAM,
    key: true,
    act: (bench) => {
      bench.platform.fault = "down";
    },
    isAborted: true,
  },
  "the withdrawal of another key": {
    body: STREAM,
    key: true,
    act: (bench) => void bench.keys.applyWithdrawal("0".repeat(16)),
    isAborted: false,
  },
  "a stale view of keys, on an open route": {
    freshness: 1200,
    body: OPEN_STREAM,
    key: false,
    act: (bench) => {
      bench.platform.fault = "down";
    },
    isAborted: false,
  },
};

for (const [title, abortCase] of Object.entries(ABORT_CASES)) {
  const { body, key, act, isAborted, freshness } = abortCase;
  test(
    `a running stream is ${isAborted ? "aborted" : "not aborted"} by ${title}`,
    async (t) => {
      const bench = await startBench(t, {
        keyFreshnessMilliseconds: freshness ?? LONG_MILLISECONDS,
      });
      let release = (): void => {};
      const released = new Promise<void>((resolve) => {
        release = resolve;
      });
      bench.dispatcher.beforeSecondHalf = (signal) =>
        Promise.race([
          released,
          new Promise((resolve) => signal.addEventListener("abort", resolve)),
        ]) as Promise<void>;
      const reading = readStream(bench, { body, key });
      await waitUntil(() => bench.dispatcher.completions.length === 1);
      const { signal } = bench.dispatcher.completions[0] as {
        signal: AbortSignal;
      };
      act(bench);
      if (isAborted) await waitUntil(() => signal.aborted);
      else await waitUntil(() => !bench.keys.isFresh() || key);
      release();
      const { text, isWhole } = await reading;
      t.is(isWhole, !isAborted);
      t.is(text.includes("[DONE]"), !isAborted);
      await waitUntil(() => bench.server.runningExchanges === 0);
      t.is(bench.server.runningExchanges, 0);
    },
  );
}

test("a completion that is not streamed is refused when its key is withdrawn", async (t) => {
  const bench = await startBench(t);
  bench.dispatcher.beforeSecondHalf = (signal) =>
    new Promise((resolve) => signal.addEventListener("abort", () => resolve()));
  const answer = readStream(bench, { body: PROMPT, key: true });
  await waitUntil(() => bench.dispatcher.completions.length === 1);
  bench.keys.applyWithdrawal(bench.identifier);
  t.like(JSON.parse((await answer).text), {
    error: "keyWithdrawn",
    ran: "unknown",
  });
});

test("work is cancelled when its caller disconnects, and the streamed tokens are counted", async (t) => {
  const bench = await startBench(t);
  let isAborted = false;
  bench.dispatcher.beforeSecondHalf = (signal) =>
    new Promise((resolve) =>
      signal.addEventListener("abort", () => {
        isAborted = true;
        resolve();
      })
    );
  const socket = openSocket(bench, [
    "POST /v1/completions HTTP/1.1\r\nhost: a\r\n",
    `authorization: Bearer ${bench.key}\r\n`,
    `content-length: ${STREAM.length}\r\n\r\n${STREAM}`,
  ]);
  await new Promise((resolve) => socket.once("data", resolve));
  socket.destroy();
  await waitUntil(() => isAborted && bench.usage.length === 1);
  t.deepEqual(bench.usage, [[
    "school",
    { requests: 1, promptTokens: 0, generatedTokens: 1 },
  ]]);
});

test("a caller that stops sending its body is refused", async (t) => {
  const bench = await startBench(t, { silenceMilliseconds: 150 });
  const socket = openSocket(bench, [
    "PUT /status HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf",
  ]);
  const answer = await new Promise((resolve) => socket.once("data", resolve));
  t.regex(
    String(answer),
    /^HTTP\/1.1 400.*The body stopped coming/s,
  );
  await waitUntil(() => bench.server.runningExchanges === 0);
  t.is(bench.dispatcher.calls.length, 0);
});

test("an exchange whose caller stops reading the response is aborted", async (t) => {
  const bench = await startBench(t, { silenceMilliseconds: 150 });
  const body = "x".repeat(16_000_000);
  const socket = openSocket(bench, [
    `PUT /status HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n`,
    body,
  ]);
  socket.pause();
  await waitUntil(() => bench.dispatcher.calls.length === 1);
  t.is(bench.server.runningExchanges, 1);
  await waitUntil(() => bench.server.runningExchanges === 0);
  t.is(bench.server.runningExchanges, 0);
});

interface KeyedBench extends EntryBench {
  readonly key: string;
  readonly identifier: string;
}

async function startBench(
  t: ExecutionContext,
  settings: NonNullable<EntryBenchOptions["settings"]> = {},
): Promise<KeyedBench> {
  const bench = createEntryBench({
    settings: {
      silenceMilliseconds: LONG_MILLISECONDS,
      keyFreshnessMilliseconds: LONG_MILLISECONDS,
      ...settings,
    },
  });
  bench.address = await bench.server.listen();
  t.teardown(() => bench.stop());
  await bench.keys.refresh();
  const given = await bench.authority.issue({
    organisation: "school",
    trainer: false,
  });
  void bench.keys.run();
  void bench.server.run();
  const key = given.kind === "given" ? given.key : "";
  return Object.assign(bench, { key, identifier: key.split("_")[1] ?? "" });
}

async function readStream(
  bench: KeyedBench,
  options: { readonly body: string; readonly key: boolean },
): Promise<{ readonly text: string; readonly isWhole: boolean }> {
  const client = new Client(`http://${bench.address}`);
  let text = "";
  try {
    const { body } = await client.request({
      path: "/v1/completions",
      method: "POST",
      headers: options.key ? { authorization: `Bearer ${bench.key}` } : {},
      body: options.body,
    });
    for await (const chunk of body) text += String(chunk);
    return { text, isWhole: true };
  } catch {
    return { text, isWhole: false };
  } finally {
    await client.destroy();
  }
}

function openSocket(bench: EntryBench, parts: ReadonlyArray<string>): Socket {
  const [host = "", port = ""] = bench.address.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => {});
  for (const part of parts) socket.write(part);
  return socket;
}

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let count = 0; count < 3000 && !condition(); count += 1) {
    await new Promise((next) => setTimeout(next, 5));
  }
}
