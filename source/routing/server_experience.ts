import { LRUCache } from "lru-cache";
import { CacheKnowledge } from "./cache_knowledge.ts";
import { DispatchRecord } from "./dispatch_record.ts";
import type { Placement } from "./placement.ts";
import { ServerRecord } from "./server_record.ts";
import { ServiceRecord } from "./service_record.ts";

const MAXIMUM_SERVERS = 2_000;
const MAXIMUM_SERVICES = 100;

/** What this node knows of backend servers from its own requests. */
export class ServerExperience {
  /** Which prefixes servers are believed to have cached. */
  readonly caches = new CacheKnowledge();
  readonly #servers = new LRUCache<string, ServerRecord>({
    max: MAXIMUM_SERVERS,
  });
  readonly #services = new LRUCache<string, ServiceRecord>({
    max: MAXIMUM_SERVICES,
  });

  /** Requests that this node has running on a server. */
  running(address: string): number {
    return this.#servers.peek(address)?.running ?? 0;
  }

  /** Returns the record of a server. */
  server(address: string): ServerRecord {
    const known = this.#servers.get(address);
    if (known !== undefined) return known;
    const created = new ServerRecord();
    this.#servers.set(address, created);
    return created;
  }

  /** Returns the record of a service. */
  service(name: string): ServiceRecord {
    const known = this.#services.get(name);
    if (known !== undefined) return known;
    const created = new ServiceRecord();
    this.#services.set(name, created);
    return created;
  }

  /** Services to which completions were given. */
  completionServices(): ReadonlyArray<string> {
    const services = [...this.#services.entries()];
    return services
      .filter(([, record]) => record.hasCompletions)
      .map(([name]) => name);
  }

  /** Notes that work was given to a server. */
  start(address: string, placement: Placement, now: number): DispatchRecord {
    return new DispatchRecord({
      address,
      placement,
      startedAt: now,
      server: this.server(address),
      service: this.service(placement.service),
      caches: this.caches,
    });
  }
}
