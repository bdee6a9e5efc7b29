import type { ServerClient } from "../backends/server_client.ts";
import type { HedgeTiming } from "../decisions/hedge_timing.ts";
import type { RetryBudget } from "../decisions/retry_budget.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "../utilities/clock.ts";
import type { RandomSource } from "../utilities/random_source.ts";
import type { CallGate } from "./call_gate.ts";
import type { CallRelay } from "./call_relay.ts";
import type { CrashGuard } from "./crash_guard.ts";
import type { ServerCallStatistics } from "./server_call_statistics.ts";

/** Dependencies of a call forwarder. */
export interface CallForwarderOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly servers: ServerView;
  readonly client: Pick<ServerClient, "open">;
  readonly serverStatistics: ServerCallStatistics;
  readonly crashGuard: CrashGuard;
  readonly callRelay: CallRelay;
  readonly gate: CallGate;
  readonly retryBudget: RetryBudget;
  readonly hedgeTiming: HedgeTiming;
}
