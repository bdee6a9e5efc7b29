import type {
  ClassOfWork,
  Organisation,
} from "../../generated/snipepath/v1/declaration_pb.ts";
import type { BackendServerView } from "../backends/backend_server_state.ts";
import type { DispatchRefusal } from "../dispatch/dispatcher.ts";
import type { ConfigurationView } from "../membership/configuration_view.ts";
import type { PeerDirectory } from "../membership/peer_directory.ts";
import type { ReplicatedFacts } from "../membership/replicated_facts.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { Admission, AdmissionTicket } from "./admission.ts";
import { CapacityEstimate } from "./capacity_estimate.ts";
import { OrganisationLimits } from "./organisation_limits.ts";
import { findAdmissionPolicy } from "./policies/policy_table.ts";
import { ServiceQueue } from "./service_queue.ts";
import { UseLedger } from "./use_ledger.ts";
import { UsePublisher } from "./use_publisher.ts";
import type { AdmissibleWork, WaitingRequest } from "./waiting_request.ts";

const TICK_MILLISECONDS = 50;
const CAPACITY_INTERVAL_MILLISECONDS = 250;
const PUBLISH_INTERVAL_MILLISECONDS = 250;
const PRUNE_INTERVAL_MILLISECONDS = 30_000;
const NO_SERVER_RETRY_AFTER_MILLISECONDS = 1000;
const DEFAULT_TARGET_MILLISECONDS = 60_000;

/** Dependencies of a node's admission control. */
export interface AdmissionOptions {
  readonly context: NodeContext;
  readonly configuration: ConfigurationView;
  readonly peers: Pick<PeerDirectory, "peers">;
  readonly replicatedFacts: ReplicatedFacts;
  readonly backends: BackendServerView;
}

/** Admission control of a node, with its background task. */
export class NodeAdmission implements Admission {
  readonly #options: AdmissionOptions;
  readonly #ledger: UseLedger;
  readonly #publisher: UsePublisher;
  readonly #capacity: CapacityEstimate;
  readonly #limits = new OrganisationLimits();
  readonly #queues = new Map<string, ServiceQueue>();
  #sequence = 0;
  #capacityUpdatedAt = -Infinity;
  #publishedAt = -Infinity;
  #prunedAt = 0;

