// deno-lint-ignore-file explicit-function-return-type
// A node gets SIGTERM. Consumers that keep its address for three times `ttl_s` send it streams up to 6 s
// later, which end before the route's timeout.
import { call, sleep } from "../harness/client.mjs";
import { runCase } from "../harness/run_case.mjs";
import { BOUNDS, createEngineDescription } from "../harness/settings.mjs";

const MODEL = "m0";
const PREFIX = "/lohu930/";
const EVENTS = 40;
const EVENT_MILLISECONDS = 100;
const TIMEOUT_MILLISECONDS = 10_000;
/** Times after SIGTERM at which consumers send a request, in milliseconds. */
const SENT_AT = [200, 3400, 3900, 4400, 4900, 5400];
/** Requests that were sent no later than this are excused by the rule. */
const EXCUSED_MILLISECONDS = 3000;
/** Factor by which some consumers exceed the time that a response of the directory names. */
const KEPT_FACTOR = 3;

const CONFIGURATION = {
  version: 1,
  routes: [{
    name: "r-streams",
    prefix: PREFIX,
    kind: "streaming",
    resumable: false,
    "timeout_ms": TIMEOUT_MILLISECONDS,
    "target_latency_ms": 500,
    "max_attempts": 1,
    priority: 1,
    sticky: true,
    service: "engines",
  }],
  services: [{
    name: "engines",
    engine: createEngineDescription(8, [MODEL]),
  }],
};

async function resolve(node) {
  const answer = await call(node.directory, {
    method: "GET",
    path: `/-/resolve?name=ficu95.example&region=ro-nord&zone=${node.zone}`,
  });
  return { at: performance.now(), ...JSON.parse(answer.body) };
}

async function stream(record, node, { identifier, sentAt }) {
  let events = 0;
  const answer = await call(node.front, {
    path: `${PREFIX}2f`,
    identifier,
    body: "prompt",
    headers: {
      model: MODEL,
      "token-count": "16,400",
      "prompt-prefix": `${identifier}:16`,
      "deadline-ms": String(TIMEOUT_MILLISECONDS),
    },
    milliseconds: TIMEOUT_MILLISECONDS,
    onData: (chunk) => {
      events += chunk.split("\n\n").length - 1;
    },
  });
  record.add(
    `consumer: ${identifier}, sent ${sentAt} ms after SIGTERM: status ${answer.status}, ${events} events, complete: ${answer.ended}`,
  );
  return { identifier, sentAt, events, ...answer };
}

await runCase(
  new URL("./", import.meta.url),
  async ({ deployment, record, hasTrouble }) => {
    await deployment.configure(CONFIGURATION);
    for (const number of [1, 2, 3]) {
      await deployment.startEngine("engines", {
        identifier: `engine-${number}`,
        models: new Map([[MODEL, 1]]),
        toPlan: () => ({
          events: EVENTS,
          eventMilliseconds: EVENT_MILLISECONDS,
        }),
      });
    }
    const nodes = await Promise.all(
      ["cluj-a", "iasi-b", "suceava-c"].map((zone, index) =>
        deployment.startNode(`front-${zone}-${index + 1}`, zone)
      ),
    );
    await sleep(4000);
    const [node] = nodes;
    const resolved = await resolve(node);
    record.add(
      `directory: ${resolved.addresses.length} addresses, ttl_s ${
        resolved["ttl_s"]
      }`,
    );
    if (!resolved.addresses.includes(node.front)) {
      throw new Error("The directory does not name the node");
    }
    const keptUntil = resolved.at +
      1000 * KEPT_FACTOR * Math.min(resolved["ttl_s"], BOUNDS["ttl_max_s"]);
    if (hasTrouble) {
      node.process.kill("SIGTERM");
      record.add(`${node.name} gets SIGTERM`);
    }
    const startedAt = performance.now();
    const streams = await Promise.all(SENT_AT.map(async (sentAt, index) => {
      await sleep(sentAt - (performance.now() - startedAt));
      if (performance.now() > keptUntil) throw new Error("Address not kept");
      const identifier = `9c41d07be2a35f6${index}`;
      return await stream(record, node, { identifier, sentAt });
    }));
    return streams.filter(({ status, ended, sentAt }) =>
      status === 200 && !ended && sentAt > EXCUSED_MILLISECONDS
    ).map(({ identifier, sentAt, events }) =>
      `LOST: ${identifier}, sent ${sentAt} ms after SIGTERM and passed on to an engine, ended after ${events} of ${EVENTS} events without its end`
    );
  },
);
