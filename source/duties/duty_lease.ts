import type { LeaseKeeper } from "../control/lease_keeper.ts";
import type { DutyHolder } from "./duty_client.ts";

/** The lease that allows one node at a time to perform the platform duties. */
export class DutyLease {
  readonly #keeper: LeaseKeeper;
  readonly #node: string;

  /**
   * @param keeper - Acquires and renews the lease.
   * @param node - Name of this node.
   */
  constructor(keeper: LeaseKeeper, node: string) {
    this.#keeper = keeper;
    this.#node = node;
  }

  /** Returns this node and its fencing number; undefined while this node does not hold the lease. */
  ifHeld(): DutyHolder | undefined {
    const held = this.#keeper.ifHeld();
    if (held === undefined) return undefined;
    return { holder: this.#node, fencingNumber: held.fencingNumber };
  }

  /** Whether this node still holds the lease under the given fencing number. */
  isStillHeld(duty: DutyHolder): boolean {
    return this.ifHeld()?.fencingNumber === duty.fencingNumber;
  }
}
