import { LeaseElector } from "../../source/control/lease_elector.ts";
import { UsageReporter } from "../../source/control/usage_reporter.ts";
import { LocalUsageCounters } from "../../source/control/local_usage_counters.ts";
import type { ReplicatedFacts } from "../../source/membership/replicated_facts.ts";
import type { ControlNode } from "./control_node.ts";

/** A node that counts usage and, while it holds the lease "usage", reports it. */
export class UsageNode {
  /** Control of the node's clock, platform calls and process state. */
  readonly node: ControlNode;
  /** Facts replicated between the nodes. */
  readonly replicatedFacts: ReplicatedFacts;
  /** Elector through which the node acquires the lease "usage". */
  readonly lease: LeaseElector;
  /** Usage counters of the node. */
  readonly counters: LocalUsageCounters;
  /** Number of requests counted so far. */
  recordedRequests = 0;
  /** Whether the node was killed. */
  isKilled = false;

  /**
   * @param node - Context and control of the node.
   * @param replicatedFacts - Facts replicated between the nodes.
   */
  constructor(node: ControlNode, replicatedFacts: ReplicatedFacts) {
    this.node = node;
    this.replicatedFacts = replicatedFacts;
    const { context } = node;
    this.lease = new LeaseElector({ context, name: "usage" });
    this.counters = new LocalUsageCounters({ context, replicatedFacts });
    const { lease, counters } = this;
    void lease.run();
    void counters.run();
    void new UsageReporter({ context, replicatedFacts, counters, lease })
      .run();
  }

  /** Counts requests of an organisation unless the node is stopped or killed. */
  recordRequests(organisation: string, requests: number): void {
    if (this.isKilled || this.node.clock.isStopped) return;
    this.recordedRequests += requests;
    const figures = {
      requests,
      promptTokens: 2 * requests,
      generatedTokens: 0,
    };
    this.counters.record(organisation, figures);
  }

  /** Halts the node as SIGKILL does. */
  kill(): void {
    this.isKilled = true;
    this.node.kill();
  }
}
