// deno-lint-ignore-file explicit-function-return-type
// Servers that are full for a moment refuse a call that may run once at most. One of them sends its
// refusal a second time, late, at the point where the next answer on the channel is expected.
import { call, sleep } from "../harness/client.mjs";
import { runCase } from "../harness/run_case.mjs";
import { startServer } from "../harness/server.mjs";

const SERVERS = 3;
const SLOTS = 2;
/** Requests that a server queues beyond its slots before it refuses more. */
const QUEUE = 2;
const WORK_MILLISECONDS = 150;
const ONCE_PREFIX = "/lohu930/";
const PREFIX = "/pufi791/";
const MAXIMUM_ROUNDS = 12;
/** Calls before each round, so that one late answer is far below 3 in 100 of the answers. */
const ORDINARY_CALLS = 60;
/** Time after the start of a burst at which the call is sent. */
const SENT_AFTER_MILLISECONDS = 40;

const ROUTE = {
  "timeout_ms": 3000,
  "target_latency_ms": 800,
  priority: 2,
  service: "orders",
};
const CONFIGURATION = {
  version: 1,
  routes: [
    {
      ...ROUTE,
      name: "r-once",
      prefix: ONCE_PREFIX,
      kind: "non_idempotent",
      "max_attempts": 1,
    },
    {
      ...ROUTE,
      name: "r-calls",
      prefix: PREFIX,
      kind: "idempotent",
      "max_attempts": 2,
    },
  ],
  services: [{ name: "orders" }],
};

// A server with slots and a short queue. A request runs when its work begins. `toLateAnswer` returns an
// answer to send before the one to a request, or undefined.
async function startOrderServer(record, { identifier, runs, toLateAnswer }) {
  let running = 0;
  let answers = 0;
  const waiting = [];
  const server = await startServer("127.0.0.1", async (request, response) => {
    const name = request.headers["request-id"];
    const { socket } = request;
    if (request.headers["expect-instance"] !== identifier) {
      return response.writeHead(421, { "not-executed": "1" }).end();
    }
    if (request.url === "/health") {
      return response.writeHead(200, { "instance-id": identifier }).end();
    }
    answers += 1;
    if (running >= SLOTS && waiting.length >= QUEUE) {
      socket.refused = name;
      record.add(`${identifier} is full and refuses ${name}`);
      return response.writeHead(503, {
        "request-id": name,
        "not-executed": "1",
        "content-length": "0",
      }).end();
    }
    const late = toLateAnswer(socket, name, identifier);
    if (late !== undefined) {
      record.add(`${identifier} sends its refusal of ${name} again, late`);
      socket.write(late);
    }
    if (running >= SLOTS) await new Promise((go) => waiting.push(go));
    running += 1;
    runs.set(name, [...runs.get(name) ?? [], identifier]);
    if (request.url.startsWith(ONCE_PREFIX)) {
      record.add(`${identifier} begins to run ${name}`);
    }
    await sleep(
      request.url.startsWith(`${PREFIX}short`) ? 5 : WORK_MILLISECONDS,
    );
    running -= 1;
    waiting.shift()?.();
    response.writeHead(200, {
      "request-id": name,
      "server-stamp": `stamp.${identifier}.${name}`,
    }).end(`done by ${identifier}`);
  });
  return { identifier, countAnswers: () => answers, ...server };
}

await runCase(
  new URL("./", import.meta.url),
  async ({ deployment, record, hasTrouble }) => {
    await deployment.configure(CONFIGURATION);
    /** Servers that ran a request, by its id. */
    const runs = new Map();
    let lateAnswers = 0;
    /** Whether a server may send one late answer in this round. */
    let mayBeLate = false;
    /** The one server that sends late answers. */
    let lateServer;
    const toLateAnswer = (socket, name, identifier) => {
      if (!mayBeLate || socket.refused !== name) return;
      lateServer ??= identifier;
      if (lateServer !== identifier) return;
      mayBeLate = false;
      lateAnswers += 1;
      return [
        "HTTP/1.1 503 Service Unavailable",
        `Request-Id: ${name}`,
        "Not-Executed: 1",
        "Content-Length: 0",
        "",
        "",
      ].join("\r\n");
    };
    const servers = [];
    for (let number = 1; number <= SERVERS; number += 1) {
      const identifier = `orders-${number}`;
      const server = await startOrderServer(record, {
        identifier,
        runs,
        toLateAnswer,
      });
      servers.push(server);
      await deployment.addServer("orders", { slots: SLOTS, ...server });
    }
    const nodes = await Promise.all(
      ["cluj-a", "iasi-b", "suceava-c"].map((zone, index) =>
        deployment.startNode(`front-${zone}-${index + 1}`, zone)
      ),
    );
    await sleep(3000);
    const [node, ...others] = nodes;
    const headers = { "deadline-ms": "3000" };
    const sent = [];
    const listTwice = () =>
      sent.filter((name) => (runs.get(name) ?? []).length > 1);
    for (
      let round = 0;
      round < MAXIMUM_ROUNDS && listTwice().length === 0;
      round += 1
    ) {
      mayBeLate = hasTrouble;
      for (let index = 0; index < ORDINARY_CALLS; index += 1) {
        await call(nodes[index % nodes.length].front, {
          path: `${PREFIX}short`,
          identifier: `o-${round}-${index}`,
          headers,
        });
      }
      // Consumers of the other nodes send calls at the same moment.
      const burst = others.flatMap((other, place) =>
        Array.from(
          { length: SERVERS * SLOTS },
          (_none, index) =>
            call(other.front, {
              path: `${PREFIX}long`,
              identifier: `b-${round}-${place}-${index}`,
              headers,
            }),
        )
      );
      await sleep(SENT_AFTER_MILLISECONDS);
      const identifier = `9c41d07be2a35f${round}`;
      record.add(`consumer: sends ${identifier} to ${node.name}`);
      const answer = await call(node.front, {
        path: `${ONCE_PREFIX}2f`,
        identifier,
        headers,
        body: "an order",
      });
      record.add(
        `consumer: ${identifier} is answered ${answer.status} "${answer.body}"`,
      );
      sent.push(identifier);
      await Promise.all(burst);
      await sleep(700);
    }
    const answers = servers.reduce((sum, each) => sum + each.countAnswers(), 0);
    record.add(`late answers: ${lateAnswers}, answers: ${answers}`);
    for (const server of servers) server.close();
    if (hasTrouble && lateAnswers === 0) {
      throw new Error("No server refused the call and then accepted it");
    }
    return listTwice().map((name) =>
      `TWICE: ${name}, which may run once at most, was run by ${
        runs.get(name).join(" and ")
      }`
    );
  },
);
