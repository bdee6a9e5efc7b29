import type { EngineClient } from "../backends/engine_client.ts";
import { LeaseElector } from "../control/lease_elector.ts";
import { AutoscalerTasks } from "../control/autoscaler_tasks.ts";
import type { UsageRecorder } from "../control/usage_recorder.ts";
import { UsageReporter } from "../control/usage_reporter.ts";
import { LocalUsageCounters } from "../control/local_usage_counters.ts";
import {
  WeightRolloutTasks,
  type WeightRolloutTasksOptions,
} from "../control/weight_rollout_tasks.ts";
import type { Membership } from "../membership/membership.ts";
import type { NodeContext } from "../context/node_context.ts";

const USAGE_LEASE = "usage";

/** Dependencies of the control tasks. */
export interface ControlTasksOptions {
  readonly context: NodeContext;
  readonly membership: Membership;
  readonly engines: EngineClient;
  /** Newest weight versions that trainers published. */
  readonly versions: WeightRolloutTasksOptions["versions"];
  /** Returns the number of a service's requests that are queued at this node. */
  readonly queued: (service: string) => number;
}

/**
 * Runs the tasks that only the holder of a lease performs, and publishes this node's usage counts,
 * which every node does.
 */
export class ControlTasks {
  readonly #context: NodeContext;
  readonly #localCounters: LocalUsageCounters;
  readonly #leasedTasks: ReadonlyArray<{ run(): Promise<void> }>;

  /** @param options - The node's membership, engines and queues. */
  constructor(options: ControlTasksOptions) {
    const { context, membership, engines, versions, queued } = options;
    const { replicatedFacts, configuration, backendServers, peers } =
      membership;
    function countLeaseCandidates(): number {
      return peers.peers().length + 1;
    }
    this.#context = context;
    this.#localCounters = new LocalUsageCounters({ context, replicatedFacts });
    const lease = new LeaseElector({
      context,
      name: USAGE_LEASE,
      countLeaseCandidates,
    });
    this.#leasedTasks = [
      lease,
      new UsageReporter({
        context,
        replicatedFacts,
        counters: this.#localCounters,
        lease,
      }),
      new AutoscalerTasks({
        context,
        configuration,
        servers: backendServers,
        queued,
        countLeaseCandidates,
      }),
      new WeightRolloutTasks({
        context,
        configuration,
        engines,
        servers: backendServers,
        versions,
        countLeaseCandidates,
      }),
    ];
  }

  /** Counters in which the request handlers record usage. */
  get usage(): UsageRecorder {
    return this.#localCounters;
  }

  /**
   * Runs the tasks until the node stops; with `controlEnabled` off, only publishes and saves the
   * usage counts.
   */
  async run(): Promise<void> {
    const isEnabled = this.#context.settings.controlEnabled;
    const leasedTasks = isEnabled ? this.#leasedTasks : [];
    await Promise.all([
      this.#localCounters.run(),
      ...leasedTasks.map((task) => task.run()),
    ]);
  }
}
