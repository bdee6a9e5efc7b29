import type { PlatformOutcome } from "./platform_outcome.ts";
import type { SendGuard } from "./send_guard.ts";

/** Price tier of a backend server; a cheap one can be reclaimed at a few seconds' notice. */
export type Tier = "steady" | "cheap";

/** An order that starts or stops backend servers. */
export interface ServerOrder {
  readonly idempotencyKey: string;
  readonly fencingNumber: number;
  readonly operation: "start" | "stop";
  readonly service: string;
  readonly failureDomain: string;
  readonly tier: Tier;
  /** Address of the server to stop; empty for a start. */
  readonly server: string;
}

/** Result of an order. */
export type OrderResult =
  | { readonly kind: "accepted"; readonly server: string }
  /** The tier has no capacity in the failure domain now. */
  | { readonly kind: "noCapacity" }
  /** The platform has already received a higher fencing number, which is `highest`. */
  | { readonly kind: "fenced"; readonly highest: number };

/** Client that orders backend servers from the platform by failure domain. */
export interface OrdersClient {
  /** Places an order; a repetition with the same idempotency key returns the first result. */
  place(
    order: ServerOrder,
    guard?: SendGuard,
  ): Promise<PlatformOutcome<OrderResult>>;
}