  /** @param options - The node, its peers and the backend servers. */
  constructor(options: AdmissionOptions) {
    this.#options = options;
    const { clock, settings } = options.context;
    this.#ledger = new UseLedger(options.replicatedFacts, {
      clock,
      node: settings.node,
    });
    this.#publisher = new UsePublisher(this.#ledger, options.replicatedFacts);
    this.#capacity = new CapacityEstimate(options.backends);
  }

  /**
   * Queues a request; resolves to a ticket when the admission policy grants it a slot, or to a
   * refusal.
   */
  async admit(
    work: AdmissibleWork,
  ): Promise<AdmissionTicket | DispatchRefusal> {
    if (work.signal.aborted) return refuseAborted(work.signal);
    const arrivedAt = this.#options.context.clock.monotonic();
    const cost = Math.max(1, work.expectedTokens);
    this.#recordDemand(work, cost);
    const refusal = this.#checkLimits(work, cost) ?? this.#checkServers(work);
    if (refusal !== undefined) return refusal;
    const result = await this.#enqueue(work, cost);
    const waited = this.#options.context.clock.monotonic() - arrivedAt;
    work.ledger.add("queue", waited);
    this.#recordWait(work, { waited, result });
    return result;
  }

  /** Returns how many requests wait for a service at this node. */
  queued(service: string): number {
    return this.#queues.get(service)?.waiting ?? 0;
  }

  /** Returns the load of this node's fullest service as a share of its slots, in thousandths from 0 to 1000. */
  loadPermille(): number {
    let load = 0;
    for (const queue of this.#queues.values()) {
      const busy = (queue.running + queue.waiting) / Math.max(1, queue.slots);
      load = Math.max(load, busy);
    }
    return Math.round(Math.min(1, load) * 1000);
  }

  /** Updates capacity, publishes use and refuses late requests until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping } = this.#options.context;
    while (!stopping.aborted) {
      this.tick();
      await clock.sleep(TICK_MILLISECONDS, stopping);
    }
  }

  /** Performs the background work that is due. */
  tick(): void {
    const now = this.#options.context.clock.monotonic();
    if (now - this.#capacityUpdatedAt >= CAPACITY_INTERVAL_MILLISECONDS) {
      this.#capacityUpdatedAt = now;
      for (const service of this.#queues.keys()) this.#updateCapacity(service);
    }
    if (now - this.#publishedAt >= PUBLISH_INTERVAL_MILLISECONDS) {
      this.#publishedAt = now;
      this.#publisher.publish(now, this.#countLiveNodes());
    }
    if (now - this.#prunedAt >= PRUNE_INTERVAL_MILLISECONDS) {
      this.#prunedAt = now;
      this.#ledger.prune();
    }
    for (const queue of this.#queues.values()) {
      queue.refuseLate();
      queue.startNext();
    }
  }

  #enqueue(
    work: AdmissibleWork,
    cost: number,
  ): Promise<AdmissionTicket | DispatchRefusal> {
    const queue = this.#queue(work.service);
    return new Promise((resolve) => {
      const onAbort = (): void => queue.refuse(request, abortReason(work));
      const request: WaitingRequest = {
        ...this.#describe(work, cost),
        settle: (result) => {
          work.signal.removeEventListener("abort", onAbort);
          resolve(result);
        },
      };
      if (queue.wouldFinishTooLate(request)) {
        return resolve(refuseQueueFull(queue));
      }
      work.signal.addEventListener("abort", onAbort);
      queue.add(request);
    });
  }

  #describe(
    work: AdmissibleWork,
    cost: number,
  ): Omit<WaitingRequest, "settle"> {
    const now = this.#options.context.clock.monotonic();
    const declared = this.#findClass(work.classOfWork);
    const target = declared?.latencyP99Milliseconds ||
      DEFAULT_TARGET_MILLISECONDS;
    const deferrable = declared?.deferrable ?? false;
    const dueAt = now + target;
    this.#sequence += 1;
    return {
      organisation: work.organisation,
      classOfWork: work.classOfWork,
      cost,
      sequence: this.#sequence,
      enqueuedAt: now,
      dueAt,
      usefulUntil: deferrable
        ? work.deadline
        : Math.max(dueAt, work.deadline - target),
      deadline: work.deadline,
      deferrable,
    };
  }

  #recordDemand(work: AdmissibleWork, cost: number): void {
    const now = this.#options.context.clock.monotonic();
    const use = this.#ledger.getOrCreateUse(work.service, work.organisation);
    use.demand.add(1, now);
    use.tokenDemand.add(cost, now);
  }

  #checkLimits(
    work: AdmissibleWork,
    cost: number,
  ): DispatchRefusal | undefined {
    const organisation = this.#findOrganisation(work.organisation);
    if (organisation === undefined) return undefined;
    const decision = this.#limits.decide({
      organisation,
      demand: this.#ledger.demand(work.organisation),
      cost,
      now: this.#options.context.clock.monotonic(),
      liveNodes: this.#countLiveNodes(),
      node: this.#options.context.settings.node,
      meanRunMilliseconds:
        this.#queues.get(work.service)?.meanRunMilliseconds ?? 0,
    });
    if (decision.kind === "allowed") return undefined;
    const { retryAfterMilliseconds } = decision;
    work.ledger.add("quota", retryAfterMilliseconds);
    this.#countRefusal(work, "quota");
    return {
      kind: "notRun",
      reason: "quota",
      detail: `The organisation has reached its limit ${decision.limit}`,
      retryAfterMilliseconds,
    };
  }

  #checkServers(work: AdmissibleWork): DispatchRefusal | undefined {
    const { backends } = this.#options;
    const hasServer = backends.servers(work.service).some(({ address }) =>
      backends.isAvailable(address)
    );
    if (hasServer) return undefined;
    work.ledger.add("noCapacity", NO_SERVER_RETRY_AFTER_MILLISECONDS);
    this.#countRefusal(work, "noCapacity");
    return {
      kind: "notRun",
      reason: "noCapacity",
      detail: `No backend server of ${work.service} accepts new work`,
      retryAfterMilliseconds: NO_SERVER_RETRY_AFTER_MILLISECONDS,
    };
  }

  #queue(service: string): ServiceQueue {
    const existing = this.#queues.get(service);
    if (existing !== undefined) return existing;
    const { clock, settings } = this.#options.context;
    const policy = findAdmissionPolicy(settings.admissionPolicy);
    const queue = new ServiceQueue({
      service,
      clock,
      policy,
      ledger: this.#ledger,
    });
    this.#queues.set(service, queue);
    this.#updateCapacity(service);
    return queue;
  }

  #updateCapacity(service: string): void {
    const now = this.#options.context.clock.monotonic();
    this.#queues.get(service)?.updateCapacity(
      this.#capacity.observe(service, now),
      {
        live: this.#countLiveNodes(),
        peersWithWaiting: this.#ledger.countPeersWithWaiting(service),
      },
    );
  }

  #countLiveNodes(): number {
    const { peers, context } = this.#options;
    const others = peers.peers().filter((peer) =>
      !peer.leaving && peer.node !== context.settings.node
    );
    return others.length + 1;
  }

  #findClass(name: string): ClassOfWork | undefined {
    const declaration = this.#options.configuration.current()?.declaration;
    return declaration?.classes.find((each) => each.name === name);
  }

  #findOrganisation(name: string): Organisation | undefined {
    const declaration = this.#options.configuration.current()?.declaration;
    return declaration?.organisations.find((each) => each.name === name);
  }

  #recordWait(
    work: AdmissibleWork,
    wait: {
      readonly waited: number;
      readonly result: AdmissionTicket | DispatchRefusal;
    },
  ): void {
    const { organisation, classOfWork: className, service } = work;
    const tags = { organisation, class: className, service };
    const { metrics } = this.#options.context;
    metrics.histogram("admission.wait.milliseconds", wait.waited, tags);
    if (wait.result.kind !== "admitted") {
      this.#countRefusal(work, wait.result.reason);
    }
  }

  #countRefusal(work: AdmissibleWork, reason: string): void {
    const { organisation, service } = work;
    const tags = { organisation, service, reason };
    this.#options.context.metrics.count("admission.refusals", tags);
  }
}

/**
 * Creates a node's admission control; the caller must start its `run`.
 * @param options - The node, its peers and the backend servers.
 * @example
 * ```ts
 * const admission = createAdmission({ context, configuration, peers, replicatedFacts, backends });
 * void admission.run();
 * ```
 */
export function createAdmission(options: AdmissionOptions): NodeAdmission {
  return new NodeAdmission(options);
}

function abortReason(work: AdmissibleWork): DispatchRefusal["reason"] {
  const { reason } = work.signal;
  return reason === "keyWithdrawn" || reason === "staleKeys"
    ? reason
    : "cancelled";
}

function refuseAborted(signal: AbortSignal): DispatchRefusal {
  const isWithdrawn = signal.reason === "keyWithdrawn";
  return {
    kind: "notRun",
    reason: isWithdrawn ? "keyWithdrawn" : "cancelled",
    detail: "The caller cancelled the request or its key was withdrawn",
    retryAfterMilliseconds: 0,
  };
}

function refuseQueueFull(queue: ServiceQueue): DispatchRefusal {
  return {
    kind: "notRun",
    reason: "queueFull",
    detail:
      "The organisation's waiting requests would delay it past its target or deadline",
    retryAfterMilliseconds: queue.retryAfterMilliseconds(),
  };
}
