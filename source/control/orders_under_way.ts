/** What an order is about. */
export interface OrderTarget {
  readonly idempotencyKey: string;
  readonly operation: string;
  /** Address of a backend server. */
  readonly server?: string;
}

interface OrderUnderWay {
  readonly order: OrderTarget;
  outcome: Promise<unknown> | undefined;
  isSending: boolean;
}

/** Orders that this process is giving now. */
export class OrdersUnderWay {
  readonly #orders = new Map<string, OrderUnderWay>();

  /** Returns the outcome of the order with an idempotency key; undefined when it is not under way. */
  find(idempotencyKey: string): Promise<unknown> | undefined {
    return this.#orders.get(idempotencyKey)?.outcome;
  }

  /** Keeps an order until its outcome is there. */
  track<Outcome>(
    order: OrderTarget,
    give: () => Promise<Outcome>,
  ): Promise<Outcome> {
    const entry: OrderUnderWay = {
      order,
      outcome: undefined,
      isSending: false,
    };
    this.#orders.set(order.idempotencyKey, entry);
    const outcome = give().finally(() =>
      this.#orders.delete(order.idempotencyKey)
    );
    entry.outcome = outcome;
    return outcome;
  }

  /** Notes that an order may be sent from now on; false when another about its server may be. */
  startSending(order: OrderTarget): boolean {
    const isOtherSending = [...this.#orders.values()].some((other) =>
      other.isSending && isAboutSameServer(other.order, order)
    );
    const own = this.#orders.get(order.idempotencyKey);
    if (isOtherSending || own === undefined) return false;
    own.isSending = true;
    return true;
  }
}

/** Tells whether two different orders do the same to the same backend server. */
export function isAboutSameServer(
  older: OrderTarget,
  newer: OrderTarget,
): boolean {
  return newer.operation !== "start" &&
    older.idempotencyKey !== newer.idempotencyKey &&
    older.operation === newer.operation && older.server === newer.server;
}
