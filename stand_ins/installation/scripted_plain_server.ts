import type { MemoryDurableTable } from "./memory_durable_table.ts";
import { RequestLimit } from "./request_limit.ts";
import { type StartedServer, startHttpServer } from "./start_http_server.ts";

/** How a plain server answers the requests that arrive from now on. */
export interface PlainServerBehaviour {
  /** Status of the answers; 200 if absent. */
  readonly status?: number;
  /** Time until the answer; 0 if absent. */
  readonly milliseconds?: number;
  /** Whether connections are destroyed instead of an answer. */
  readonly isCutting?: boolean;
}

/** A server of the service "plain" whose behaviour a test sets. */
export interface ScriptedPlainServer extends StartedServer {
  readonly failureDomain: string;
  readonly limit: RequestLimit;
  behaviour: PlainServerBehaviour;
}

/** Starts a plain server and registers it in a failure domain. */
export async function startScriptedPlainServer(
  table: MemoryDurableTable,
  { identifier, failureDomain }: {
    readonly identifier: string;
    readonly failureDomain: string;
  },
): Promise<ScriptedPlainServer> {
  const limit = new RequestLimit();
  const server = await startHttpServer(async (request, response) => {
    if (!limit.admit(request, response)) return;
    if (request.url === "/health") return void response.end();
    const { status = 200, milliseconds = 0, isCutting } = started.behaviour;
    if (milliseconds > 0) {
      await new Promise((resolve) => setTimeout(resolve, milliseconds));
    }
    if (isCutting === true) return void response.destroy();
    response.writeHead(status, {
      "request-id": String(request.headers["request-id"]),
      "server-stamp": `signed by ${identifier}`,
    }).end("served");
  });
  const started: ScriptedPlainServer = {
    ...server,
    failureDomain,
    limit,
    behaviour: {},
  };
  await registerPlainServer(table, identifier, {
    address: server.address,
    failureDomain,
  });
  return started;
}

async function registerPlainServer(
  table: MemoryDurableTable,
  identifier: string,
  { address, failureDomain }: {
    readonly address: string;
    readonly failureDomain: string;
  },
): Promise<void> {
  const value = Buffer.from(JSON.stringify({
    service: "plain",
    address,
    zone: failureDomain,
    version: "v1",
    slots: 6,
    state: "ready",
    "cold_remaining_ms": 0,
    models: [],
    seq: 0,
    born: 1,
  }));
  await table.commit({
    conditions: [],
    puts: [{ table: "servers", partition: "", key: identifier, value }],
  });
}
