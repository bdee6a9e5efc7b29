import { createCallRelay } from "./create_call_relay.ts";
import { createCrashGuard } from "./create_crash_guard.ts";
import { createCallForwarder } from "../../source/calls/create_call_forwarder.ts";
import { ServerCallStatistics } from "../../source/calls/server_call_statistics.ts";
import { TextLengthEstimate } from "../../source/decisions/text_length.ts";
import { EnginePool } from "../../source/durable_steps/engine_pool.ts";
import { ProgressStore } from "../../source/durable_steps/progress_store.ts";
import { ResultList } from "../../source/durable_steps/result_list.ts";
import { StepRegistry } from "../../source/durable_steps/step_registry.ts";
import type { StepTools } from "../../source/durable_steps/step_tools.ts";
import { SubmissionStore } from "../../source/durable_steps/submission_store.ts";
import { RegionRules } from "../../source/installation/region_rules.ts";
import { ServerLimits } from "../../source/installation/server_limits.ts";
import { ServerView } from "../../source/installation/server_view.ts";
import { RecordingEventLog } from "../../source/observability/event_log.ts";
import type { DurableTable } from "../../source/platform/durable_table.ts";
import { createRandomSource } from "../../source/utilities/random_source.ts";
import { SystemClock } from "../../source/utilities/system_clock.ts";
import { ScriptedServerClient } from "./scripted_server_client.ts";

const ROW_BYTES = 65_536;

/**
 * Creates the dependencies shared by the components that run steps, without backend servers.
 * @param table - Store of the steps.
 * @param stopping - Aborts background work.
 * @param isStoreSilent - Whether the store is reported as unreachable and calls to it as hanging.
 */
export function createStepTools(
  table: DurableTable,
  stopping: AbortSignal = new AbortController().signal,
  isStoreSilent = false,
): StepTools {
  const clock = new SystemClock();
  const log = new RecordingEventLog();
  const random = createRandomSource(1);
  const common = { clock, log, table, stopping };
  const client = new ScriptedServerClient(() => ({ kind: "notRun" }));
  const servers = new ServerView({
    ...common,
    tableName: "servers",
    readRow: () => undefined,
    drainMilliseconds: 2000,
  });
  const limits = new ServerLimits({ node: "n1", clock, log });
  const serverStatistics = new ServerCallStatistics({
    clock,
    random,
    failureDomain: "a",
    limits,
    isConnected: () => false,
  });
  return {
    ...common,
    random,
    stepRegistry: new StepRegistry(common),
    submissionStore: new SubmissionStore({
      table,
      rowBytes: ROW_BYTES,
      readSubmission: () => undefined,
    }),
    results: new ResultList(table, ROW_BYTES),
    progress: new ProgressStore(table, ROW_BYTES),
    pool: new EnginePool(clock, {
      servers,
      limits,
      isConnected: () => false,
      findMemoryTokens: () => 0,
    }),
    textLengths: new TextLengthEstimate(),
    servers,
    client,
    serverStarts: { mayHaveChanged: () => Promise.resolve(false) },
    forwarder: createCallForwarder({
      crashGuard: createCrashGuard(client),
      callRelay: createCallRelay(client),
      ...common,
      random,
      servers,
      client,
      serverStatistics,
    }),
    storeHealth: { isUnreachable: isStoreSilent, isHanging: isStoreSilent },
    regionRules: new RegionRules({
      log,
      settings: { failureDomain: "a", region: "r", regions: new Map() },
      configuration: () => undefined,
    }),
    configuration: () => undefined,
  };
}
