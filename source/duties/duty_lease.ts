import type { LeaseKeeper } from "../control/lease_keeper.ts";
import type { DutyHolder } from "./duty_client.ts";

/** Tells whether this node may act now, and under which fencing number. */
export class DutyLease {
  readonly #keeper: LeaseKeeper;
  readonly #node: string;

  /**
   * @param keeper - The lease.
   * @param node - Name of this node.
   */
  constructor(keeper: LeaseKeeper, node: string) {
    this.#keeper = keeper;
    this.#node = node;
  }

  /** Returns the right to act; undefined while another node has it. */
  ifHeld(): DutyHolder | undefined {
    const held = this.#keeper.ifHeld();
    if (held === undefined) return undefined;
    return { holder: this.#node, fencingNumber: held.fencingNumber };
  }

  /** Whether an act under a fencing number may still leave this node. */
  mayAct(duty: DutyHolder): boolean {
    return this.ifHeld()?.fencingNumber === duty.fencingNumber;
  }
}
