// deno-lint-ignore-file explicit-function-return-type
import { sleep } from "./client.mjs";
import { startServer } from "./server.mjs";

/** Number of requests that an engine queues beyond its slots before it sheds. */
const QUEUE = 24;
/** Time that a change of weights takes. */
const LOAD_MILLISECONDS = 900;

/**
 * Starts a stand-in for an engine, of models or of a plain service, that follows the users' protocol:
 * slots, a short queue, reports, orders of weights, `Expect-Instance` and resumed streams.
 *
 * Options: `identifier`, `ip`, `slots`, `models` (version by model; absent for a plain service),
 * `namedVersions` (newest version by model), `toPlan` (for a run: the number of its events, the time of
 * one in milliseconds and the time until the first one) and `answer` (for a plain service).
 */
export async function startEngine(record, options) {
  const { identifier, ip, slots = 8, models = new Map(), namedVersions } =
    options;
  const engine = {
    identifier,
    slots,
    models,
    running: 0,
    accepted: 0,
    fence: 0,
  };
  const waiting = [];
  let loading;

  const refuse = (response, status, request) => {
    const headers = { "not-executed": "1", "instance-id": identifier };
    const name = request.headers["request-id"];
    if (name !== undefined) headers["request-id"] = name;
    response.writeHead(status, headers).end();
  };

  const takeOrder = (response, order) => {
    if (order.operation !== "version" || order.holder === undefined) {
      return response.writeHead(400).end();
    }
    if (order.fence < engine.fence) return response.writeHead(412).end();
    engine.fence = order.fence;
    const isNamed = order.version <= (namedVersions.get(order.model) ?? 1);
    if (!isNamed) return response.writeHead(400).end();
    if (models.get(order.model) === order.version) {
      return response.writeHead(200).end();
    }
    const isLate = order.expected !== undefined &&
      order.expected !== engine.accepted;
    if (loading !== undefined || isLate) return response.writeHead(409).end();
    engine.accepted += 1;
    loading = order.model;
    record.add(
      `${identifier} takes the order ${order.model} version ${order.version}`,
    );
    response.writeHead(202).end();
    setTimeout(() => {
      models.set(order.model, order.version);
      loading = undefined;
      record.add(`${identifier} has ${order.model} version ${order.version}`);
    }, LOAD_MILLISECONDS);
  };

  const report = (response) => {
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({
      stage: "both",
      models: listModels(models),
      busy: loading !== undefined,
      seq: engine.accepted,
      "num_waiting": waiting.length,
      "num_running": engine.running,
      "kv_used": 0,
      "kv_total": 46180,
      handles: 0,
      born: engine.born,
    }));
  };

  const server = await startServer(ip, async (request, response, body) => {
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== identifier) {
      return refuse(response, 421, request);
    }
    if (request.url === "/health") {
      return response.writeHead(200, { "instance-id": identifier }).end();
    }
    if (request.url === "/-/report") return report(response);
    if (request.url === "/-/order") {
      return takeOrder(response, JSON.parse(body.toString()));
    }
    if (request.headers["request-id"] === undefined) {
      return refuse(response, 400, request);
    }
    const { model } = request.headers;
    if (loading !== undefined && loading === model) {
      return refuse(response, 503, request);
    }
    if (engine.running >= slots) {
      if (waiting.length >= QUEUE) return refuse(response, 503, request);
      await new Promise((resolve) => waiting.push(resolve));
      if (response.destroyed) return waiting.shift()?.();
    }
    engine.running += 1;
    try {
      if (options.answer === undefined) {
        await generate(record, { engine, request, response, options });
      } else await options.answer(request, response, body);
    } finally {
      engine.running -= 1;
      waiting.shift()?.();
    }
  });
  engine.born = Date.now();
  return Object.assign(engine, server);
}

/** Lists models as reports and rows do. */
export function listModels(models) {
  return [...models].map(([name, version]) => ({
    name,
    version,
    adapters: [],
  }));
}

// Generates a stream of events; the version of each is the one that the engine has at that moment.
async function generate(record, { engine, request, response, options }) {
  const { headers } = request;
  const name = headers["request-id"];
  const { model } = headers;
  const after = Number(headers["last-event-id"] ?? 0);
  const plan = options.toPlan(name);
  const log = `${engine.identifier} ${name}`;
  let version = engine.models.get(model);
  record.add(`${log} arrives after event ${after}, ${model} ${version}`);
  await sleep(plan.firstMilliseconds ?? plan.eventMilliseconds);
  if (response.destroyed) return record.add(`${log} dropped before an event`);
  version = engine.models.get(model);
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "request-id": name,
    "server-stamp": `stamp.${engine.identifier}.${name}`,
    "weight-versions": String(version),
  });
  for (let event = after + 1; event <= plan.events; event += 1) {
    const now = engine.models.get(model);
    const line = now === version ? "" : `weight-versions: ${now}\n`;
    version = now;
    response.write(
      `${line}id: ${event}\ndata: ${name} part ${event} made under ${model} ${version}\n\n`,
    );
    if (event === after + 1) {
      record.add(`${log} makes event ${event} under ${model} ${version}`);
    }
    await sleep(plan.eventMilliseconds);
    if (response.destroyed) {
      return record.add(`${log} dropped after event ${event}`);
    }
  }
  response.end();
  record.add(`${log} ends at event ${plan.events} under ${model} ${version}`);
}
