import { CallRelay } from "../../source/calls/call_relay.ts";
import { ServerPaths } from "../../source/installation/server_paths.ts";
import { RecordingEventLog } from "../../source/observability/event_log.ts";
import { createRandomSource } from "../../source/utilities/random_source.ts";
import { SystemClock } from "../../source/utilities/system_clock.ts";
import type { ScriptedServerClient } from "./scripted_server_client.ts";

/** Creates a relay of a node that is alone and reaches its servers. */
export function createCallRelay(client: ScriptedServerClient): CallRelay {
  const clock = new SystemClock();
  const log = new RecordingEventLog();
  const random = createRandomSource(1);
  return new CallRelay({
    clock,
    log,
    random,
    client: {
      open: () =>
        Promise.resolve({ kind: "notRun", reason: "none", cause: "connect" }),
    },
    paths: new ServerPaths({
      clock,
      log,
      random,
      client,
      listServers: () => [],
      findHealthPath: () => "/health",
      stopping: new AbortController().signal,
    }),
    failureDomain: "a",
    isInRegion: () => true,
    listOthers: () => [],
  });
}
