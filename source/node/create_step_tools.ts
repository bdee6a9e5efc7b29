import { CallGateReport } from "../calls/call_gate_report.ts";
import type { CallRelay } from "../calls/call_relay.ts";
import type { CrashGuard } from "../calls/crash_guard.ts";
import { createCallForwarder } from "../calls/create_call_forwarder.ts";
import { TextLengthEstimate } from "../decisions/text_length.ts";
import { ProgressStore } from "../durable_steps/progress_store.ts";
import { ResultList } from "../durable_steps/result_list.ts";
import { StepRegistry } from "../durable_steps/step_registry.ts";
import type { StepTools } from "../durable_steps/step_tools.ts";
import { SubmissionStore } from "../durable_steps/submission_store.ts";
import { ContinuationClient } from "../installation/continuation_client.ts";
import type { ServerLimits } from "../installation/server_limits.ts";
import type { ServerPaths } from "../installation/server_paths.ts";
import { ServerStarts } from "../installation/server_starts.ts";
import type { WorkSharing } from "../installation/work_sharing.ts";
import type { MeasuredTable } from "../platform/measured_table.ts";
import type { FollowerPace } from "../platform/table_follower.ts";
import type { Clock } from "../utilities/clock.ts";
import type { RandomSource } from "../utilities/random_source.ts";
import type { ServerChoice } from "./create_server_choice.ts";
import type { StoreViews } from "./create_store_views.ts";
import type { WarmUps } from "./create_warm_ups.ts";
import type {
  CommonDependencies,
  InstallationNodeOptions,
} from "./installation_node_options.ts";

/** What the tools of steps need of the other parts of a node. */
export interface StepToolParts
  extends StoreViews, Pick<ServerChoice, "statistics" | "pool"> {
  readonly common: CommonDependencies & { readonly table: MeasuredTable };
  /** Clock whose wall time is close to that of the other nodes. */
  readonly sharedClock: Clock;
  readonly random: RandomSource;
  /** Returns how often the table of steps is read. */
  readonly pace: () => FollowerPace;
  readonly warmUps: WarmUps;
  readonly limits: ServerLimits;
  readonly serverPaths: ServerPaths;
  readonly crashGuard: CrashGuard;
  readonly callRelay: CallRelay;
  readonly work: WorkSharing;
}

/**
 * Creates what steps and calls need to send requests to servers and to store results.
 * @example
 * ```ts
 * const tools = createStepTools(options, parts);
 * ```
 */
export function createStepTools(
  { settings, adapters, log, metrics }: InstallationNodeOptions,
  parts: StepToolParts,
): StepTools {
  const { common, sharedClock, random, operator, servers } = parts;
  const { client } = adapters;
  const { table } = common;
  const { rowBytes } = settings;
  const serverStarts = new ServerStarts({
    log,
    client,
    limits: parts.limits,
    paths: parts.serverPaths,
    servers,
    waitForWarmUp: parts.warmUps.waitForRoom,
  });
  const continuationClient = new ContinuationClient({ client, serverStarts });
  return {
    ...common,
    clock: sharedClock,
    random,
    stepRegistry: new StepRegistry({ ...common, pace: parts.pace }),
    pool: parts.pool,
    textLengths: new TextLengthEstimate(),
    servers,
    client: continuationClient,
    serverStarts,
    submissionStore: new SubmissionStore({
      table,
      rowBytes,
      readSubmission: adapters.readSubmission,
    }),
    results: new ResultList(table, rowBytes),
    progress: new ProgressStore(table, rowBytes),
    forwarder: createCallForwarder({
      ...common,
      random,
      servers,
      client: continuationClient,
      serverStatistics: parts.statistics,
      crashGuard: parts.crashGuard,
      callRelay: parts.callRelay,
      work: parts.work,
      report: new CallGateReport(metrics),
    }),
    storeHealth: table.health,
    regionRules: parts.regionRules,
    configuration: () => operator.configuration,
  };
}
