import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import { request } from "undici";
import { AddressBook } from "../clients/address_book.ts";
import { call, type CallOptions, type CallOutcome } from "../clients/call.ts";
import { Deployment } from "../deployment/deployment.ts";
import { LAYOUTS } from "../deployment/layout.ts";

const ORGANISATION = "atbr-cluj";
const LIMIT_MILLISECONDS = 40_000;
const FRESHNESS_MILLISECONDS = 4000;
const SLOW_MILLISECONDS = 1500;
const LONG_TOKENS = 600;

interface Counts {
  answered: number;
  readonly failures: string[];
}

test("real processes: keys, claims and shutdowns", async (t) => {
  t.timeout(120_000);
  const deployment = await Deployment.start({
    layout: LAYOUTS.atbr,
    nodes: 3,
    engineFlags: ["--tokens-per-second=60", "--batch-slots=8"],
    nodeFlags: [
      "--address-keep-milliseconds=500",
      `--key-freshness-milliseconds=${FRESHNESS_MILLISECONDS}`,
    ],
  });
  t.teardown(() => deployment.stop());
  await runCommand(deployment, ["apply", LAYOUTS.atbr.declaration]);
  const keys = [
    await runCommand(deployment, ["key", "give", ORGANISATION]),
    await runCommand(deployment, ["key", "give", ORGANISATION]),
  ] as const;
  for (const node of [0, 1, 2]) {
    const name = `first-${node}`;
    await waitUntil(async () =>
      (await sendOrder(deployment, { node, key: keys[0], name })).status === 200
    );
  }

  t.log(
    "a call with an idempotency key does not run while the table is down, then runs once",
  );
  await setFault(deployment.platformAddress, { path: "/table", fault: "down" });
  const refused = await sendOrder(deployment, {
    node: 0,
    key: keys[0],
    name: "a",
  });
  t.like(refused, { status: 503, error: "platformUnavailable", ran: "notRun" });
  t.is(await countOrders(deployment, "a"), 0);
  await clearFaults(deployment.platformAddress);
  const served = await sendOrder(deployment, {
    node: 1,
    key: keys[0],
    name: "a",
  });
  t.is(served.status, 200);
  // The node responds even if it could not settle the claim in time; until the claim is settled, a
  // repetition gets a conflict.
  await waitUntil(async () => {
    const again = await sendOrder(deployment, {
      node: 2,
      key: keys[0],
      name: "a",
    });
    if (again.status === 409) t.like(again, { error: "conflict" });
    else t.deepEqual([again.status, again.text], [200, served.text]);
    return again.status === 200;
  });
  t.is(await countOrders(deployment, "a"), 1);

  t.log(
    "a node is killed during a call, and the caller retries through the other nodes",
  );
  for (const { address, service } of deployment.servers) {
    if (service !== "comenzi-app") continue;
    const milliseconds = SLOW_MILLISECONDS;
    await setFault(address, { path: "/orders/b", fault: "slow", milliseconds });
  }
  const cut = sendOrder(deployment, { node: 0, key: keys[0], name: "b" });
  await waitUntil(async () => await hasRunningClaim(deployment, "b"));
  await sleep(SLOW_MILLISECONDS / 10);
  await deployment.nodes[0]?.process.end("SIGKILL");
  t.is((await cut).status, 0);
  for (const node of [1, 2]) {
    const retry = await sendOrder(deployment, {
      node,
      key: keys[0],
      name: "b",
    });
    t.like(retry, { status: 409, error: "conflict", ran: "unknown" });
  }
  await deployment.startNode(0);
  await sleep(SLOW_MILLISECONDS);
  t.true(await countOrders(deployment, "b") <= 1);

  t.log("a key is withdrawn while the table is down and a caller streams");
  const stream = readStream(deployment, keys[1]);
  await waitUntil(() => Promise.resolve(stream.text().includes("data:")));
  await setFault(deployment.platformAddress, { path: "/table", fault: "down" });
  const identifier = keys[1].split("_")[1] ?? "";
  await deployment.runCommand(["key", "withdraw", identifier]);
  t.false(await stream.ended);
  t.false(stream.text().includes("[DONE]"));
  await waitUntil(async () => {
    const answers = await Promise.all(
      deployment.nodes.map((_, node) =>
        sendOrder(deployment, { node, key: keys[1], name: "c" })
      ),
    );
    return answers.every(({ status }) => status === 401 || status === 503);
  });
  await clearFaults(deployment.platformAddress);
  await waitUntil(async () => {
    const answers = await Promise.all(
      deployment.nodes.map((_, node) =>
        sendOrder(deployment, { node, key: keys[1], name: "c" })
      ),
    );
    return answers.every(({ error }) => error === "keyWithdrawn");
  });
  t.is(await countOrders(deployment, "c"), 0);
  await waitUntil(async () =>
    (await sendOrder(deployment, { node: 0, key: keys[0], name: "d" }))
      .status ===
      200
  );

  t.log("SIGTERM of each node in turn under load");
  const counts: Counts = { answered: 0, failures: [] };
  const stopping = new AbortController();
  const callers = LAYOUTS.atbr.failureDomains.map((failureDomain) =>
    runCaller(deployment, {
      failureDomain,
      key: keys[0],
      counts,
      signal: stopping.signal,
    })
  );
  for (const [index, node] of [...deployment.nodes].entries()) {
    t.is(await node.process.end("SIGTERM"), 0);
    await deployment.startNode(index);
  }
  stopping.abort();
  await Promise.all(callers);
  t.deepEqual(counts.failures, []);
  t.true(counts.answered > 50, `${counts.answered} answered`);

  t.log("no backend server received a key");
  const logs = await Promise.all(
    deployment.servers.map(({ address }) => readLog(address)),
  );
  for (const key of keys) t.false(logs.join().includes(key.slice(20)));
});

