import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { Service, ServiceScaling } from "../installation/configuration.ts";
import type { OperatorView } from "../installation/operator_view.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { DurableTable } from "../platform/durable_table.ts";
import { asObject } from "../platform/platform_answer.ts";
import type { Clock } from "../utilities/clock.ts";
import type { DutyClient } from "./duty_client.ts";
import type { DutyLease } from "./duty_lease.ts";
import { isCount } from "../utilities/number_ranges.ts";

const TABLE = "orders";
const CHECK_INTERVAL_MILLISECONDS = 500;
/**
 * Time for which a failure domain must have too few servers before a replacement is ordered. A
 * restarted server registers again within this time, and a server renews its expired entry within
 * about 2 s.
 */
const REPLACEMENT_DELAY_MILLISECONDS = 2500;
/** Time allowed for a new server to register after its start, before servers are ordered again. */
const REGISTRATION_MILLISECONDS = 2500;

/** Number of servers that a service should have, by failure domain. */
type Targets = Readonly<Record<string, number>>;

/** Dependencies of the server replacer. */
export interface ServerReplacerOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: DurableTable;
  readonly operator: OperatorView;
  readonly servers: ServerView;
  readonly duties: DutyClient;
  readonly lease: DutyLease;
  readonly stopping: AbortSignal;
}

/** Orders replacements for lost servers while this node holds the duty lease. */
export class ServerReplacer {
  readonly #options: ServerReplacerOptions;
  /** Target numbers of servers, by service. */
  readonly #targets = new Map<string, Targets>();
  /**
   * Monotonic time, in milliseconds, from which servers were missing, by service and failure
   * domain.
   */
  readonly #missingSince = new Map<string, number>();
  /** Monotonic time, in milliseconds, of the next possible order, by service and failure domain. */
  readonly #nextOrderAt = new Map<string, number>();

  /** @param options - The servers, the duty lease and the other dependencies. */
  constructor(options: ServerReplacerOptions) {
    this.#options = options;
  }

  /** Checks the servers periodically while this node holds the duty lease, until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping, lease } = this.#options;
    while (!stopping.aborted) {
      if (lease.getHeldDuty() !== undefined) await this.#checkServices();
      else this.#missingSince.clear();
      await clock.sleep(
        lease.toCheckInterval(CHECK_INTERVAL_MILLISECONDS),
        stopping,
      );
    }
  }

  async #checkServices(): Promise<void> {
    const { operator, servers } = this.#options;
    if (!servers.isCurrent) return;
    for (const service of operator.configuration?.services.values() ?? []) {
      const { scaling } = service;
      if (scaling === undefined) continue;
      const present = countByDomain(
        servers.ofServiceWithEvacuated(service.name),
      );
      const targets = await this.#loadTargets(service, present);
      if (targets === undefined) continue;
      for (const domain of Object.keys(targets)) {
        await this.#checkDomain({ service, scaling, targets, present, domain });
      }
    }
  }

  // Returns the targets of a service; undefined when none are known. The first lease holder stores
  // the server counts that it finds as the targets, and later holders read the stored targets.
  async #loadTargets(
    { name }: Service,
    present: ReadonlyMap<string, number>,
  ): Promise<Targets | undefined> {
    const cached = this.#targets.get(name);
    if (cached !== undefined || present.size === 0) return cached;
    const targets: Targets = Object.fromEntries(present);
    const place = { table: TABLE, partition: TABLE, key: `targets/${name}` };
    const outcome = await this.#options.table.commit({
      conditions: [{ ...place, version: 0 }],
      puts: [{ ...place, value: Buffer.from(JSON.stringify(targets)) }],
    });
    if (outcome.kind !== "ok") return undefined;
    const [row] = outcome.value.kind === "conflict" ? outcome.value.rows : [];
    const stored = row === undefined ? targets : readTargets(row.value);
    if (stored === undefined) return undefined;
    this.#targets.set(name, stored);
    return stored;
  }

  async #checkDomain(
    { service, scaling, targets, present, domain }: {
      readonly service: Service;
      readonly scaling: ServiceScaling;
      readonly targets: Targets;
      readonly present: ReadonlyMap<string, number>;
      readonly domain: string;
    },
  ): Promise<void> {
    const now = this.#options.clock.monotonic();
    const key = `${service.name}/${domain}`;
    const target = Math.min(targets[domain] ?? 0, scaling.maximum);
    // Nothing is ordered in an evacuated failure domain, and servers that end there meanwhile count as
    // missing only after the evacuation.
    if ((present.get(domain) ?? 0) >= target || this.#isEvacuated(domain)) {
      this.#missingSince.delete(key);
      return;
    }
    const since = this.#missingSince.get(key) ?? now;
    this.#missingSince.set(key, since);
    if (now - since < REPLACEMENT_DELAY_MILLISECONDS) return;
    if (now < (this.#nextOrderAt.get(key) ?? 0)) return;
    const wait = scaling.startMilliseconds + REGISTRATION_MILLISECONDS;
    this.#nextOrderAt.set(key, now + wait);
    await this.#sendOrder(service.name, { domain, servers: target });
  }

  #isEvacuated(failureDomain: string): boolean {
    return this.#options.servers.isEvacuated({ failureDomain });
  }

  async #sendOrder(
    service: string,
    { domain, servers }: { readonly domain: string; readonly servers: number },
  ): Promise<void> {
    const { duties, lease, log } = this.#options;
    const duty = lease.getHeldDuty();
    if (duty === undefined) return;
    const outcome = await duties.orderServers({
      service,
      failureDomain: domain,
      servers,
      isReclaimable: false,
    }, {
      duty,
      guard: () => lease.isStillHeld(duty) && !this.#isEvacuated(domain),
    });
    log.emit("serverOrderSent", {
      service,
      failureDomain: domain,
      servers,
      isReclaimable: false,
      fencingNumber: duty.fencingNumber,
      outcome: outcome.kind,
    });
  }
}

function countByDomain(
  servers: ReadonlyArray<BackendServerEntry>,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { failureDomain, isReclaimable } of servers) {
    if (isReclaimable) continue;
    counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1);
  }
  return counts;
}

// Returns undefined for a row that this program did not write; the service then gets no orders.
function readTargets(value: Buffer): Targets | undefined {
  try {
    const targets = asObject(JSON.parse(value.toString())) ?? {};
    return Object.values(targets).every((count) => isCount(count))
      ? targets as Targets
      : undefined;
  } catch {
    return undefined;
  }
}
