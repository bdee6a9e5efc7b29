import type { Transaction } from "../../source/platform/table_client.ts";
import {
  createNotFoundResponse,
  createOkResponse,
  parseBody,
  type PlatformRequest,
  type PlatformResponse,
} from "./platform_exchange.ts";

/** Handles `GET /table/T/K` and `GET /table/T?prefix=&after=&maximum=`. */
export function readTable(request: PlatformRequest): PlatformResponse {
  const [table = "", ...rest] = request.parts;
  if (rest.length === 0) return listRows(request, table);
  const row = request.state.table.get(table, rest.join("/"));
  return row === undefined ? createNotFoundResponse() : createOkResponse(row);
}

/** Handles `POST /table` with a transaction. */
export function commitTransaction(request: PlatformRequest): PlatformResponse {
  const result = request.state.table.commit(parseBody<Transaction>(request));
  if (result.kind === "committed") {
    return createOkResponse({ versions: result.versions });
  }
  return { status: 409, body: { table: result.table, key: result.key } };
}

function listRows(request: PlatformRequest, table: string): PlatformResponse {
  const query = request.url.searchParams;
  const after = query.get("after");
  const maximum = query.get("maximum");
  const rows = request.state.table.list(table, {
    prefix: query.get("prefix") ?? "",
    ...(after !== null && { after }),
    ...(maximum !== null && { maximum: Number(maximum) }),
  });
  return createOkResponse({ rows });
}
