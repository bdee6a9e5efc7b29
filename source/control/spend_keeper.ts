import type { Service } from "../../generated/snipepath/v1/declaration_pb.ts";
import type {
  BackendServerState,
  BackendServerView,
} from "../backends/backend_server_state.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { ListedInstance } from "../platform/instance_list_client.ts";
import type { Tier } from "../platform/orders_client.ts";
import { LeaseKeeper } from "./lease_keeper.ts";
import { LoadForecast } from "./load_forecast.ts";
import { OrderLedger } from "./order_ledger.ts";
import { type PlannedServer, planOrders } from "./plan_orders.ts";
import { createServerOrderSender } from "./server_order_sender.ts";
import {
  DEFAULT_SPEND_POLICY,
  type ServerSlot,
  SPEND_POLICIES,
  type SpendPlan,
  type SpendPolicyName,
} from "./spend_planner.ts";

const ROUND_MILLISECONDS = 2_000;
const FORECAST_AHEAD_MILLISECONDS = 60_000;
const FORECAST_MEMORY_MILLISECONDS = 300_000;
const START_TIMEOUT_MILLISECONDS = 60_000;
const UNAVAILABLE_MILLISECONDS = 30_000;
const SURPLUS_MILLISECONDS = 60_000;
const MAXIMUM_ORDERS_IN_A_ROUND = 8;
const ASSUMED_SLOTS = 8;
const ASSUMED_MICROS_PER_HOUR: Readonly<Record<Tier, number>> = {
  steady: 1_000_000,
  cheap: 300_000,
};

/** What keeping a service's servers needs. */
export interface SpendKeeperOptions {
  readonly context: NodeContext;
  /** Returns the service as declared now; undefined when it is declared no more. */
  readonly service: () => Service | undefined;
  readonly name: string;
  /** Load that the nodes told of the service's servers. */
  readonly servers: BackendServerView;
  /** Returns the bound on the service's cost; 0 for none. */
  readonly boundMicrosPerHour: () => number;
  /** Requests of the service that wait at this node for a server. */
  readonly queued?: () => number;
  /** Number of nodes that try for the lease. */
  readonly candidates?: () => number;
}

/**
 * Orders and stops the backend servers of one service, while this node holds the lease
 * "orders/SERVICE".
 * @example
 * ```ts
 * const keeper = new SpendKeeper({ context, service, name, servers, boundMicrosPerHour });
 * await keeper.run();
 * ```
 */
