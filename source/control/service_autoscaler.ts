import type { Service } from "../../generated/snipepath/v1/declaration_pb.ts";
import type {
  BackendServerState,
  BackendServerView,
} from "../backends/backend_server_state.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { ListedInstance } from "../platform/instance_list_client.ts";
import type { Tier } from "../platform/orders_client.ts";
import { LeaseElector } from "./lease_elector.ts";
import { LoadForecast } from "./load_forecast.ts";
import { OrderExecutor } from "./order_executor.ts";
import { type PlannedServer, planOrders } from "./plan_orders.ts";
import { createServerOrderSender } from "./server_order_sender.ts";
import {
  DEFAULT_SPEND_POLICY,
  type ServerPlacement,
  SPEND_POLICIES,
  type SpendPlan,
  type SpendPolicyName,
} from "./spend_planner.ts";

const RECONCILE_INTERVAL_MILLISECONDS = 2_000;
const FORECAST_HORIZON_MILLISECONDS = 60_000;
const FORECAST_HISTORY_MILLISECONDS = 300_000;
/** Time after which a started server counts as overdue, and an unreachable server is stopped. */
const START_TIMEOUT_MILLISECONDS = 60_000;
/** Time after a refused start order in which its failure domain and tier count as unavailable. */
const UNAVAILABLE_MILLISECONDS = 30_000;
/** Time for which a surplus must last before servers are stopped. */
const SURPLUS_MILLISECONDS = 60_000;
const MAXIMUM_ORDERS_PER_RECONCILE = 8;
const DEFAULT_SLOTS_PER_SERVER = 8;
const DEFAULT_MICROS_PER_HOUR: Readonly<Record<Tier, number>> = {
  steady: 1_000_000,
  cheap: 300_000,
};

/** Options of a service autoscaler. */
export interface ServiceAutoscalerOptions {
  readonly context: NodeContext;
  /** Returns the current declaration of the service; undefined when it is no longer declared. */
  readonly service: () => Service | undefined;
  readonly name: string;
  /** Load of the service's backend servers as reported by all nodes. */
  readonly servers: BackendServerView;
  /** Returns the maximum cost of the service, in millionths of the currency unit per hour; 0 for no maximum. */
  readonly boundMicrosPerHour: () => number;
  /** Returns the number of requests for the service that are queued at this node. */
  readonly queued?: () => number;
  /** Returns the number of nodes that compete for the lease. */
  readonly countLeaseCandidates?: () => number;
}

/**
 * Starts and stops the backend servers of one service while this node holds the lease
 * "orders/SERVICE".
 * @example
 * ```ts
 * const autoscaler = new ServiceAutoscaler({ context, service, name, servers, boundMicrosPerHour });
 * await autoscaler.run();
 * ```
 */
