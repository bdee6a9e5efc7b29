import { CallRelay } from "../../source/calls/call_relay.ts";
import type { PeerClient } from "../../source/calls/peer_client.ts";
import type { NodeRecord } from "../../source/installation/node_record.ts";
import { ServerCheck } from "../../source/installation/server_check.ts";
import { ServerPaths } from "../../source/installation/server_paths.ts";
import { RecordingEventLog } from "../../source/observability/event_log.ts";
import { createRandomSource } from "../../source/utilities/random_source.ts";
import { SystemClock } from "../../source/utilities/system_clock.ts";
import { createServerEntry } from "./create_server_entry.ts";
import type { ScriptedServerClient } from "./scripted_server_client.ts";

/** The other nodes of a node that reaches no server. */
export interface CutOffNode {
  readonly others: ReadonlyArray<string>;
  /** Failure domain of each of them; "a", that of the node, if absent. */
  readonly findDomain?: (node: string) => string;
  /** Sends a call to another node. */
  readonly open: PeerClient["open"];
}

const ALONE: CutOffNode = {
  others: [],
  open: () =>
    Promise.resolve({ kind: "notRun", reason: "none", cause: "connect" }),
};

/**
 * Creates a relay of a node that is alone and reaches its servers, or of one that is cut off.
 * @param client - Client of the servers, which refuse connections if the node is cut off.
 * @param cutOff - The other nodes; absent if the node reaches the servers.
 */
export function createCallRelay(
  client: ScriptedServerClient,
  cutOff?: CutOffNode,
): CallRelay {
  const clock = new SystemClock();
  const log = new RecordingEventLog();
  const random = createRandomSource(1);
  const servers = cutOff === undefined
    ? []
    : ["e1", "e2"].map((name) => createServerEntry(name));
  for (const { identifier } of servers) client.endedServers.add(identifier);
  const { others, open, findDomain = () => "a" } = cutOff ?? ALONE;
  return new CallRelay({
    clock,
    log,
    random,
    client: { open },
    paths: new ServerPaths({
      clock,
      log,
      random,
      check: new ServerCheck({
        client,
        findHealthPath: () => "/health",
        isEvacuated: () => false,
      }),
      listServers: () => servers,
      stopping: AbortSignal.abort(),
    }),
    failureDomain: "a",
    region: "a",
    isInRegion: (failureDomain) => failureDomain === "a",
    listOthers: () =>
      others.map((node) => createNodeRecord(node, findDomain(node))),
  });
}

function createNodeRecord(node: string, failureDomain: string): NodeRecord {
  return {
    node,
    nodeStart: node,
    failureDomain,
    processorShare: 1,
    callerAddress: `${node}:1`,
    peerAddress: `${node}:2`,
    isServing: true,
    isCutOff: false,
    isRunningSteps: false,
    heartbeatMilliseconds: 300,
    engineUse: undefined,
    leavingServers: [],
    limits: [],
    wallOffset: undefined,
    usageSettledThrough: 0,
  };
}
