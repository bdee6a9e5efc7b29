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

/** Runs the jobs that one node at a time does under a lease, and the usage counting of every node. */
export class ControlTasks {
  readonly #context: NodeContext;
  readonly #localCounters: LocalUsageCounters;
  readonly #jobs: ReadonlyArray<{ run(): Promise<void> }>;

  /** @param options - The node's membership, engines and queues. */
  constructor(options: ControlTasksOptions) {
    const { context, membership, engines, versions, queued } = options;
    const { replicatedFacts, configuration, backendServers, peers } =
      membership;
    function candidates(): number {
      return peers.peers().length + 1;
    }
    this.#context = context;
    this.#localCounters = new LocalUsageCounters({ context, replicatedFacts });
    const lease = new LeaseElector({ context, name: USAGE_LEASE, candidates });
    this.#jobs = [
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
        candidates,
      }),
      new WeightRolloutTasks({
        context,
        configuration,
        engines,
        servers: backendServers,
        versions,
        candidates,
      }),
    ];
  }

  /** Counters in which the request paths record usage. */
  get usage(): UsageRecorder {
    return this.#localCounters;
  }

  /** Runs until the node stops; with control disabled, only counts usage. */
  async run(): Promise<void> {
    const isEnabled = this.#context.settings.controlEnabled;
    const jobs = isEnabled ? this.#jobs : [];
    await Promise.all([
      this.#localCounters.run(),
      ...jobs.map((job) => job.run()),
    ]);
  }
}
