import { LeaseElector } from "../../source/control/lease_elector.ts";
import { ManualClock } from "../../source/utilities/manual_clock.ts";
import { createPlatformState } from "../platform/platform_state.ts";
import { ControlNode } from "./control_node.ts";

const STEP_MILLISECONDS = 50;

/** Two nodes that compete for a lease, which the first one holds at the start. */
export class LeaseSimulation {
  /** Clock of both nodes and of the platform. */
  readonly clock = new ManualClock();
  /** What the platform has stored. */
  readonly state = createPlatformState({ clock: this.clock });
  /** The node that holds the lease at the start. */
  readonly first = this.#createNode("node-1");
  /** The node that competes for it. */
  readonly second = this.#createNode("node-2");
  /** Elector of the first node, which a test may replace before the start. */
  firstLease = new LeaseElector({ context: this.first.context, name: "usage" });
  /** Elector of the second node, which a test may replace before the start. */
  secondLease = new LeaseElector({
    context: this.second.context,
    name: "usage",
  });
  /** Successive holders with their fencing numbers, such as "node-1:1". */
  readonly holders: string[] = [];

  /** Starts the first node, and the second one once the first holds the lease. */
  async start(): Promise<void> {
    void this.firstLease.run();
    await this.advance(100);
    void this.secondLease.run();
    await this.advance(100);
  }

  /** Advances the clock; returns the time during which no node held the lease, in milliseconds. */
  async advance(milliseconds: number): Promise<number> {
    let vacant = 0;
    for (
      let elapsed = 0;
      elapsed < milliseconds;
      elapsed += STEP_MILLISECONDS
    ) {
      await this.clock.advance(STEP_MILLISECONDS);
      if (!this.#observe()) vacant += STEP_MILLISECONDS;
    }
    return vacant;
  }

  #observe(): boolean {
    const held = [
      { node: this.first, lease: this.firstLease.getHeldLease() },
      { node: this.second, lease: this.secondLease.getHeldLease() },
    ].filter(({ node, lease }) => lease !== undefined && !node.clock.isStopped);
    const names = held.map(({ node, lease }) =>
      `${node.name}:${lease?.fencingNumber}`
    );
    const holder = names.join(" and ");
    if (holder !== "" && holder !== this.holders.at(-1)) {
      this.holders.push(holder);
    }
    return holder !== "";
  }

  #createNode(name: string): ControlNode {
    return new ControlNode({ name, clock: this.clock, state: this.state });
  }
}
