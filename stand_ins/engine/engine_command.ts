import { command, flag, number, option, string } from "cmd-ts";
import { serveUntilTerminated } from "../utilities/serve_until_terminated.ts";
import { DEFAULT_ENGINE_OPTIONS } from "./engine_options.ts";
import { startEngine } from "./start_engine.ts";

function createNumberOption(
  long: string,
  fallback: number,
): ReturnType<typeof option<typeof number>> {
  return option({ long, type: number, defaultValue: () => fallback });
}

/** Runs a model engine stand-in until the process is terminated. */
export const ENGINE_COMMAND = command({
  name: "engine",
  description: "Simulates a model engine with continuous batching",
  args: {
    port: createNumberOption("port", DEFAULT_ENGINE_OPTIONS.port),
    batchSlots: createNumberOption(
      "batch-slots",
      DEFAULT_ENGINE_OPTIONS.batchSlots,
    ),
    tokensPerSecond: createNumberOption(
      "tokens-per-second",
      DEFAULT_ENGINE_OPTIONS.tokensPerSecond,
    ),
    prefixCacheTokens: createNumberOption(
      "prefix-cache-tokens",
      DEFAULT_ENGINE_OPTIONS.prefixCacheTokens,
    ),
    loadLagMilliseconds: createNumberOption(
      "load-lag-milliseconds",
      DEFAULT_ENGINE_OPTIONS.loadLagMilliseconds,
    ),
    cacheEventLossShare: createNumberOption(
      "cache-event-loss-share",
      DEFAULT_ENGINE_OPTIONS.cacheEventLossShare,
    ),
    slowFactor: createNumberOption(
      "slow-factor",
      DEFAULT_ENGINE_OPTIONS.slowFactor,
    ),
    swapMilliseconds: createNumberOption(
      "swap-milliseconds",
      DEFAULT_ENGINE_OPTIONS.swapMilliseconds,
    ),
    seed: createNumberOption("seed", DEFAULT_ENGINE_OPTIONS.seed),
    weightVersion: createNumberOption("weight-version", 1),
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
