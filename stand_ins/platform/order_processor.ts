import type {
  OrderResult,
  ServerOrder,
  Tier,
} from "../../source/platform/orders_client.ts";
import type { Clock } from "../../source/utilities/clock.ts";
import type { InstanceList } from "./instance_list.ts";

/** A backend server that was started for an order. */
export interface StartedServer {
  /** HOST:PORT of the server. */
  readonly address: string;
  /** Makes the server report that it will be stopped soon. */
  markLeaving?(): void;
  /** Stops the server. */
  close(): Promise<void>;
}

/** Options for executing orders. */
export interface OrderBookOptions {
  readonly clock: Clock;
  readonly instances: InstanceList;
  /** Whether orders with a stale fencing number are refused. */
  readonly checksFencing: boolean;
  /** Delay between an order and the listing of its server. */
  readonly startDelayMilliseconds: number;
  /** Starts a server; if absent, each order gets a placeholder address without a server. */
  readonly startServer?: (order: ServerOrder) => Promise<StartedServer>;
  /** Price of a server by tier, in millionths of the currency unit per hour. */
  readonly microsPerHour: Readonly<Record<Tier, number>>;
  /** Returns the maximum number of servers of a tier in a failure domain; unlimited if absent. */
  readonly capacity?: (failureDomain: string, tier: Tier) => number;
}

/** An order with its time of receipt and its result. */
export interface ReceivedOrder {
  readonly order: ServerOrder;
  readonly receivedAtUnixMilliseconds: number;
  readonly repeated: boolean;
  /** Absent until the order is executed. */
  readonly result?: OrderResult;
}

/** Starts and stops backend servers on order, and records every order. */
export class OrderProcessor {
  readonly #options: OrderBookOptions;
  readonly #received: ReceivedOrder[] = [];
  readonly #results = new Map<string, Promise<OrderResult>>();
  readonly #servers = new Map<string, StartedServer>();
  readonly #highestFencingNumbers = new Map<string, number>();
  readonly #unavailableTiers = new Set<string>();
  #placeholderCount = 0;

  /** @param options - Instance list, fencing check, start delay, prices and capacity. */
  constructor(options: OrderBookOptions) {
    this.#options = options;
  }

  /** Executes an order; a repeated idempotency key returns the result of the accepted order. */
  async place(order: ServerOrder): Promise<OrderResult> {
    const earlier = this.#results.get(order.idempotencyKey);
    const received = {
      order,
      receivedAtUnixMilliseconds: this.#options.clock.wall(),
      repeated: earlier !== undefined,
    };
    const index = this.#received.push(received) - 1;
    const pending = earlier ?? this.#execute(order);
    if (earlier === undefined) this.#results.set(order.idempotencyKey, pending);
    const result = await pending;
    if (result.kind !== "accepted") this.#results.delete(order.idempotencyKey);
    this.#received[index] = { ...received, result };
    return result;
  }

  /** Returns all orders in the sequence of receipt. */
  received(): ReadonlyArray<ReceivedOrder> {
    return this.#received;
  }

  /** Sets whether servers of a tier can be started in a failure domain. */
  setTierAvailable(
    failureDomain: string,
    tier: Tier,
    available: boolean,
  ): void {
    const key = `${failureDomain}/${tier}`;
    if (available) this.#unavailableTiers.delete(key);
    else this.#unavailableTiers.add(key);
  }

  /** Stops all servers of a tier in a failure domain after a notice period. */
  async reclaim(
    failureDomain: string,
    tier: Tier,
    noticeMilliseconds: number,
  ): Promise<void> {
    const reclaimed = this.#options.instances.current().filter((instance) =>
      instance.kind === "backendServer" && instance.tier === tier &&
      instance.failureDomain === failureDomain
    );
    for (const instance of reclaimed) {
      this.#options.instances.markLeaving(instance.name);
      this.#servers.get(instance.address)?.markLeaving?.();
    }
    await this.#options.clock.sleep(noticeMilliseconds);
    for (const instance of reclaimed) await this.#stopServer(instance.address);
  }

  /** Stops all servers that were started by orders. */
  async close(): Promise<void> {
    for (const address of [...this.#servers.keys()]) {
      await this.#stopServer(address);
    }
  }

  async #execute(order: ServerOrder): Promise<OrderResult> {
    const highest = this.#highestFencingNumbers.get(order.service) ?? 0;
    if (this.#options.checksFencing && order.fencingNumber < highest) {
      return { kind: "fenced", highest };
    }
    this.#highestFencingNumbers.set(
      order.service,
      Math.max(highest, order.fencingNumber),
    );
    if (order.operation === "stop") {
      await this.#stopServer(order.server);
      return { kind: "accepted", server: order.server };
    }
    if (!this.#hasCapacity(order)) return { kind: "noCapacity" };
    const server = await this.#startServer(order);
    return { kind: "accepted", server };
  }

  #hasCapacity(order: ServerOrder): boolean {
    const { failureDomain, tier } = order;
    if (this.#unavailableTiers.has(`${failureDomain}/${tier}`)) return false;
    const maximumServers = this.#options.capacity?.(failureDomain, tier) ??
      Infinity;
    const serverCount =
      this.#options.instances.current().filter((instance) =>
        instance.tier === tier && instance.failureDomain === failureDomain &&
        instance.kind === "backendServer"
      ).length;
    return serverCount < maximumServers;
  }

  async #startServer(order: ServerOrder): Promise<string> {
    const server = await this.#options.startServer?.(order) ??
      this.#createPlaceholderServer();
    this.#servers.set(server.address, server);
    const delay = this.#options.startDelayMilliseconds;
    this.#options.clock.sleep(delay).then(() =>
      this.#listServer(order, server)
    );
    return server.address;
  }

  #listServer(order: ServerOrder, server: StartedServer): void {
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

  async #stopServer(address: string): Promise<void> {
    this.#options.instances.remove(address);
    const server = this.#servers.get(address);
    this.#servers.delete(address);
    await server?.close();
  }

  #createPlaceholderServer(): StartedServer {
    this.#placeholderCount += 1;
    return {
      address: `127.0.0.1:${this.#placeholderCount}`,
      close: async () => {},
    };
  }
}
