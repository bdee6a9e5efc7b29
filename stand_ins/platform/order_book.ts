import type {
  OrderResult,
  ServerOrder,
  Tier,
} from "../../source/platform/orders_client.ts";
import type { Clock } from "../../source/utilities/clock.ts";
import type { InstanceList } from "./instance_list.ts";

/** A backend server that was started for an order. */
export interface StartedServer {
  /** HOST:PORT. */
  readonly address: string;
  /** Tells the server that it will be ended soon. */
  markLeaving?(): void;
  /** Ends the server. */
  close(): Promise<void>;
}

/** How orders are carried out. */
export interface OrderBookOptions {
  readonly clock: Clock;
  readonly instances: InstanceList;
  /** Whether orders with an old fencing number are refused. */
  readonly checksFencing: boolean;
  /** From the order until the server is listed as live. */
  readonly startDelayMilliseconds: number;
  /** Starts a server; without it an address is made up. */
  readonly startServer?: (order: ServerOrder) => Promise<StartedServer>;
  /** Millionths of the currency unit in an hour. */
  readonly microsPerHour: Readonly<Record<Tier, number>>;
  /** Most servers of a tier in a failure domain; absent for no bound. */
  readonly capacity?: (failureDomain: string, tier: Tier) => number;
}

/** An order as it arrived. */
export interface ReceivedOrder {
  readonly order: ServerOrder;
  readonly receivedAtUnixMilliseconds: number;
  readonly repeated: boolean;
  /** Absent until the order is carried out. */
  readonly result?: OrderResult;
}

/** Takes orders for backend servers and starts and stops them. */
export class OrderBook {
  readonly #options: OrderBookOptions;
  readonly #received: ReceivedOrder[] = [];
  readonly #results = new Map<string, Promise<OrderResult>>();
  readonly #servers = new Map<string, StartedServer>();
  readonly #highest = new Map<string, number>();
  readonly #unavailable = new Set<string>();
  #madeUp = 0;

  /** @param options - How orders are carried out. */
  constructor(options: OrderBookOptions) {
    this.#options = options;
  }

  /** Carries an order out; the same idempotency key returns the first result. */
  async place(order: ServerOrder): Promise<OrderResult> {
    const earlier = this.#results.get(order.idempotencyKey);
    const received = {
      order,
      receivedAtUnixMilliseconds: this.#options.clock.wall(),
      repeated: earlier !== undefined,
    };
    const index = this.#received.push(received) - 1;
    const pending = earlier ?? this.#carryOut(order);
    if (earlier === undefined) this.#results.set(order.idempotencyKey, pending);
    const result = await pending;
    if (result.kind !== "accepted") this.#results.delete(order.idempotencyKey);
    this.#received[index] = { ...received, result };
    return result;
  }

  /** Returns all orders in the order in which they arrived. */
  received(): ReadonlyArray<ReceivedOrder> {
    return this.#received;
  }

  /** Sets whether a tier can be had in a failure domain. */
  setAvailable(failureDomain: string, tier: Tier, available: boolean): void {
    const key = `${failureDomain}/${tier}`;
    if (available) this.#unavailable.delete(key);
    else this.#unavailable.add(key);
  }

  /** Ends all servers of a tier in a failure domain after a notice. */
  async reclaim(
    failureDomain: string,
    tier: Tier,
    noticeMilliseconds: number,
  ): Promise<void> {
    const hit = this.#options.instances.current().filter((instance) =>
      instance.kind === "backendServer" && instance.tier === tier &&
      instance.failureDomain === failureDomain
    );
    for (const instance of hit) {
      this.#options.instances.markLeaving(instance.name);
      this.#servers.get(instance.address)?.markLeaving?.();
    }
    await this.#options.clock.sleep(noticeMilliseconds);
    for (const instance of hit) await this.#end(instance.address);
  }

  /** Ends all servers that orders started. */
  async close(): Promise<void> {
    for (const address of [...this.#servers.keys()]) await this.#end(address);
  }

  async #carryOut(order: ServerOrder): Promise<OrderResult> {
    const highest = this.#highest.get(order.service) ?? 0;
    if (this.#options.checksFencing && order.fencingNumber < highest) {
      return { kind: "fenced", highest };
    }
    this.#highest.set(order.service, Math.max(highest, order.fencingNumber));
    if (order.operation === "stop") {
      await this.#end(order.server);
      return { kind: "accepted", server: order.server };
    }
    if (!this.#hasCapacity(order)) return { kind: "noCapacity" };
    const server = await this.#start(order);
    return { kind: "accepted", server };
  }

  #hasCapacity(order: ServerOrder): boolean {
    const { failureDomain, tier } = order;
    if (this.#unavailable.has(`${failureDomain}/${tier}`)) return false;
    const bound = this.#options.capacity?.(failureDomain, tier) ?? Infinity;
    const used =
      this.#options.instances.current().filter((instance) =>
        instance.tier === tier && instance.failureDomain === failureDomain &&
        instance.kind === "backendServer"
      ).length;
    return used < bound;
  }

  async #start(order: ServerOrder): Promise<string> {
    const server = await this.#options.startServer?.(order) ??
      this.#makeUpServer();
    this.#servers.set(server.address, server);
    const delay = this.#options.startDelayMilliseconds;
    this.#options.clock.sleep(delay).then(() => this.#list(order, server));
    return server.address;
  }

  #list(order: ServerOrder, server: StartedServer): void {
    if (!this.#servers.has(server.address)) return;
    this.#options.instances.register({
      kind: "backendServer",
      name: server.address,
      address: server.address,
      failureDomain: order.failureDomain,
      service: order.service,
      tier: order.tier,
      leaving: false,
      microsPerHour: this.#options.microsPerHour[order.tier],
    }, true);
  }

  async #end(address: string): Promise<void> {
    this.#options.instances.remove(address);
    const server = this.#servers.get(address);
    this.#servers.delete(address);
    await server?.close();
  }

  #makeUpServer(): StartedServer {
    this.#madeUp += 1;
    return { address: `127.0.0.1:${this.#madeUp}`, close: async () => {} };
  }
}
