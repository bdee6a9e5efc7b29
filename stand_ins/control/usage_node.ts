import { LeaseKeeper } from "../../source/control/lease_keeper.ts";
import { UsageReporter } from "../../source/control/usage_reporter.ts";
import { UsageTally } from "../../source/control/usage_tally.ts";
import type { ToldState } from "../../source/membership/told_state.ts";
import type { ControlNode } from "./control_node.ts";

/** A node that counts and, while it holds the lease, reports. */
export class UsageNode {
  /** The node's clock, calls and life. */
  readonly node: ControlNode;
  /** What the node hears. */
  readonly told: ToldState;
  /** The lease "usage". */
  readonly lease: LeaseKeeper;
  /** The node's counters. */
  readonly tally: UsageTally;
  /** Requests counted so far. */
  recorded = 0;
  /** Whether the node was killed. */
  isKilled = false;

  /**
   * @param node - The node.
   * @param told - What it tells and hears.
   */
  constructor(node: ControlNode, told: ToldState) {
    this.node = node;
    this.told = told;
    const { context } = node;
    this.lease = new LeaseKeeper({ context, name: "usage" });
    this.tally = new UsageTally({ context, told });
    const { lease, tally } = this;
    void lease.run();
    void tally.run();
    void new UsageReporter({ context, told, tally, lease }).run();
  }

  /** Counts requests unless the node is stopped. */
  record(organisation: string, requests: number): void {
    if (this.isKilled || this.node.clock.isStopped) return;
    this.recorded += requests;
    const figures = {
      requests,
      promptTokens: 2 * requests,
      generatedTokens: 0,
    };
    this.tally.record(organisation, figures);
  }

  /** Ends the node as SIGKILL would. */
  kill(): void {
    this.isKilled = true;
    this.node.kill();
  }
}
