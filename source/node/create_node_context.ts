import { randomInt, randomUUID } from "node:crypto";
import type { NodeSettings } from "../../generated/snipepath/v1/settings_pb.ts";
import type { EventLevel } from "../observability/event_definition.ts";
import { createEventLog } from "../observability/event_log.ts";
import { MemoryCauseLedger } from "../observability/memory_cause_ledger.ts";
import { type Metrics, NO_METRICS } from "../observability/metrics.ts";
import { StatsdMetrics } from "../observability/statsd_metrics.ts";
import { createPlatform } from "../platform/create_platform.ts";
import { createRandomSource } from "../utilities/random_source.ts";
import { SystemClock } from "../utilities/system_clock.ts";
import type { NodeContext } from "../context/node_context.ts";

const LARGEST_SEED = 0x7fff_ffff;

/**
 * Creates the dependencies that all parts of a node share.
 * @param settings - The node's validated settings.
 * @param stopping - Aborted when the process stops.
 */
export function createNodeContext(
  settings: NodeSettings,
  stopping: AbortSignal,
): NodeContext {
  const clock = new SystemClock();
  const metrics = createMetrics(settings);
  const log = createEventLog({
    source: settings.node,
    lowestLevel: settings.logLevel as EventLevel,
  });
  return {
    settings,
    nodeStart: randomUUID(),
    clock,
    random: createRandomSource(settings.randomSeed || randomInt(LARGEST_SEED)),
    log,
    metrics,
    platform: createPlatform({
      address: settings.platformAddress,
      clock,
      silenceMilliseconds: settings.silenceMilliseconds,
      timeoutMilliseconds: 2 * settings.silenceMilliseconds,
      log,
    }),
    ledger: new MemoryCauseLedger({ clock, metrics }),
    stopping,
  };
}

function createMetrics(settings: NodeSettings): Metrics {
  if (settings.metricsAddress === "") return NO_METRICS;
  return new StatsdMetrics({
    address: settings.metricsAddress,
    node: settings.node,
  });
}
