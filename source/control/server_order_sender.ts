import type { OrderIntent } from "../../generated/snipepath/v1/records_pb.ts";
import type {
  OrderResult,
  OrdersClient,
  ServerOrder,
} from "../platform/orders_client.ts";
import type { SendOrder, SendOutcome } from "./order_ledger.ts";

type AcceptedOrder = Extract<OrderResult, { readonly kind: "accepted" }>;

/**
 * Creates the callback that sends orders for backend servers to the platform.
 * @param orders - The platform's interface.
 * @example
 * ```ts
 * const send = createServerOrderSender(context.platform.orders);
 * const ledger = new OrderLedger({ context, lease, resend: send });
 * ```
 */
export function createServerOrderSender(
  orders: OrdersClient,
): SendOrder<AcceptedOrder> {
  return async ({ order, mayStart }) => {
    const outcome = await orders.place(toServerOrder(order), mayStart);
    if (outcome.kind !== "ok") return outcome;
    const sent = OUTCOMES[outcome.value.kind](outcome.value as never);
    const isStarted = sent.kind === "done" && order.operation === "start";
    return isStarted ? { ...sent, server: sent.result.server } : sent;
  };
}

const OUTCOMES: {
  readonly [Kind in OrderResult["kind"]]: (
    result: Extract<OrderResult, { readonly kind: Kind }>,
  ) => SendOutcome<AcceptedOrder>;
} = {
  accepted: (result) => ({ kind: "done", result }),
  noCapacity: () => ({ kind: "refused", reason: "noCapacity" }),
  fenced: ({ highest }) => ({
    kind: "refused",
    reason: `The platform has seen fencing number ${highest}`,
  }),
};

function toServerOrder(intent: OrderIntent): ServerOrder {
  return {
    idempotencyKey: intent.idempotencyKey,
    fencingNumber: Number(intent.fencingNumber),
    operation: intent.operation === "stop" ? "stop" : "start",
    service: intent.service,
    failureDomain: intent.failureDomain,
    tier: intent.tier === "cheap" ? "cheap" : "steady",
    server: intent.server,
  };
}
