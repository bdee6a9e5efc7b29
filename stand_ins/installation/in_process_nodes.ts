import { InstallationEntryServer } from "../../platform/entry_server.ts";
import { readOperatorRow } from "../../platform/operator_rows.ts";
import { InstallationPeerClient } from "../../platform/peer_client.ts";
import { readSignature } from "../../platform/server_answer.ts";
import { InstallationServerClient } from "../../platform/server_client.ts";
import { readServerRow } from "../../platform/server_rows.ts";
import { readSettingsFile } from "../../platform/settings_file.ts";
import { readSubmission } from "../../platform/step_messages.ts";
import { ConnectionPools } from "../../source/backends/connection_pools.ts";
import { toProcessIdentity } from "../../source/installation/process_identity.ts";
import { createInstallationNode } from "../../source/node/create_installation_node.ts";
import type { InstallationNode } from "../../source/node/installation_node.ts";
import { RecordingEventLog } from "../../source/observability/event_log.ts";
import { ScrapedMetrics } from "../../source/observability/scraped_metrics.ts";
import type { DurableTable } from "../../source/platform/durable_table.ts";
import { SystemClock } from "../../source/utilities/system_clock.ts";
import { BreakablePools } from "./breakable_pools.ts";
import { findFreePort } from "./find_free_port.ts";

/** A node that runs in the process of the test. */
export interface InProcessNode {
  readonly name: string;
  /** HOST:PORT that callers connect to. */
  readonly caller: string;
  /** HOST:PORT at which the node serves other nodes. */
  readonly peer: string;
  readonly node: InstallationNode;
  readonly log: RecordingEventLog;
  /** Connections to servers, whose path the test can break. */
  readonly pools: BreakablePools;
  readonly stop: () => Promise<void>;
}

/** Where a node runs. */
export interface InProcessPlace {
  readonly failureDomain: string;
  /** Region by failure domain. */
  readonly regions: Readonly<Record<string, string>>;
}

/**
 * Starts a node in this process and waits until it is ready.
 * @param table - The store.
 * @param name - Name of the node.
 * @param place - Where it runs; the failure domain "a" and the region "r" if absent.
 */
export async function startInProcessNode(
  table: DurableTable,
  name: string,
  place: InProcessPlace = { failureDomain: "a", regions: {} },
): Promise<InProcessNode> {
  for (;;) {
    try {
      return await tryStartNode(table, name, place);
    } catch (error) {
      // Another process may bind a port after it was chosen and before the node binds it.
      if (!String(error).includes("EADDRINUSE")) throw error;
    }
  }
}

async function tryStartNode(
  table: DurableTable,
  name: string,
  { failureDomain, regions }: InProcessPlace,
): Promise<InProcessNode> {
  const [front, peer] = await Promise.all([findFreePort(), findFreePort()]);
  const caller = `127.0.0.1:${front}`;
  const read = readSettingsFile(JSON.stringify({
    "node_name": name,
    zone: failureDomain,
    region: regions[failureDomain] ?? "r",
    zones: regions,
    ip: "127.0.0.1",
    "internal_ports": [peer, peer],
    listen: { front: caller },
    platform: { address: "127.0.0.1:1" },
  }));
  if (read.kind !== "read") throw new Error(read.problem);
  const { settings } = read;
  const clock = new SystemClock();
  const log = new RecordingEventLog();
  const pools = new BreakablePools();
  const peerPools = new ConnectionPools();
  const stopping = new AbortController();
  const node = await createInstallationNode({
    settings,
    nodeStart: toProcessIdentity(name, "1"),
    clock,
    log,
    metrics: new ScrapedMetrics(),
    stopping: stopping.signal,
    adapters: {
      table,
      watchStoreTime: () => {},
      client: new InstallationServerClient({ clock, pools }),
      peers: new InstallationPeerClient({ clock, pools: peerPools }),
      duties: undefined,
      operatorTable: "op",
      serverTable: "servers",
      readOperatorRow,
      readServerRow,
      readSubmission,
      readSignature,
    },
  });
  const entry = new InstallationEntryServer({ clock, log, node });
  try {
    await entry.listenForCallers(caller);
    await entry.listenForPeers(settings.peerAddress ?? "");
  } catch (error) {
    entry.close();
    throw error;
  }
  void node.run();
  while (!node.isReady || !node.parts.register.isLoaded) await clock.sleep(50);
  return {
    name,
    caller,
    peer: `127.0.0.1:${peer}`,
    node,
    log,
    pools,
    stop: async () => {
      stopping.abort();
      entry.close();
      await Promise.all([pools.close(), peerPools.close()]);
    },
  };
}
