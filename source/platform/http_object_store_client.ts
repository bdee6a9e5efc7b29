import { createHash } from "node:crypto";
import { encodePath } from "./http_table_client.ts";
import type { ObjectStoreClient } from "./object_store_client.ts";
import {
  asObject,
  readAnswer,
  readArray,
  readNotFound,
  toFailure,
} from "./platform_answer.ts";
import type { PlatformConnection } from "./platform_connection.ts";
import type { PlatformOutcome } from "./platform_outcome.ts";

/** Client of the platform's object store over HTTP. */
export class HttpObjectStoreClient implements ObjectStoreClient {
  readonly #connection: PlatformConnection;

  /** @param connection - Pool of connections to the platform. */
  constructor(connection: PlatformConnection) {
    this.#connection = connection;
  }

  /** Writes a complete object, replacing an earlier one. */
  async put(key: string, body: Uint8Array): Promise<PlatformOutcome<void>> {
    const path = objectPath(key);
    const outcome = await this.#connection.call({ method: "PUT", path, body });
    return discardValue(readAnswer(outcome, asObject));
  }

  /** Reads an object; undefined when it is absent. */
  async get(key: string): Promise<PlatformOutcome<Uint8Array | undefined>> {
    const path = objectPath(key);
    const outcome = await this.#connection.call({ method: "GET", path });
    if (outcome.kind !== "ok") return outcome;
    const { status, body, digest } = outcome.value;
    if (status === 404) return readNotFound(outcome.value);
    if (status !== 200) return toFailure(outcome.value);
    if (digest !== computeDigest(body)) {
      return { kind: "unknown", reason: "The object's digest does not match" };
    }
    return { kind: "ok", value: body };
  }

  /** Lists the keys that start with a prefix, in key order. */
  async list(prefix: string): Promise<PlatformOutcome<ReadonlyArray<string>>> {
    const path = `/objects?${new URLSearchParams({ prefix })}`;
    const outcome = await this.#connection.call({ method: "GET", path });
    return readAnswer(
      outcome,
      (json) =>
        readArray(
          asObject(json)?.["keys"],
          (key) => typeof key === "string" ? key : undefined,
        ),
    );
  }

  /** Deletes an object; succeeds when it is absent. */
  async delete(key: string): Promise<PlatformOutcome<void>> {
    const path = objectPath(key);
    const outcome = await this.#connection.call({ method: "DELETE", path });
    return discardValue(readAnswer(outcome, asObject));
  }
}

/** Discards the value of a successful outcome, such as an empty confirmation. */
export function discardValue(
  outcome: PlatformOutcome<unknown>,
): PlatformOutcome<void> {
  return outcome.kind === "ok" ? { kind: "ok", value: undefined } : outcome;
}

function computeDigest(body: Uint8Array): string {
  return `sha-256=:${createHash("sha256").update(body).digest("base64")}:`;
}

function objectPath(key: string): string {
  return `/objects/${encodePath(key)}`;
}
