import {
  asObject,
  readAnswer,
  readArray,
  readJson,
  readNotFound,
  toFailure,
} from "./platform_answer.ts";
import type { PlatformConnection } from "./platform_connection.ts";
import type { PlatformOutcome } from "./platform_outcome.ts";
import type {
  Row,
  RowRange,
  TableClient,
  Transaction,
  TransactionResult,
} from "./table_client.ts";

/** Client of the platform's table service over HTTP and JSON. */
export class HttpTableClient implements TableClient {
  readonly #connection: PlatformConnection;

  /** @param connection - Pool of connections to the platform. */
  constructor(connection: PlatformConnection) {
    this.#connection = connection;
  }

  /** Reads a row; undefined when it is absent. */
  async get(
    table: string,
    key: string,
  ): Promise<PlatformOutcome<Row | undefined>> {
    const path = `/table/${encodeURIComponent(table)}/${encodePath(key)}`;
    const outcome = await this.#connection.call({ method: "GET", path });
    if (outcome.kind === "ok" && outcome.value.status === 404) {
      return readNotFound(outcome.value);
    }
    return readAnswer(outcome, (json) => {
      const row = readRow(json);
      return row?.key === key ? row : undefined;
    });
  }

  /** Lists rows in key order. */
  async list(
    table: string,
    range: RowRange,
  ): Promise<PlatformOutcome<ReadonlyArray<Row>>> {
    const query = new URLSearchParams({ prefix: range.prefix });
    if (range.after !== undefined) query.set("after", range.after);
    if (range.maximum !== undefined) {
      query.set("maximum", String(range.maximum));
    }
    const path = `/table/${encodeURIComponent(table)}?${query}`;
    const outcome = await this.#connection.call({ method: "GET", path });
    return readAnswer(
      outcome,
      (json) => readArray(asObject(json)?.["rows"], readRow),
    );
  }

  /** Commits a transaction, or returns the row whose condition did not hold. */
  async commit(
    transaction: Transaction,
  ): Promise<PlatformOutcome<TransactionResult>> {
    const outcome = await this.#connection.call({
      method: "POST",
      path: "/table",
      body: JSON.stringify(transaction),
    });
    if (outcome.kind !== "ok") return outcome;
    if (outcome.value.status === 409) {
      return readJson(outcome.value, readConflict);
    }
    if (outcome.value.status !== 200) return toFailure(outcome.value);
    return readJson(
      outcome.value,
      (json) => readCommitted(json, transaction.writes.length),
    );
  }
}

/** Encodes a key for use in a URL path and leaves its slashes as they are. */
export function encodePath(key: string): string {
  return key.split("/").map(encodeURIComponent).join("/");
}

function readRow(json: unknown): Row | undefined {
  const row = asObject(json);
  if (row === undefined) return undefined;
  const { key, value, version } = row;
  if (typeof key !== "string" || typeof value !== "string") return undefined;
  if (typeof version !== "number") return undefined;
  return { key, value, version };
}

function readConflict(json: unknown): TransactionResult | undefined {
  const conflict = asObject(json);
  if (typeof conflict?.["table"] !== "string") return undefined;
  if (typeof conflict["key"] !== "string") return undefined;
  return { kind: "conflict", table: conflict["table"], key: conflict["key"] };
}

function readCommitted(
  json: unknown,
  writeCount: number,
): TransactionResult | undefined {
  const versions = readArray(
    asObject(json)?.["versions"],
    (version) => typeof version === "number" ? version : undefined,
  );
  if (versions === undefined || versions.length !== writeCount) {
    return undefined;
  }
  return { kind: "committed", versions };
}
