import type { IncomingMessage, ServerResponse } from "node:http";
import { RequestLimit } from "./request_limit.ts";
import { type StartedServer, startHttpServer } from "./start_http_server.ts";

/** Options of a stand-in for an engine of the users. */
export interface UsersEngineOptions {
  identifier: string;
  /** Version of the engine's software, which each event names. */
  softwareVersion: string;
  /** Start of the process that the engine reports, in milliseconds since the Unix epoch; 1 if absent. */
  startedAt?: number;
  /** Number of events in each stream. */
  readonly events: number;
  readonly millisecondsPerEvent: number;
  /** Weight versions by model, which orders change. */
  readonly versions: Map<string, number>;
  /** Whether the connection is destroyed in the middle of the second event of the next stream. */
  failsNextStream?: boolean;
  /** Whether all answers say that the engine is about to stop; the engine serves on. */
  isLeaving?: boolean;
}

/** A run that the engine received. */
export interface ReceivedRun {
  readonly request: string;
  readonly organisation: string | undefined;
  readonly afterEvent: number | undefined;
  /** Weight version of the run's model when the run arrived; undefined if it names no loaded one. */
  readonly weightVersion: number | undefined;
}

/** A running stand-in for an engine of the users. */
export interface UsersEngine extends StartedServer {
  readonly options: UsersEngineOptions;
  readonly runs: ReadonlyArray<ReceivedRun>;
  readonly limit: RequestLimit;
}

/** Starts a stand-in for an engine of the users that implements their HTTP protocol. */
export async function startUsersEngine(
  options: UsersEngineOptions,
): Promise<UsersEngine> {
  const runs: ReceivedRun[] = [];
  const limit = new RequestLimit();
  let acceptedOrders = 0;
  const server = await startHttpServer(async (request, response, body) => {
    if (!limit.admit(request, response)) return;
    if (options.isLeaving === true) response.setHeader("server-leaving", "1");
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== options.identifier) {
      response.writeHead(421, { "not-executed": "1" }).end();
    } else if (request.url === "/-/report") {
      const models = [...options.versions].map(([name, version]) => ({
        name,
        version,
      }));
      response.end(
        JSON.stringify({
          models,
          busy: false,
          seq: acceptedOrders,
          born: options.startedAt ?? 1,
        }),
      );
    } else if (request.url === "/-/order") {
      const order = JSON.parse(body.toString());
      if (order.expected !== acceptedOrders) {
        return void response.writeHead(409).end();
      }
      acceptedOrders += 1;
      options.versions.set(order.model, order.version);
      response.writeHead(202).end();
    } else {
      runs.push(describeRun(request, options));
      await sendEvents(request, response, options);
    }
  });
  return { ...server, options, runs, limit };
}

function describeRun(
  request: IncomingMessage,
  { versions }: UsersEngineOptions,
): ReceivedRun {
  const { headers } = request;
  const after = headers["last-event-id"];
  return {
    request: String(headers["request-id"]),
    organisation: headers["tenant"] as string | undefined,
    afterEvent: after === undefined ? undefined : Number(after),
    weightVersion: versions.get(String(headers["model"])),
  };
}

async function sendEvents(
  request: IncomingMessage,
  response: ServerResponse,
  options: UsersEngineOptions,
): Promise<void> {
  const { headers } = request;
  const version = options.versions.get(String(headers["model"])) ?? 1;
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "request-id": String(headers["request-id"]),
    "server-stamp": `signed by ${options.identifier}`,
    "weight-versions": String(version),
  });
  const isFailing = options.failsNextStream === true;
  options.failsNextStream = false;
  const first = Number(headers["last-event-id"] ?? 0) + 1;
  for (let event = first; event <= options.events; event += 1) {
    await wait(options.millisecondsPerEvent);
    if (response.destroyed) return;
    if (isFailing && event === first + 1) {
      response.write(`id: ${event}\nda`, () => response.destroy());
      return;
    }
    response.write(
      `id: ${event}\ndata: part ${event} by ${options.softwareVersion}\n\n`,
    );
  }
  response.end();
}

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
