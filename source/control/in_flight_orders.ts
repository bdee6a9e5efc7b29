/** Identifies an order and the backend server that it affects. */
export interface OrderTarget {
  readonly idempotencyKey: string;
  readonly operation: string;
  /** Address of the backend server. */
  readonly server?: string;
}

interface InFlightOrder {
  readonly order: OrderTarget;
  /** Undefined while `execute` starts the order. */
  outcome: Promise<unknown> | undefined;
  /** Whether `startSending` has marked the order. */
  isSending: boolean;
}

/** Orders that this process is executing. */
export class InFlightOrders {
  /** Orders in flight, by idempotency key. */
  readonly #orders = new Map<string, InFlightOrder>();

  /** Returns the pending outcome of the order with an idempotency key; undefined when none is in flight. */
  find(idempotencyKey: string): Promise<unknown> | undefined {
    return this.#orders.get(idempotencyKey)?.outcome;
  }

  /** Executes an order and tracks it until it has an outcome. */
  execute<Outcome>(
    order: OrderTarget,
    run: () => Promise<Outcome>,
  ): Promise<Outcome> {
    const entry: InFlightOrder = {
      order,
      outcome: undefined,
      isSending: false,
    };
    this.#orders.set(order.idempotencyKey, entry);
    const outcome = run().finally(() =>
      this.#orders.delete(order.idempotencyKey)
    );
    entry.outcome = outcome;
    return outcome;
  }

  /**
   * Marks an order as being sent; returns false, without marking it, when the order is not in flight
   * or another order with the same target is being sent.
   */
  startSending(order: OrderTarget): boolean {
    const isOtherSending = [...this.#orders.values()].some((other) =>
      other.isSending && hasSameTarget(other.order, order)
    );
    const own = this.#orders.get(order.idempotencyKey);
    if (isOtherSending || own === undefined) return false;
    own.isSending = true;
    return true;
  }
}

/**
 * Returns whether two orders with different idempotency keys perform the same operation on the same
 * backend server; always false for start orders.
 */
export function hasSameTarget(
  older: OrderTarget,
  newer: OrderTarget,
): boolean {
  return newer.operation !== "start" &&
    older.idempotencyKey !== newer.idempotencyKey &&
    older.operation === newer.operation && older.server === newer.server;
}
