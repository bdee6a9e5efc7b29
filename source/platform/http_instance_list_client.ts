import { discardValue } from "./http_object_store_client.ts";
import type {
  InstanceListClient,
  ListedInstance,
} from "./instance_list_client.ts";
import {
  asObject,
  type JsonObject,
  readAnswer,
  readArray,
} from "./platform_answer.ts";
import type { PlatformConnection } from "./platform_connection.ts";
import type { PlatformOutcome } from "./platform_outcome.ts";

const TEXT_FIELDS = ["name", "address", "failureDomain", "service"] as const;

/** Client of the platform's instance list over HTTP and JSON. */
export class HttpInstanceListClient implements InstanceListClient {
  readonly #connection: PlatformConnection;

  /** @param connection - Pool of connections to the platform. */
  constructor(connection: PlatformConnection) {
    this.#connection = connection;
  }

  /** Reads the complete list. */
  async list(): Promise<PlatformOutcome<ReadonlyArray<ListedInstance>>> {
    const call = { method: "GET", path: "/instances" } as const;
    const outcome = await this.#connection.call(call);
    return readAnswer(
      outcome,
      (json) => readArray(asObject(json)?.["instances"], readInstance),
    );
  }

  /** Registers this node so that other nodes find it; the node repeats the call as a heartbeat. */
  async register(instance: ListedInstance): Promise<PlatformOutcome<void>> {
    const outcome = await this.#connection.call({
      method: "POST",
      path: "/instances",
      body: JSON.stringify(instance),
    });
    return discardValue(readAnswer(outcome, asObject));
  }
}

function readInstance(json: unknown): ListedInstance | undefined {
  const instance = asObject(json);
  return instance !== undefined && isInstance(instance)
    ? instance as unknown as ListedInstance
    : undefined;
}

function isInstance(instance: JsonObject): boolean {
  const { kind, tier, leaving, microsPerHour } = instance;
  return (kind === "node" || kind === "backendServer") &&
    (tier === "steady" || tier === "cheap") &&
    typeof leaving === "boolean" && typeof microsPerHour === "number" &&
    TEXT_FIELDS.every((field) => typeof instance[field] === "string");
}
