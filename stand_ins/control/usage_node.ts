import { LeaseKeeper } from "../../source/control/lease_keeper.ts";
import { UsageReporter } from "../../source/control/usage_reporter.ts";
import { UsageTally } from "../../source/control/usage_tally.ts";
import type { ToldState } from "../../source/membership/told_state.ts";
import type { ControlNode } from "./control_node.ts";

/** A node that counts usage and, while it holds the lease "usage", reports it. */
export class UsageNode {
  /** Control of the node's clock, platform calls and process state. */
  readonly node: ControlNode;
  /** Facts replicated between the nodes. */
  readonly replicatedFacts: ToldState;
  /** Holder of the lease "usage". */
  readonly lease: LeaseKeeper;
  /** Usage counters of the node. */
  readonly tally: UsageTally;
  /** Number of requests counted so far. */
  recorded = 0;
  /** Whether the node was killed. */
  isKilled = false;

  /**
   * @param node - Context and control of the node.
   * @param replicatedFacts - Facts replicated between the nodes.
   */
  constructor(node: ControlNode, replicatedFacts: ToldState) {
    this.node = node;
    this.replicatedFacts = replicatedFacts;
    const { context } = node;
    this.lease = new LeaseKeeper({ context, name: "usage" });
    this.tally = new UsageTally({ context, told: replicatedFacts });
    const { lease, tally } = this;
    void lease.run();
    void tally.run();
    void new UsageReporter({ context, told: replicatedFacts, tally, lease })
      .run();
  }

  /** Counts requests of an organisation unless the node is stopped or killed. */
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

  /** Halts the node as SIGKILL does. */
  kill(): void {
    this.isKilled = true;
    this.node.kill();
  }
}
