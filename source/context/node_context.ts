import type { NodeSettings } from "../../generated/snipepath/v1/settings_pb.ts";
import type { CauseLedger } from "../observability/cause_ledger.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { Metrics } from "../observability/metrics.ts";
import type { Platform } from "../platform/platform.ts";
import type { Clock } from "../utilities/clock.ts";
import type { RandomSource } from "../utilities/random_source.ts";

/** Dependencies that all parts of a node share. */
export interface NodeContext {
  readonly settings: NodeSettings;
  /** Identity of this incarnation of the process, new at each start. */
  readonly nodeStart: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly platform: Platform;
  readonly ledger: CauseLedger;
  /** Aborted when the process stops, which ends all background tasks. */
  readonly stopping: AbortSignal;
}
