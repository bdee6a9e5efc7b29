import { command, flag, number, option, string } from "cmd-ts";
import { serveUntilTerminated } from "../utilities/serve_until_terminated.ts";
import { DEFAULT_ENGINE_OPTIONS } from "./engine_options.ts";
import { startEngine } from "./start_engine.ts";

function numberOption(
  long: string,
  fallback: number,
): ReturnType<typeof option<typeof number>> {
  return option({ long, type: number, defaultValue: () => fallback });
}

/** Runs a stand-in of a model engine until it is terminated. */
export const ENGINE_COMMAND = command({
  name: "engine",
  description: "A model engine that batches continuously",
  args: {
    port: numberOption("port", DEFAULT_ENGINE_OPTIONS.port),
    batchSlots: numberOption("batch-slots", DEFAULT_ENGINE_OPTIONS.batchSlots),
    tokensPerSecond: numberOption(
      "tokens-per-second",
      DEFAULT_ENGINE_OPTIONS.tokensPerSecond,
    ),
    prefixCacheTokens: numberOption(
      "prefix-cache-tokens",
      DEFAULT_ENGINE_OPTIONS.prefixCacheTokens,
    ),
    loadLagMilliseconds: numberOption(
      "load-lag-milliseconds",
      DEFAULT_ENGINE_OPTIONS.loadLagMilliseconds,
    ),
    cacheEventLossShare: numberOption(
      "cache-event-loss-share",
      DEFAULT_ENGINE_OPTIONS.cacheEventLossShare,
    ),
    slowFactor: numberOption("slow-factor", DEFAULT_ENGINE_OPTIONS.slowFactor),
    swapMilliseconds: numberOption(
      "swap-milliseconds",
      DEFAULT_ENGINE_OPTIONS.swapMilliseconds,
    ),
    seed: numberOption("seed", DEFAULT_ENGINE_OPTIONS.seed),
    weightVersion: numberOption("weight-version", 1),
    weightStoreAddress: option({
      long: "weight-store",
      type: string,
      defaultValue: () => "",
    }),
    ignoresFencing: flag({ long: "ignores-fencing" }),
    failsSwapsSilently: flag({ long: "fails-swaps-silently" }),
    fastErrors: flag({ long: "fast-errors" }),
    variesLengths: flag({ long: "varies-lengths" }),
  },
  handler: async ({ ignoresFencing, weightVersion, ...options }) => {
    await serveUntilTerminated(startEngine({
      ...options,
      weightVersions: [weightVersion],
      checksFencing: !ignoresFencing,
    }));
  },
});
