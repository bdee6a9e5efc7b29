import type { ClientMemory } from "../client_memory/client_memory.ts";
import type { ClientMemoryLimits } from "../decisions/client_memory.ts";
import type { CrashRecords } from "../calls/crash_records.ts";
import type { DutyLease } from "../duties/duty_lease.ts";
import type { EnginePool } from "../durable_steps/engine_pool.ts";
import type { StepSupervisor } from "../durable_steps/step_supervisor.ts";
import type { NodeRegister } from "../installation/node_register.ts";
import type { RegionRules } from "../installation/region_rules.ts";
import type { ServerLimits } from "../installation/server_limits.ts";
import type { OperatorView } from "../installation/operator_view.ts";
import type { ServerPaths } from "../installation/server_paths.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { WarmUpLimits } from "../installation/warm_up_limits.ts";
import type { WorkSharing } from "../installation/work_sharing.ts";
import type { Metrics } from "../observability/metrics.ts";

/** Sources of the gauges. */
export interface InstallationGaugesOptions {
  readonly metrics: Metrics;
  readonly operator: OperatorView;
  readonly regionRules: Pick<RegionRules, "listCount">;
  readonly servers: ServerView;
  readonly register: NodeRegister;
  readonly steps: StepSupervisor;
  readonly pool: EnginePool;
  readonly limits: ServerLimits;
  readonly warmUpLimits: WarmUpLimits;
  readonly work: WorkSharing;
  readonly crashRecords: Pick<CrashRecords, "size">;
  readonly serverPaths: Pick<ServerPaths, "isCutOff">;
  readonly lease: DutyLease;
  readonly clientMemory: Pick<ClientMemory, "usedBytes" | "waiting">;
  readonly clientLimits: ClientMemoryLimits;
}

/** Number of organisations whose use has a series of its own. */
const LARGEST_ORGANISATIONS = 3;

/** Updates the gauges of a node; called when its metrics are scraped. */
export function setInstallationGauges(
  options: InstallationGaugesOptions,
): void {
  const { metrics, operator, servers, register, steps, pool, limits, lease } =
    options;
  const { crashRecords, serverPaths, regionRules, warmUpLimits, work } =
    options;
  const age = operator.ageMilliseconds() ?? -1;
  const { clientMemory, clientLimits } = options;
  metrics.gauge("client_memory_bytes", clientMemory.usedBytes, {});
  metrics.gauge("client_memory_limit_bytes", clientLimits.sumBytes, {});
  metrics.gauge("client_bodies_waiting", clientMemory.waiting, {});
  metrics.gauge("operator_view_age_milliseconds", age, {});
  metrics.gauge("key_view_fresh", Number(operator.isKeyViewFresh()), {});
  const version = operator.configuration?.version ?? -1;
  metrics.gauge("configuration_version", version, {});
  metrics.gauge("allowed_region_lists", regionRules.listCount, {});
  metrics.gauge("servers_known", servers.servers.size, {});
  const evacuatedDomains = servers.evacuatedDomains.size;
  metrics.gauge("failure_domains_evacuated", evacuatedDomains, {});
  metrics.gauge("servers_evacuated", servers.evacuatedServers, {});
  metrics.gauge("servers_limited", limits.limitedServers, {});
  metrics.gauge("servers_in_warm_up", warmUpLimits.warmingServers, {});
  metrics.gauge("requests_waiting_for_warm_up", warmUpLimits.waiting, {});
  metrics.gauge("requests_after_warm_up_wait", warmUpLimits.waited, {});
  setSharingGauges(metrics, work);
  metrics.gauge("contents_with_crashes", crashRecords.size, {});
  const isCutOff = Number(serverPaths.isCutOff);
  metrics.gauge("cut_off_from_servers", isCutOff, {});
  metrics.gauge("nodes_running", register.running.length, {});
  metrics.gauge("steps_running", steps.running, {});
  metrics.gauge("samples_waiting", pool.waiting, {});
  metrics.gauge("engine_load_spread", pool.loadSpread, {});
  metrics.gauge("duty_held", lease.getHeldDuty() === undefined ? 0 : 1, {});
}

// Sets the recent use of the largest organisations, by their place, and the spread between the largest
// use and the mean of all, so that the number of series does not depend on that of the organisations.
function setSharingGauges(metrics: Metrics, work: WorkSharing): void {
  for (const service of work.services) {
    const uses = [...work.listUse(service).values()].sort((left, right) =>
      right - left
    );
    const total = uses.reduce((sum, each) => sum + each, 0);
    const mean = uses.length === 0 ? 0 : total / uses.length;
    const spread = mean === 0 ? 0 : (uses[0] ?? 0) / mean;
    metrics.gauge("organisation_use_spread", spread, { service });
    metrics.gauge("organisations_with_use", uses.length, { service });
    for (let place = 0; place < LARGEST_ORGANISATIONS; place += 1) {
      metrics.gauge(
        "organisation_use_share",
        total === 0 ? 0 : (uses[place] ?? 0) / total,
        { service, place: String(place + 1) },
      );
    }
  }
}