export class ServiceAutoscaler {
  readonly #options: ServiceAutoscalerOptions;
  readonly #lease: LeaseElector;
  readonly #executor: OrderExecutor;
  readonly #forecast = new LoadForecast({
    aheadMilliseconds: FORECAST_HORIZON_MILLISECONDS,
    memoryMilliseconds: FORECAST_HISTORY_MILLISECONDS,
  });
  /** Placements of the servers whose start orders this node is sending, by idempotency key. */
  readonly #startingPlacements = new Map<string, ServerPlacement>();
  /**
   * Monotonic times at which this node first saw start orders as completed, in milliseconds, by
   * idempotency key.
   */
  readonly #completedSince = new Map<string, number>();
  /** Monotonic times since which servers have been unreachable, in milliseconds, by address. */
  readonly #unreachableSince = new Map<string, number>();
  /**
   * Monotonic times at which start orders were last refused, in milliseconds, by failure domain and
   * tier.
   */
  readonly #unavailableSince = new Map<string, number>();
  #slotsPerServer = DEFAULT_SLOTS_PER_SERVER;
  #isSaturationSeen = false;
  #shortfall = 0;
  #surplusSince: number | undefined;
  #orderCount = 0;

  /** @param options - The service, its load and its cost bound. */
  constructor(options: ServiceAutoscalerOptions) {
    this.#options = options;
    const { context, name, countLeaseCandidates } = options;
    this.#lease = new LeaseElector({
      context,
      name: `orders/${name}`,
      ...(countLeaseCandidates && { countLeaseCandidates }),
    });
    this.#executor = new OrderExecutor({
      context,
      lease: this.#lease,
      resend: createServerOrderSender(context.platform.orders),
    });
  }

  /** Runs the lease, the order executor and the scaling loop until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping } = this.#options.context;
    const tasks = [this.#lease.run(), this.#executor.run()];
    while (!stopping.aborted) {
      this.#observeLoad();
      if (this.#lease.getHeldLease() !== undefined) await this.#reconcile();
      await clock.sleep(RECONCILE_INTERVAL_MILLISECONDS, stopping);
    }
    await Promise.all(tasks);
  }

  #observeLoad(): void {
    const servers = this.#options.servers.servers(this.#options.name);
    this.#estimateSlots(servers);
    const load = servers.reduce(
      (sum, server) => sum + server.running + server.waiting,
      this.#options.queued?.() ?? 0,
    );
    this.#forecast.add(this.#options.context.clock.monotonic(), load);
  }

  /** Estimates the slots of a server from servers with waiting requests, which run as many as they can. */
  #estimateSlots(servers: ReadonlyArray<BackendServerState>): void {
    const saturated = servers.filter((server) => server.waiting > 0)
      .map((server) => server.running);
    if (saturated.length === 0) return;
    const observed = Math.max(1, ...saturated);
    this.#slotsPerServer = this.#isSaturationSeen
      ? Math.max(this.#slotsPerServer, observed)
      : observed;
    this.#isSaturationSeen = true;
  }

  async #reconcile(): Promise<void> {
    const service = this.#options.service();
    if (service === undefined || !(await this.#executor.takeOver())) return;
    const { platform } = this.#options.context;
    const listed = await platform.instances.list();
    if (listed.kind !== "ok") return;
    const listedServers = listed.value.filter((instance) =>
      instance.kind === "backendServer" && instance.service === service.name
    );
    await this.#releaseListedStarts(listedServers);
    const plan = this.#plan(service, listedServers);
    this.#recordMetrics(plan, listedServers);
    await this.#placeOrders(plan, listedServers);
    await this.#stopUnreachable(listedServers);
  }

  #plan(
    service: Service,
    listedServers: ReadonlyArray<ListedInstance>,
  ): SpendPlan {
    const { context } = this.#options;
    const name = context.settings.spendPolicy as SpendPolicyName;
    const policy = SPEND_POLICIES[name] ?? SPEND_POLICIES[DEFAULT_SPEND_POLICY];
    return policy({
      failureDomains: service.failureDomains,
      minimumServers: service.minimumServers,
      maximumServers: service.maximumServers,
      neededServers: this.#countNeededServers(),
      microsPerHour: findPrices(listedServers),
      boundMicrosPerHour: this.#options.boundMicrosPerHour(),
      isAvailable: (placement) => this.#isAvailable(placement),
    });
  }

  #countNeededServers(): number {
    const load = this.#forecast.predict(
      this.#options.context.clock.monotonic(),
    );
    return Math.ceil(load / this.#slotsPerServer);
  }

  async #placeOrders(
    plan: SpendPlan,
    listedServers: ReadonlyArray<ListedInstance>,
  ): Promise<void> {
    const neededServers = Math.max(
      this.#countNeededServers(),
      this.#options.service()?.minimumServers ?? 0,
    );
    const { start, stop } = planOrders({
      wanted: plan.wanted,
      servers: this.#findServers(listedServers),
      neededServers,
      maximumServers: this.#options.service()?.maximumServers ?? 0,
      microsPerHour: findPrices(listedServers),
      boundMicrosPerHour: this.#options.boundMicrosPerHour(),
    });
    await Promise.all(
      start.slice(0, MAXIMUM_ORDERS_PER_RECONCILE).map((placement) =>
        this.#start(placement)
      ),
    );
    if (!this.#hasSurplusLasted(stop.length > 0)) return;
    await Promise.all(
      stop.slice(0, MAXIMUM_ORDERS_PER_RECONCILE).map((server) =>
        this.#stop(server)
      ),
    );
  }

  #findServers(
    listedServers: ReadonlyArray<ListedInstance>,
  ): ReadonlyArray<PlannedServer> {
    const ordered = [
      ...this.#executor.unresolved(),
      ...this.#executor.completed(),
    ]
      .filter((intent) => intent.operation === "start")
      .filter((intent) => !this.#startingPlacements.has(intent.idempotencyKey))
      .map(({ failureDomain, tier }) => ({
        failureDomain,
        tier: tier === "cheap" ? "cheap" as const : "steady" as const,
      }));
    const starting = [...this.#startingPlacements.values(), ...ordered]
      .map((placement) => ({ ...placement, address: "", leaving: false }));
    const reachable = this.#findReachable();
    const listed = listedServers.map((server) => ({
      ...server,
      address: reachable.has(server.address) ? server.address : "",
    }));
    return [...listed, ...starting];
  }

  #findReachable(): ReadonlySet<string> {
    const servers = this.#options.servers.servers(this.#options.name);
    return new Set(
      servers.filter(({ reachable }) => reachable).map(({ address }) =>
        address
      ),
    );
  }

  /**
   * Stops servers that have been unreachable for longer than the start timeout. Stops none while
   * half of the servers or more are unreachable, because then this node itself may have lost its
   * connection.
   */
  async #stopUnreachable(
    listedServers: ReadonlyArray<ListedInstance>,
  ): Promise<void> {
    const now = this.#options.context.clock.monotonic();
    const reachable = this.#findReachable();
    const unreachable = listedServers.filter(({ address }) =>
      !reachable.has(address)
    );
    for (const address of this.#unreachableSince.keys()) {
      const isUnreachable = unreachable.some((server) =>
        server.address === address
      );
      if (!isUnreachable) this.#unreachableSince.delete(address);
    }
    for (const { address } of unreachable) {
      const since = this.#unreachableSince.get(address) ?? now;
      this.#unreachableSince.set(address, since);
      if (2 * unreachable.length >= listedServers.length) continue;
      if (now - since > START_TIMEOUT_MILLISECONDS) await this.#stop(address);
    }
  }

  async #start(placement: ServerPlacement): Promise<void> {
    const key = this.#createIdempotencyKey();
    this.#startingPlacements.set(key, placement);
    const outcome = await this.#executor.perform({
      idempotencyKey: key,
      operation: "start",
      service: this.#options.name,
      failureDomain: placement.failureDomain,
      tier: placement.tier,
    }, createServerOrderSender(this.#options.context.platform.orders));
    this.#startingPlacements.delete(key);
    if (outcome.kind !== "refused") return;
    const now = this.#options.context.clock.monotonic();
    this.#unavailableSince.set(toPlacementKey(placement), now);
  }

  async #stop(server: string): Promise<void> {
    await this.#executor.perform({
      idempotencyKey: this.#createIdempotencyKey(),
      operation: "stop",
      service: this.#options.name,
      server,
    }, createServerOrderSender(this.#options.context.platform.orders));
  }

  #createIdempotencyKey(): string {
    this.#orderCount += 1;
    return `${this.#options.context.nodeStart}-${this.#orderCount}`
      .replaceAll("/", "-");
  }

  /**
   * Deletes the intents of start orders whose server is listed now or was not listed within the
   * start timeout.
   */
  async #releaseListedStarts(
    listedServers: ReadonlyArray<ListedInstance>,
  ): Promise<void> {
    const now = this.#options.context.clock.monotonic();
    const addresses = new Set(listedServers.map(({ address }) => address));
    for (const { idempotencyKey, server } of this.#executor.completed()) {
      const since = this.#completedSince.get(idempotencyKey) ?? now;
      this.#completedSince.set(idempotencyKey, since);
      const isOverdue = now - since > START_TIMEOUT_MILLISECONDS;
      if (!addresses.has(server) && !isOverdue) continue;
      await this.#executor.release(idempotencyKey);
      this.#completedSince.delete(idempotencyKey);
    }
  }

  #isAvailable(placement: ServerPlacement): boolean {
    const since = this.#unavailableSince.get(toPlacementKey(placement));
    if (since === undefined) return true;
    const age = this.#options.context.clock.monotonic() - since;
    return age > UNAVAILABLE_MILLISECONDS;
  }

  /** Records when a surplus began; returns whether it has lasted long enough to stop servers. */
  #hasSurplusLasted(isSurplus: boolean): boolean {
    const now = this.#options.context.clock.monotonic();
    if (!isSurplus) {
      this.#surplusSince = undefined;
      return false;
    }
    this.#surplusSince ??= now;
    return now - this.#surplusSince >= SURPLUS_MILLISECONDS;
  }

  #recordMetrics(
    plan: SpendPlan,
    listedServers: ReadonlyArray<ListedInstance>,
  ): void {
    const { metrics, log } = this.#options.context;
    const service = this.#options.name;
    const cost = listedServers.reduce(
      (sum, server) => sum + server.microsPerHour,
      0,
    );
    metrics.gauge("spend_micros_per_hour", cost, { service });
    metrics.gauge("spend_shortfall_servers", plan.shortfall, { service });
    if (plan.shortfall === this.#shortfall) return;
    this.#shortfall = plan.shortfall;
    log.emit("spendShortfall", { service, servers: plan.shortfall });
  }
}

function findPrices(
  listedServers: ReadonlyArray<ListedInstance>,
): Readonly<Record<Tier, number>> {
  return {
    steady: findPrice("steady", listedServers),
    cheap: findPrice("cheap", listedServers),
  };
}

function findPrice(
  tier: Tier,
  listedServers: ReadonlyArray<ListedInstance>,
): number {
  const prices = listedServers.filter((instance) => instance.tier === tier)
    .map((instance) => instance.microsPerHour);
  return prices.length === 0
    ? DEFAULT_MICROS_PER_HOUR[tier]
    : Math.max(...prices);
}

function toPlacementKey(placement: ServerPlacement): string {
  return `${placement.failureDomain}/${placement.tier}`;
}
