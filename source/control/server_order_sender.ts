import type { OrderIntent } from "../../generated/snipepath/v1/records_pb.ts";
import type {
  OrderResult,
  OrdersClient,
  ServerOrder,
} from "../platform/orders_client.ts";
import type { SendOrder, SendOutcome } from "./order_executor.ts";

type AcceptedOrder = Extract<OrderResult, { readonly kind: "accepted" }>;

/**
 * Creates a callback that sends orders to start or stop backend servers to the platform.
 * @param orders - Client of the platform's orders interface.
 * @example
 * ```ts
 * const send = createServerOrderSender(context.platform.orders);
 * const executor = new OrderExecutor({ context, lease, resend: send });
 * ```
 */
export function createServerOrderSender(
  orders: OrdersClient,
): SendOrder<AcceptedOrder> {
  return async ({ order, mayStart }) => {
    const outcome = await orders.place(toServerOrder(order), mayStart);
    if (outcome.kind !== "ok") return outcome;
    const sendOutcome = OUTCOMES[outcome.value.kind](outcome.value as never);
    const isStarted = sendOutcome.kind === "done" &&
      order.operation === "start";
    return isStarted
      ? { ...sendOutcome, server: sendOutcome.result.server }
      : sendOutcome;
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
    reason: `The platform has already received fencing number ${highest}`,
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
