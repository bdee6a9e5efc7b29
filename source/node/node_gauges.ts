import type { EntryServer } from "../entry/entry_server.ts";
import type { Membership } from "../membership/membership.ts";
import type { NodeContext } from "../context/node_context.ts";

const INTERVAL_MILLISECONDS = 5000;

/** Sources of the gauges. */
export interface NodeGaugesOptions {
  readonly context: NodeContext;
  readonly membership: Membership;
  readonly entry: EntryServer;
}

/**
 * Reports a node's state as gauges every 5 s until the node stops.
 * @param options - Sources of the gauges.
 */
export async function reportNodeGauges(
  options: NodeGaugesOptions,
): Promise<void> {
  const { context, membership, entry } = options;
  const { clock, metrics, stopping } = context;
  while (!stopping.aborted) {
    const peers = membership.peers.peers();
    const ages = peers.map((peer) => peer.ageMilliseconds)
      .filter((age) => Number.isFinite(age));
    metrics.gauge("peers", peers.length, {});
    metrics.gauge("peer_streams", membership.establishedStreams(), {});
    metrics.gauge("told.oldest_milliseconds", Math.max(0, ...ages), {});
    metrics.gauge(
      "keys.age_milliseconds",
      membership.peers.keyAgeMilliseconds(),
      {},
    );
    metrics.gauge("requests.running", entry.runningExchanges, {});
    metrics.gauge("resident_bytes", process.memoryUsage.rss(), {});
    await clock.sleep(INTERVAL_MILLISECONDS, stopping);
  }
}
