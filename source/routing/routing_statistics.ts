import { LRUCache } from "lru-cache";
import { PrefixCacheIndex } from "./prefix_cache_index.ts";
import { DispatchObserver } from "./dispatch_observer.ts";
import type { Placement } from "./placement.ts";
import { ServerStatistics } from "./server_statistics.ts";
import { ServiceStatistics } from "./service_statistics.ts";

const MAXIMUM_SERVERS = 2_000;
const MAXIMUM_SERVICES = 100;

/** Statistics of backend servers and services that this node collects from its own requests. */
export class RoutingStatistics {
  /** Estimate of the prompt prefixes that servers have cached. */
  readonly caches = new PrefixCacheIndex();
  /** Statistics of servers, by address. */
  readonly #servers = new LRUCache<string, ServerStatistics>({
    max: MAXIMUM_SERVERS,
  });
  /** Statistics of services, by name. */
  readonly #services = new LRUCache<string, ServiceStatistics>({
    max: MAXIMUM_SERVICES,
  });

  /** Returns the number of requests of this node that run on a server. */
  running(address: string): number {
    return this.#servers.peek(address)?.running ?? 0;
  }

  /** Returns the statistics of a server; creates them when there are none. */
  server(address: string): ServerStatistics {
    const existing = this.#servers.get(address);
    if (existing !== undefined) return existing;
    const created = new ServerStatistics();
    this.#servers.set(address, created);
    return created;
  }

  /** Returns the statistics of a service; creates them when there are none. */
  service(name: string): ServiceStatistics {
    const existing = this.#services.get(name);
    if (existing !== undefined) return existing;
    const created = new ServiceStatistics();
    this.#services.set(name, created);
    return created;
  }

  /** Returns the services that have finished a completion of this node. */
  completionServices(): ReadonlyArray<string> {
    const services = [...this.#services.entries()];
    return services
      .filter(([, statistics]) => statistics.hasCompletions)
      .map(([name]) => name);
  }

  /** Records that work was sent to a server, and returns an observer that records its progress. */
  start(address: string, placement: Placement, now: number): DispatchObserver {
    return new DispatchObserver({
      address,
      placement,
      startedAt: now,
      server: this.server(address),
      service: this.service(placement.service),
      caches: this.caches,
    });
  }
}
