import type { LeaseElector } from "../control/lease_elector.ts";
import type { DutyHolder } from "./duty_client.ts";

/** Interval at which a node that does not hold the lease checks whether it does. */
const WAITING_CHECK_MILLISECONDS = 500;

/** The lease that allows one node at a time to perform the platform duties. */
export class DutyLease {
  readonly #elector: LeaseElector;
  readonly #node: string;

  /**
   * @param elector - Acquires and renews the lease.
   * @param node - Name of this node.
   */
  constructor(elector: LeaseElector, node: string) {
    this.#elector = elector;
    this.#node = node;
  }

  /**
   * Returns this node's name and the lease's fencing number; undefined while this node does not
   * hold the lease.
   */
  getHeldDuty(): DutyHolder | undefined {
    const held = this.#elector.getHeldLease();
    if (held === undefined) return undefined;
    return { holder: this.#node, fencingNumber: held.fencingNumber };
  }

  /**
   * Returns the time until a duty checks its work again, which is longer while the node does not hold
   * the lease, as most nodes never do.
   * @param milliseconds - The interval while the node holds the lease.
   */
  toCheckInterval(milliseconds: number): number {
    return this.getHeldDuty() === undefined
      ? Math.max(milliseconds, WAITING_CHECK_MILLISECONDS)
      : milliseconds;
  }

  /** Whether this node still holds the lease under the given fencing number. */
  isStillHeld(duty: DutyHolder): boolean {
    return this.getHeldDuty()?.fencingNumber === duty.fencingNumber;
  }
}