export class SpendKeeper {
  readonly #options: SpendKeeperOptions;
  readonly #lease: LeaseKeeper;
  readonly #ledger: OrderLedger;
  readonly #forecast = new LoadForecast({
    aheadMilliseconds: FORECAST_AHEAD_MILLISECONDS,
    memoryMilliseconds: FORECAST_MEMORY_MILLISECONDS,
  });
  readonly #starting = new Map<string, ServerSlot>();
  readonly #keptSince = new Map<string, number>();
  readonly #silentSince = new Map<string, number>();
  readonly #unavailableSince = new Map<string, number>();
  #slotsOfServer = ASSUMED_SLOTS;
  #isSaturationSeen = false;
  #shortfall = 0;
  #surplusSince: number | undefined;
  #orders = 0;

  /** @param options - The service and where its load is told. */
  constructor(options: SpendKeeperOptions) {
    this.#options = options;
    const { context, name, candidates } = options;
    this.#lease = new LeaseKeeper({
      context,
      name: `orders/${name}`,
      ...(candidates && { candidates }),
    });
    this.#ledger = new OrderLedger({
      context,
      lease: this.#lease,
      resend: createServerOrderSender(context.platform.orders),
    });
  }

  /** Keeps the servers until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping } = this.#options.context;
    const tasks = [this.#lease.run(), this.#ledger.run()];
    while (!stopping.aborted) {
      this.#observeLoad();
      if (this.#lease.ifHeld() !== undefined) await this.#round();
      await clock.sleep(ROUND_MILLISECONDS, stopping);
    }
    await Promise.all(tasks);
  }

  #observeLoad(): void {
    const servers = this.#options.servers.servers(this.#options.name);
    this.#learnSlots(servers);
    const load = servers.reduce(
      (sum, server) => sum + server.running + server.waiting,
      this.#options.queued?.() ?? 0,
    );
    this.#forecast.add(this.#options.context.clock.monotonic(), load);
  }

  /** A server with waiting requests runs as many as it can. */
  #learnSlots(servers: ReadonlyArray<BackendServerState>): void {
    const saturated = servers.filter((server) => server.waiting > 0)
      .map((server) => server.running);
    if (saturated.length === 0) return;
    const seen = Math.max(1, ...saturated);
    this.#slotsOfServer = this.#isSaturationSeen
      ? Math.max(this.#slotsOfServer, seen)
      : seen;
    this.#isSaturationSeen = true;
  }

  async #round(): Promise<void> {
    const service = this.#options.service();
    if (service === undefined || !(await this.#ledger.takeOver())) return;
    const { platform } = this.#options.context;
    const listed = await platform.instances.list();
    if (listed.kind !== "ok") return;
    const present = listed.value.filter((instance) =>
      instance.kind === "backendServer" && instance.service === service.name
    );
    await this.#releaseStarted(present);
    const plan = this.#plan(service, present);
    this.#measure(plan, present);
    await this.#order(plan, present);
    await this.#stopDead(present);
  }

  #plan(service: Service, present: ReadonlyArray<ListedInstance>): SpendPlan {
    const { context } = this.#options;
    const name = context.settings.spendPolicy as SpendPolicyName;
    const policy = SPEND_POLICIES[name] ?? SPEND_POLICIES[DEFAULT_SPEND_POLICY];
    return policy({
      failureDomains: service.failureDomains,
      minimumServers: service.minimumServers,
      maximumServers: service.maximumServers,
      neededServers: this.#countNeeded(),
      microsPerHour: findPrices(present),
      boundMicrosPerHour: this.#options.boundMicrosPerHour(),
      isAvailable: (slot) => this.#isAvailable(slot),
    });
  }

  #countNeeded(): number {
    const load = this.#forecast.predict(
      this.#options.context.clock.monotonic(),
    );
    return Math.ceil(load / this.#slotsOfServer);
  }

  async #order(
    plan: SpendPlan,
    present: ReadonlyArray<ListedInstance>,
  ): Promise<void> {
    const neededServers = Math.max(
      this.#countNeeded(),
      this.#options.service()?.minimumServers ?? 0,
    );
    const { start, stop } = planOrders({
      wanted: plan.wanted,
      servers: this.#findServers(present),
      neededServers,
      maximumServers: this.#options.service()?.maximumServers ?? 0,
      microsPerHour: findPrices(present),
      boundMicrosPerHour: this.#options.boundMicrosPerHour(),
    });
    await Promise.all(
      start.slice(0, MAXIMUM_ORDERS_IN_A_ROUND).map((slot) =>
        this.#start(slot)
      ),
    );
    if (!this.#isSurplusLasting(stop.length > 0)) return;
    await Promise.all(
      stop.slice(0, MAXIMUM_ORDERS_IN_A_ROUND).map((server) =>
        this.#stop(server)
      ),
    );
  }

  #findServers(
    present: ReadonlyArray<ListedInstance>,
  ): ReadonlyArray<PlannedServer> {
    const ordered = [...this.#ledger.unresolved(), ...this.#ledger.kept()]
      .filter((intent) => intent.operation === "start")
      .filter((intent) => !this.#starting.has(intent.idempotencyKey))
      .map(({ failureDomain, tier }) => ({
        failureDomain,
        tier: tier === "cheap" ? "cheap" as const : "steady" as const,
      }));
    const starting = [...this.#starting.values(), ...ordered]
      .map((slot) => ({ ...slot, address: "", leaving: false }));
    const reachable = this.#findReachable();
    const listed = present.map((server) => ({
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

  /** Stops servers that no node can reach, unless this node may be cut off itself. */
  async #stopDead(present: ReadonlyArray<ListedInstance>): Promise<void> {
    const now = this.#options.context.clock.monotonic();
    const reachable = this.#findReachable();
    const silent = present.filter(({ address }) => !reachable.has(address));
    for (const address of this.#silentSince.keys()) {
      const isSilent = silent.some((server) => server.address === address);
      if (!isSilent) this.#silentSince.delete(address);
    }
    for (const { address } of silent) {
      const since = this.#silentSince.get(address) ?? now;
      this.#silentSince.set(address, since);
      if (2 * silent.length >= present.length) continue;
      if (now - since > START_TIMEOUT_MILLISECONDS) await this.#stop(address);
    }
  }

  async #start(slot: ServerSlot): Promise<void> {
    const key = this.#nextKey();
    this.#starting.set(key, slot);
    const outcome = await this.#ledger.perform({
      idempotencyKey: key,
      operation: "start",
      service: this.#options.name,
      failureDomain: slot.failureDomain,
      tier: slot.tier,
    }, createServerOrderSender(this.#options.context.platform.orders));
    this.#starting.delete(key);
    if (outcome.kind !== "refused") return;
    const now = this.#options.context.clock.monotonic();
    this.#unavailableSince.set(slotName(slot), now);
  }

  async #stop(server: string): Promise<void> {
    await this.#ledger.perform({
      idempotencyKey: this.#nextKey(),
      operation: "stop",
      service: this.#options.name,
      server,
    }, createServerOrderSender(this.#options.context.platform.orders));
  }

  #nextKey(): string {
    this.#orders += 1;
    return `${this.#options.context.nodeStart}-${this.#orders}`
      .replaceAll("/", "-");
  }

  /** Ends the records of servers that are listed now, or were not for too long. */
  async #releaseStarted(present: ReadonlyArray<ListedInstance>): Promise<void> {
    const now = this.#options.context.clock.monotonic();
    const addresses = new Set(present.map(({ address }) => address));
    for (const { idempotencyKey, server } of this.#ledger.kept()) {
      const since = this.#keptSince.get(idempotencyKey) ?? now;
      this.#keptSince.set(idempotencyKey, since);
      const isOverdue = now - since > START_TIMEOUT_MILLISECONDS;
      if (!addresses.has(server) && !isOverdue) continue;
      await this.#ledger.release(idempotencyKey);
      this.#keptSince.delete(idempotencyKey);
    }
  }

  #isAvailable(slot: ServerSlot): boolean {
    const since = this.#unavailableSince.get(slotName(slot));
    if (since === undefined) return true;
    const age = this.#options.context.clock.monotonic() - since;
    return age > UNAVAILABLE_MILLISECONDS;
  }

  /** Returns whether there has been a surplus long enough to stop servers. */
  #isSurplusLasting(isSurplus: boolean): boolean {
    const now = this.#options.context.clock.monotonic();
    if (!isSurplus) {
      this.#surplusSince = undefined;
      return false;
    }
    this.#surplusSince ??= now;
    return now - this.#surplusSince >= SURPLUS_MILLISECONDS;
  }

  #measure(plan: SpendPlan, present: ReadonlyArray<ListedInstance>): void {
    const { metrics, log } = this.#options.context;
    const service = this.#options.name;
    const cost = present.reduce((sum, server) => sum + server.microsPerHour, 0);
    metrics.gauge("spend_micros_per_hour", cost, { service });
    metrics.gauge("spend_shortfall_servers", plan.shortfall, { service });
    if (plan.shortfall === this.#shortfall) return;
    this.#shortfall = plan.shortfall;
    log.emit("spendShortfall", { service, servers: plan.shortfall });
  }
}

function findPrices(
  present: ReadonlyArray<ListedInstance>,
): Readonly<Record<Tier, number>> {
  return {
    steady: findPrice("steady", present),
    cheap: findPrice("cheap", present),
  };
}

function findPrice(
  tier: Tier,
  present: ReadonlyArray<ListedInstance>,
): number {
  const prices = present.filter((instance) => instance.tier === tier)
    .map((instance) => instance.microsPerHour);
  return prices.length === 0
    ? ASSUMED_MICROS_PER_HOUR[tier]
    : Math.max(...prices);
}

function slotName(slot: ServerSlot): string {
  return `${slot.failureDomain}/${slot.tier}`;
}
