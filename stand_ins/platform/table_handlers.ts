import type { Transaction } from "../../source/platform/table_client.ts";
import {
  notFound,
  ok,
  parseBody,
  type PlatformAnswer,
  type PlatformRequest,
} from "./platform_exchange.ts";

/** Serves `GET /table/T/K` and `GET /table/T?prefix=&after=&maximum=`. */
export function readTable(request: PlatformRequest): PlatformAnswer {
  const [table = "", ...rest] = request.parts;
  if (rest.length === 0) return listRows(request, table);
  const row = request.state.table.get(table, rest.join("/"));
  return row === undefined ? notFound() : ok(row);
}

/** Serves `POST /table` with a transaction. */
export function commitTransaction(request: PlatformRequest): PlatformAnswer {
  const result = request.state.table.commit(parseBody<Transaction>(request));
  if (result.kind === "committed") return ok({ versions: result.versions });
  return { status: 409, body: { table: result.table, key: result.key } };
}

function listRows(request: PlatformRequest, table: string): PlatformAnswer {
  const query = request.url.searchParams;
  const after = query.get("after");
  const maximum = query.get("maximum");
  const rows = request.state.table.list(table, {
    prefix: query.get("prefix") ?? "",
    ...(after !== null && { after }),
    ...(maximum !== null && { maximum: Number(maximum) }),
  });
  return ok({ rows });
}
