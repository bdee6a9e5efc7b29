/** Identifies an order and the backend server that it affects. */
export interface OrderTarget {
  readonly idempotencyKey: string;
  readonly operation: string;
  /** Address of the backend server. */
  readonly server?: string;
}

interface InFlightOrder {
  readonly order: OrderTarget;
  outcome: Promise<unknown> | undefined;
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
    execute: () => Promise<Outcome>,
  ): Promise<Outcome> {
    const entry: InFlightOrder = {
      order,
      outcome: undefined,
      isSending: false,
    };
    this.#orders.set(order.idempotencyKey, entry);
    const outcome = execute().finally(() =>
      this.#orders.delete(order.idempotencyKey)
    );
    entry.outcome = outcome;
    return outcome;
  }

  /**
   * Marks an order as being sent; returns false, without marking it, while another order with the
   * same target is being sent.
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
 * Returns whether two different orders perform the same operation on the same backend server;
 * always false for start orders.
 */
export function hasSameTarget(
  older: OrderTarget,
  newer: OrderTarget,
): boolean {
  return newer.operation !== "start" &&
    older.idempotencyKey !== newer.idempotencyKey &&
    older.operation === newer.operation && older.server === newer.server;
}
