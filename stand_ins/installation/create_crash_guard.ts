import type { ServerClient } from "../../source/backends/server_client.ts";
import { CrashDetector } from "../../source/calls/crash_detector.ts";
import { CrashGuard } from "../../source/calls/crash_guard.ts";
import { CrashRecords } from "../../source/calls/crash_records.ts";
import { ServerCheck } from "../../source/installation/server_check.ts";
import { RecordingEventLog } from "../../source/observability/event_log.ts";
import { USUAL_PACE } from "../../source/platform/table_follower.ts";
import { SystemClock } from "../../source/utilities/system_clock.ts";
import { MemoryDurableTable } from "./memory_durable_table.ts";

/** Creates a crash guard with records of its own that no other node changes. */
export function createCrashGuard(client: ServerClient): CrashGuard {
  const log = new RecordingEventLog();
  return new CrashGuard({
    log,
    detector: new CrashDetector({
      check: new ServerCheck({
        client,
        findHealthPath: () => "/health",
        isEvacuated: () => false,
      }),
      isCutOff: () => Promise.resolve(false),
    }),
    records: new CrashRecords({
      clock: new SystemClock(),
      log,
      table: new MemoryDurableTable(),
      findServers: () => [],
      lease: { getHeldDuty: () => undefined },
      pace: () => USUAL_PACE,
      stopping: new AbortController().signal,
    }),
  });
}
