import type { OrderIntent } from "../../generated/snipepath/v1/records_pb.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { LeaseKeeper } from "./lease_keeper.ts";
import type { OrderIntents } from "./order_intents.ts";
import { isAboutSameServer, type OrderTarget } from "./orders_under_way.ts";

interface UnresolvedOrder {
  readonly intent: OrderIntent;
  /** Monotonic time at which the last send ended, in milliseconds. */
  readonly since: number;
  /** Version of the lease's row then; a write of the intent cannot land under a later one. */
  readonly leaseVersion: number;
}

/** Orders whose effect is unknown. */
export class UnresolvedOrders {
  readonly #context: NodeContext;
  readonly #lease: LeaseKeeper;
  readonly #intents: OrderIntents;
  readonly #orders = new Map<string, UnresolvedOrder>();

  /**
   * @param context - The node.
   * @param options - The lease and the rows of its orders.
   */
  constructor(
    context: NodeContext,
    options: { readonly lease: LeaseKeeper; readonly intents: OrderIntents },
  ) {
    this.#context = context;
    this.#lease = options.lease;
    this.#intents = options.intents;
  }

  /** Returns the orders. */
  intents(): ReadonlyArray<OrderIntent> {
    return [...this.#orders.values()].map(({ intent }) => intent);
  }

  /** Adds an order whose last send, or the writing of its intent, ended without a result. */
  add(intent: OrderIntent): void {
    this.#orders.set(intent.idempotencyKey, {
      intent,
      since: this.#context.clock.monotonic(),
      leaseVersion: this.#lease.ifHeld()?.rowVersion ?? 0,
    });
    this.#context.log.emit("orderUnresolved", {
      lease: this.#lease.name,
      idempotencyKey: intent.idempotencyKey,
    });
  }

  /** Removes an order whose result is known. */
  remove(idempotencyKey: string): void {
    this.#orders.delete(idempotencyKey);
  }

  /** Returns the keys of the orders whose intent can no longer be written late. */
  past(): ReadonlyArray<string> {
    return [...this.#orders.values()]
      .filter((order) => this.#isPast(order))
      .map(({ intent }) => intent.idempotencyKey);
  }

  /** Forgets all. */
  clear(): void {
    this.#orders.clear();
  }

  /**
   * Withdraws the orders that a newer one about the same server makes void.
   * @returns Whether none is left that could still take effect after the newer one.
   */
  async supersede(newer: OrderTarget): Promise<boolean> {
    const older = [...this.#orders.values()].filter(({ intent }) =>
      isAboutSameServer(intent, newer)
    );
    for (const order of older) {
      if (!this.#isPast(order)) return false;
      const { idempotencyKey } = order.intent;
      if (!(await this.#intents.withdraw(idempotencyKey))) return false;
      this.#orders.delete(idempotencyKey);
    }
    return true;
  }

  #isPast(order: UnresolvedOrder): boolean {
    const { clock, settings } = this.#context;
    const age = clock.monotonic() - order.since;
    const leaseVersion = this.#lease.ifHeld()?.rowVersion;
    return age >= settings.orderDeadlineMilliseconds &&
      leaseVersion !== undefined && leaseVersion !== order.leaseVersion;
  }
}
