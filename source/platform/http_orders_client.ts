import type {
  OrderResult,
  OrdersClient,
  ServerOrder,
} from "./orders_client.ts";
import { asObject, type JsonObject, readAnswer } from "./platform_answer.ts";
import type { PlatformConnection } from "./platform_connection.ts";
import type { PlatformOutcome } from "./platform_outcome.ts";
import type { SendGuard } from "./send_guard.ts";

type ResultReader = (result: JsonObject) => OrderResult | undefined;

const RESULT_READERS: Readonly<Record<string, ResultReader>> = {
  accepted: ({ server }) =>
    typeof server === "string" ? { kind: "accepted", server } : undefined,
  noCapacity: () => ({ kind: "noCapacity" }),
  fenced: ({ highest }) =>
    typeof highest === "number" ? { kind: "fenced", highest } : undefined,
};

/** Client that orders backend servers over HTTP and JSON. */
export class HttpOrdersClient implements OrdersClient {
  readonly #connection: PlatformConnection;

  /** @param connection - Pool of connections to the platform. */
  constructor(connection: PlatformConnection) {
    this.#connection = connection;
  }

  /** Places an order; a repetition with the same idempotency key returns the first result. */
  async place(
    order: ServerOrder,
    guard?: SendGuard,
  ): Promise<PlatformOutcome<OrderResult>> {
    const outcome = await this.#connection.call({
      method: "POST",
      path: "/orders",
      body: JSON.stringify(order),
      ...(guard && { guard }),
    });
    return readAnswer(outcome, readResult);
  }
}

function readResult(json: unknown): OrderResult | undefined {
  const result = asObject(json);
  if (result === undefined) return undefined;
  return RESULT_READERS[String(result["kind"])]?.(result);
}
