import type { OrderIntent } from "../../generated/snipepath/v1/records_pb.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { LeaseElector } from "./lease_elector.ts";
import type { OrderIntents } from "./order_intents.ts";
import { hasSameTarget, type OrderTarget } from "./in_flight_orders.ts";

interface UnresolvedOrder {
  readonly intent: OrderIntent;
  /** Monotonic time at which the last send or intent write ended, in milliseconds. */
  readonly since: number;
  /**
   * Version of the lease's row at that time; 0 when the lease was not held. A pending write of the
   * intent cannot commit under a later version.
   */
  readonly leaseVersion: number;
}

/** Orders for which it is unknown whether they took effect. */
export class UnresolvedOrders {
  readonly #context: NodeContext;
  readonly #lease: LeaseElector;
  readonly #intents: OrderIntents;
  /** Unresolved orders, by idempotency key. */
  readonly #orders = new Map<string, UnresolvedOrder>();

  /**
   * @param context - The node context.
   * @param options - The lease and the store of its order intents.
   */
  constructor(
    context: NodeContext,
    options: { readonly lease: LeaseElector; readonly intents: OrderIntents },
  ) {
    this.#context = context;
    this.#lease = options.lease;
    this.#intents = options.intents;
  }

  /** Returns the intents of all unresolved orders. */
  intents(): ReadonlyArray<OrderIntent> {
    return [...this.#orders.values()].map(({ intent }) => intent);
  }

  /** Adds an order whose last send or intent write ended without a known result. */
  add(intent: OrderIntent): void {
    this.#orders.set(intent.idempotencyKey, {
      intent,
      since: this.#context.clock.monotonic(),
      leaseVersion: this.#lease.getHeldLease()?.rowVersion ?? 0,
    });
    this.#context.log.emit("orderUnresolved", {
      lease: this.#lease.name,
      idempotencyKey: intent.idempotencyKey,
    });
  }

  /** Removes an order whose result is now known. */
  remove(idempotencyKey: string): void {
    this.#orders.delete(idempotencyKey);
  }

  /** Returns the idempotency keys of orders whose pending intent write can no longer commit. */
  findExpired(): ReadonlyArray<string> {
    return [...this.#orders.values()]
      .filter((order) => this.#isExpired(order))
      .map(({ intent }) => intent.idempotencyKey);
  }

  /** Removes all orders. */
  clear(): void {
    this.#orders.clear();
  }

  /**
   * Deletes the intents of older orders that a newer order for the same operation and server
   * supersedes.
   * @param newer - The newer order.
   * @returns Whether no older order remains that could still take effect after the newer one.
   */
  async supersede(newer: OrderTarget): Promise<boolean> {
    const older = [...this.#orders.values()].filter(({ intent }) =>
      hasSameTarget(intent, newer)
    );
    for (const order of older) {
      if (!this.#isExpired(order)) return false;
      const { idempotencyKey } = order.intent;
      if (!(await this.#intents.ensureDeleted(idempotencyKey))) return false;
      this.#orders.delete(idempotencyKey);
    }
    return true;
  }

  #isExpired(order: UnresolvedOrder): boolean {
    const { clock, settings } = this.#context;
    const age = clock.monotonic() - order.since;
    const leaseVersion = this.#lease.getHeldLease()?.rowVersion;
    return age >= settings.orderDeadlineMilliseconds &&
      leaseVersion !== undefined && leaseVersion !== order.leaseVersion;
  }
}
