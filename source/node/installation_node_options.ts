import type { InstallationSettings } from "../installation/installation_settings.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { Metrics } from "../observability/metrics.ts";
import type { DurableTable } from "../platform/durable_table.ts";
import type { Clock } from "../utilities/clock.ts";
import type { InstallationAdapters } from "./installation_adapters.ts";

/** Dependencies of a node of an installation. */
export interface InstallationNodeOptions {
  readonly settings: InstallationSettings;
  readonly adapters: InstallationAdapters;
  /** Identity of this process: the node's name and a random part that is new at each start. */
  readonly nodeStart: string;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly stopping: AbortSignal;
}

/** What most parts of a node need. */
export interface CommonDependencies {
  /** Clock of the node, or the one shared by all nodes for what is stored. */
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: DurableTable;
  readonly stopping: AbortSignal;
}