interface OrderResponse {
  readonly status: number;
  readonly error: string;
  readonly ran: string;
  readonly text: string;
}

async function sendOrder(
  deployment: Deployment,
  options: {
    readonly node: number;
    readonly key: string;
    readonly name: string;
  },
): Promise<OrderResponse> {
  const { name, key } = options;
  const address = deployment.nodes[options.node]?.callerAddress ?? "";
  const outcome = await call({
    address,
    method: "POST",
    path: `/orders/${name}`,
    key,
    headers: { "idempotency-key": name },
    body: { name },
  });
  if (outcome.kind === "lost") {
    return { status: 0, error: "", ran: "", text: outcome.reason };
  }
  const { error, ran } = JSON.parse(outcome.text);
  return { status: outcome.status, error, ran, text: outcome.text };
}

// Makes plain calls, orders and streams in turn, through the nodes of an address book, as callers
// do.
async function runCaller(
  deployment: Deployment,
  options: {
    readonly failureDomain: string;
    readonly key: string;
    readonly counts: Counts;
    readonly signal: AbortSignal;
  },
): Promise<void> {
  const { key, counts, failureDomain } = options;
  const seeds = (): ReadonlyArray<string> =>
    deployment.nodes.map((node) => node.callerAddress);
  const book = new AddressBook({ seeds, failureDomain });
  const calls: ReadonlyArray<Omit<CallOptions, "address">> = [
    { method: "GET", path: "/orders/status/1" },
    { method: "POST", path: "/orders/e", key, body: { name: "e" } },
    {
      method: "POST",
      path: "/v1/completions",
      key,
      body: {
        model: "dot-models",
        prompt: "dots",
        max_tokens: 30,
        stream: true,
        class: "interactive",
      },
    },
  ];
  for (let index = 0; !options.signal.aborted; index += 1) {
    const next = calls[index % calls.length];
    if (next === undefined) return;
    const address = await book.choose();
    const failure = findFailure(next.path, await call({ ...next, address }));
    if (failure === undefined) counts.answered += 1;
    else counts.failures.push(failure);
    await sleep(20);
  }
}

function findFailure(path: string, outcome: CallOutcome): string | undefined {
  if (outcome.kind === "lost") return `${path}: ${outcome.reason}`;
  if (outcome.status !== 200) return `${path}: ${outcome.text}`;
  const isCut = path === "/v1/completions" && !outcome.text.includes("[DONE]");
  return isCut ? `${path}: cut stream` : undefined;
}

function readStream(
  deployment: Deployment,
  key: string,
): { readonly text: () => string; readonly ended: Promise<boolean> } {
  let text = "";
  const address = deployment.nodes[1]?.callerAddress ?? "";
  async function read(): Promise<boolean> {
    try {
      const { body } = await request(`http://${address}/v1/completions`, {
        method: "POST",
        headers: {
          "authorization": `Bearer ${key}`,
          "content-type": "application/json",
          "x-deadline-milliseconds": String(LIMIT_MILLISECONDS),
        },
        body: JSON.stringify({
          model: "dot-models",
          prompt: "dots",
          max_tokens: LONG_TOKENS,
          stream: true,
          class: "trainer-rollouts",
        }),
      });
      for await (const chunk of body) text += String(chunk);
      return true;
    } catch {
      return false;
    }
  }
  return { text: () => text, ended: read() };
}

async function runCommand(
  deployment: Deployment,
  commandArguments: ReadonlyArray<string>,
): Promise<string> {
  const { status, output } = await deployment.runCommand(commandArguments);
  if (status !== 0) throw new Error(`${commandArguments.join(" ")}: ${output}`);
  return output.trim().split("\n").at(-1)?.trim() ?? "";
}

async function countOrders(
  deployment: Deployment,
  name: string,
): Promise<number> {
  const servers = deployment.servers.filter(({ service }) =>
    service === "comenzi-app"
  );
  const logs = await Promise.all(
    servers.map(({ address }) => readLog(address)),
  );
  const entries = logs.flatMap((log) =>
    (JSON.parse(log) as {
      readonly requests: ReadonlyArray<{ readonly path: string }>;
    }).requests
  );
  return entries.filter(({ path }) => path === `/orders/${name}`).length;
}

async function hasRunningClaim(
  deployment: Deployment,
  name: string,
): Promise<boolean> {
  const rows = `http://${deployment.platformAddress}/table/claims?prefix=`;
  const { body } = await request(rows);
  const { rows: claims } = await body.json() as {
    readonly rows: ReadonlyArray<
      { readonly key: string; readonly value: string }
    >;
  };
  return claims.some(({ key, value }) =>
    key.endsWith(`/${name}`) && value.includes("running")
  );
}

async function readLog(address: string): Promise<string> {
  const { body } = await request(`http://${address}/log`);
  return await body.text();
}

async function setFault(
  address: string,
  fault: Readonly<Record<string, unknown>>,
): Promise<void> {
  const { body } = await request(`http://${address}/faults`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(fault),
  });
  await body.dump();
}

async function clearFaults(address: string): Promise<void> {
  const { body } = await request(`http://${address}/faults`, {
    method: "DELETE",
  });
  await body.dump();
}

async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
  const end = performance.now() + LIMIT_MILLISECONDS;
  while (performance.now() < end) {
    if (await condition()) return;
    await sleep(50);
  }
  throw new Error(`The condition was not met within ${LIMIT_MILLISECONDS} ms`);
}
