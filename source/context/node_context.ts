import type { NodeSettings } from "../../generated/snipepath/v1/settings_pb.ts";
import type { CauseLedger } from "../observability/cause_ledger.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { Metrics } from "../observability/metrics.ts";
import type { Platform } from "../platform/platform.ts";
import type { Clock } from "../utilities/clock.ts";
import type { RandomSource } from "../utilities/random_source.ts";

/** What every part of a node is given. */
export interface NodeContext {
  readonly settings: NodeSettings;
  /** Identity of this process, new at each start. */
  readonly nodeStart: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly platform: Platform;
  readonly ledger: CauseLedger;
  /** Aborted when the process ends; background tasks stop on it. */
  readonly stopping: AbortSignal;
}
