import test, { type ExecutionContext } from "ava";
import { Agent, Client, request } from "undici";
import {
  createEntryBench,
  type EntryBench,
} from "../../stand_ins/entry/entry_bench.ts";
import type { Peer } from "../membership/peer_directory.ts";

const STREAM = JSON.stringify({
  model: "open-models",
  prompt: "dots",
  stream: true,
});

test("address responses omit a draining node and leaving peers at once", async (t) => {
  const bench = await startBench(t);
  bench.peers.push(
    createPeer({ node: "node-2", leaving: true }),
    createPeer({ node: "node-3", leaving: false }),
  );
  t.deepEqual(await listNodes(bench), ["node-1", "node-3"]);
  const drained = bench.server.drain();
  t.deepEqual(await listNodes(bench), ["node-3"]);
  await drained;
});

test("a drain aborts no stream, long call or request of a caller with a cached address response", async (t) => {
  const bench = await startBench(t);
  let release = (): void => {};
  const released = new Promise<void>((resolve) => {
    release = resolve;
  });
  bench.dispatcher.beforeSecondHalf = () => released;
  const stream = readAnswer(bench, "/v1/completions", STREAM);
  const longCall = readAnswer(bench, "/status/long", "long");
  await waitUntil(() => bench.dispatcher.calls.length === 1);
  let isDrained = false;
  const drain = bench.server.drain().then((report) => {
    isDrained = true;
    return report;
  });
  bench.dispatcher.beforeSecondHalf = () => Promise.resolve();
  const agent = new Agent({ connections: 2 });
  let served = 0;
  for (const startedAt = Date.now(); Date.now() - startedAt < 1500;) {
    const answer = await request(`http://${bench.address}/status`, {
      method: "PUT",
      body: "x",
      dispatcher: agent,
    });
    t.is(await answer.body.text(), "x");
    t.is(answer.headers.connection, "close");
    served += 1;
  }
  t.true(served > 0);
  await waitUntil(() => !isListening(bench));
  t.false(isDrained);
  release();
  t.regex(await stream, /data: \[DONE\]\n\n$/);
  t.is(await longCall, "long");
  t.like(await drain, { aborted: 0 });
  await agent.close();
});

test("a drain ends after the drain time and reports how many exchanges it aborted", async (t) => {
  const bench = await startBench(t, { drainMilliseconds: 300 });
  bench.dispatcher.beforeSecondHalf = (signal) =>
    new Promise((resolve) => signal.addEventListener("abort", () => resolve()));
  const client = new Client(`http://${bench.address}`);
  const answer = client.request({
    path: "/v1/completions",
    method: "POST",
    body: JSON.stringify({ model: "open-models", prompt: "dots" }),
  });
  await waitUntil(() => bench.dispatcher.completions.length === 1);
  t.like(await bench.server.drain(), { aborted: 1 });
  const { body } = await answer;
  t.like(await body.json(), { error: "leaving", ran: "unknown" });
  await client.close();
});

async function startBench(
  t: ExecutionContext,
  settings: { readonly drainMilliseconds?: number } = {},
): Promise<EntryBench> {
  const bench = createEntryBench({
    settings: {
      addressKeepMilliseconds: 1000,
      drainMilliseconds: 60_000,
      ...settings,
    },
  });
  bench.address = await bench.server.listen();
  t.teardown(() => bench.stop());
  return bench;
}

function isListening(bench: EntryBench): boolean {
  return bench.server.isListening;
}

async function listNodes(bench: EntryBench): Promise<ReadonlyArray<string>> {
  const { body } = await request(`http://${bench.address}/v1/addresses`);
  const answer = await body.json() as {
    readonly addresses: ReadonlyArray<{ readonly node: string }>;
  };
  return answer.addresses.map(({ node }) => node).sort();
}

async function readAnswer(
  bench: EntryBench,
  path: string,
  body: string,
): Promise<string> {
  const client = new Client(`http://${bench.address}`);
  const method = path.startsWith("/v1") ? "POST" : "PUT";
  const answer = await client.request({ path, method, body });
  const text = await answer.body.text();
  await client.close();
  return text;
}

function createPeer(
  options: { readonly node: string; readonly leaving: boolean },
): Peer {
  return {
    ...options,
    nodeStart: "start",
    failureDomain: "iasi-b",
    peerAddress: "127.0.0.1:1",
    callerAddress: "127.0.0.1:2",
    configurationRevision: 1,
    ageMilliseconds: 0,
  };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let count = 0; count < 4000 && !condition(); count += 1) {
    await new Promise((next) => setTimeout(next, 5));
  }
}
