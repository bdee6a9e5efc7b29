import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { Service, ServiceScaling } from "../installation/configuration.ts";
import type { OperatorView } from "../installation/operator_view.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { DurableTable } from "../platform/durable_table.ts";
import type { Clock } from "../utilities/clock.ts";
import type { DutyClient } from "./duty_client.ts";
import type { DutyLease } from "./duty_lease.ts";

const TABLE = "orders";
const CHECK_INTERVAL_MILLISECONDS = 500;
/** A restarted server registers again within this time; a lapsed entry is back within about 2 s. */
const MISSING_MILLISECONDS = 2500;
/** Time after a start until a new server has registered. */
const REGISTER_MILLISECONDS = 2500;

/** Servers that each failure domain should have. */
type Targets = Readonly<Record<string, number>>;

/** What server orders work with. */
export interface ServerOrdersOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: DurableTable;
  readonly operator: OperatorView;
  readonly servers: ServerView;
  readonly duties: DutyClient;
  readonly lease: DutyLease;
  readonly stopping: AbortSignal;
}

/** Orders servers in place of lost ones while this node holds the duty. */
export class ServerOrders {
  readonly #options: ServerOrdersOptions;
  readonly #targets = new Map<string, Targets>();
  readonly #missingSince = new Map<string, number>();
  readonly #orderedUntil = new Map<string, number>();

  /** @param options - The servers and the duty. */
  constructor(options: ServerOrdersOptions) {
    this.#options = options;
  }

  /** Orders while the duty is held, until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping, lease } = this.#options;
    while (!stopping.aborted) {
      if (lease.ifHeld() !== undefined) await this.#check();
      else this.#missingSince.clear();
      await clock.sleep(CHECK_INTERVAL_MILLISECONDS, stopping);
    }
  }

  async #check(): Promise<void> {
    const { operator, servers } = this.#options;
    if (!servers.isCurrent) return;
    for (const service of operator.configuration?.services.values() ?? []) {
      const { scaling } = service;
      if (scaling === undefined) continue;
      const present = countByDomain(servers.ofService(service.name));
      const targets = await this.#findTargets(service, present);
      if (targets === undefined) continue;
      for (const domain of Object.keys(targets)) {
        await this.#checkDomain({ service, scaling, targets, present, domain });
      }
    }
  }

  // The first holder keeps what the installation was set up with.
  async #findTargets(
    { name }: Service,
    present: ReadonlyMap<string, number>,
  ): Promise<Targets | undefined> {
    const known = this.#targets.get(name);
    if (known !== undefined || present.size === 0) return known;
    const targets: Targets = Object.fromEntries(present);
    const place = { table: TABLE, partition: TABLE, key: `targets/${name}` };
    const outcome = await this.#options.table.commit({
      conditions: [{ ...place, version: 0 }],
      puts: [{ ...place, value: Buffer.from(JSON.stringify(targets)) }],
    });
    if (outcome.kind !== "ok") return undefined;
    const [row] = outcome.value.kind === "conflict" ? outcome.value.rows : [];
    const kept = row === undefined
      ? targets
      : JSON.parse(row.value.toString()) as Targets;
    this.#targets.set(name, kept);
    return kept;
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
    const wanted = Math.min(targets[domain] ?? 0, scaling.maximum);
    if ((present.get(domain) ?? 0) >= wanted) {
      this.#missingSince.delete(key);
      return;
    }
    const since = this.#missingSince.get(key) ?? now;
    this.#missingSince.set(key, since);
    if (now - since < MISSING_MILLISECONDS) return;
    if (now < (this.#orderedUntil.get(key) ?? 0)) return;
    const wait = scaling.startMilliseconds + REGISTER_MILLISECONDS;
    this.#orderedUntil.set(key, now + wait);
    await this.#order(service.name, { domain, servers: wanted });
  }

  async #order(
    service: string,
    { domain, servers }: { readonly domain: string; readonly servers: number },
  ): Promise<void> {
    const { duties, lease, log } = this.#options;
    const duty = lease.ifHeld();
    if (duty === undefined) return;
    const outcome = await duties.orderServers({
      service,
      failureDomain: domain,
      servers,
      isReclaimable: false,
    }, { duty, guard: () => lease.mayAct(duty) });
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
