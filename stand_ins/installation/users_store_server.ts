import type { IncomingMessage, ServerResponse } from "node:http";
import type { RowLocation } from "../../source/platform/durable_table.ts";
import type { MemoryDurableTable } from "./memory_durable_table.ts";
import { type StartedServer, startHttpServer } from "./start_http_server.ts";

/** Location of a row in the HTTP protocol of the users' store. */
interface WireRowLocation {
  readonly table: string;
  readonly part?: string;
  readonly key: string;
}

/**
 * Starts a stand-in for the users' store that implements their HTTP protocol.
 * @param table - Rows of the store, whose faults become status 503 or a destroyed connection.
 */
export function startUsersStore(
  table: MemoryDurableTable,
): Promise<StartedServer> {
  return startHttpServer(async (request, response, body) => {
    const url = new URL(request.url ?? "/", "http://store");
    const handler = HANDLERS[`${request.method} ${url.pathname}`];
    if (handler === undefined) return void response.writeHead(400).end();
    await handler({ table, query: url.searchParams, body, request, response });
  });
}

interface StoreCall {
  readonly table: MemoryDurableTable;
  readonly query: URLSearchParams;
  readonly body: Buffer;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

const HANDLERS: Readonly<
  Record<string, ((call: StoreCall) => Promise<void>) | undefined>
> = {
  "GET /-/rows-get": async ({ table, query, response }) => {
    const outcome = await table.read(query.get("table") ?? "", {
      partition: query.get("part") ?? "",
      ...optional("from", query.get("from")),
      ...optional("to", query.get("to")),
    });
    if (outcome.kind !== "ok") return sendFailure(outcome.kind, response);
    const { rows, hasMore, version } = outcome.value;
    sendJson(response, {
      rows: rows.map(writeRow),
      "has_more": hasMore,
      "schema_ver": version,
      "now_ms": readSteadyTime(),
    });
  },
  "GET /-/rows-feed": async ({ table, query, response }) => {
    const outcome = await table.follow(query.get("table") ?? "", {
      after: Number(query.get("after")),
      waitMilliseconds: Number(query.get("wait_ms")),
    });
    if (outcome.kind !== "ok") return sendFailure(outcome.kind, response);
    if (outcome.value.kind === "expired") {
      return void response.writeHead(410).end();
    }
    const { changes, version } = outcome.value;
    const rows = changes.map((change) =>
      change.isDeleted
        ? { ...writeRow(change), deleted: true }
        : writeRow(change)
    );
    sendJson(response, {
      rows,
      "schema_ver": version,
      "now_ms": readSteadyTime(),
    });
  },
  "POST /-/rows-tx": async ({ table, body, response }) => {
    const call = JSON.parse(body.toString()) as {
      readonly expected: ReadonlyArray<
        WireRowLocation & { "schema_ver": number }
      >;
      readonly puts: ReadonlyArray<WireRowLocation & { value: string }>;
      readonly deletes: ReadonlyArray<WireRowLocation>;
    };
    const outcome = await table.commit({
      conditions: call.expected.map((location) => ({
        ...readLocation(location),
        version: location["schema_ver"],
      })),
      puts: call.puts.map((put) => ({
        ...readLocation(put),
        value: Buffer.from(put.value, "base64"),
      })),
      deletes: call.deletes.map(readLocation),
    });
    if (outcome.kind !== "ok") return sendFailure(outcome.kind, response);
    if (outcome.value.kind === "conflict") {
      return sendJson(
        response,
        { rows: outcome.value.rows.map(writeRow) },
        412,
      );
    }
    sendJson(response, {
      "schema_ver": outcome.value.version,
      "now_ms": readSteadyTime(),
    });
  },
};

// Nodes derive the time on which they agree from the store's steady time.
function readSteadyTime(): number {
  return Math.round(performance.now());
}

function sendFailure(
  kind: "notRun" | "unknown",
  response: ServerResponse,
): void {
  if (kind === "notRun") response.writeHead(503).end();
  else response.destroy();
}

function sendJson(
  response: ServerResponse,
  value: unknown,
  status = 200,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}

function readLocation({ table, part = "", key }: WireRowLocation): RowLocation {
  return { table, partition: part, key };
}

function writeRow(
  row: RowLocation & { readonly value: Buffer; readonly version: number },
): Readonly<Record<string, string | number>> {
  return {
    table: row.table,
    part: row.partition,
    key: row.key,
    value: row.value.toString("base64"),
    "schema_ver": row.version,
  };
}

function optional(
  name: "from" | "to",
  value: string | null,
): { from?: string; to?: string } {
  return value === null ? {} : { [name]: value };
}
