/** Options of a model engine stand-in. */
export interface EngineOptions {
  /** Port on loopback; 0 for a free port. */
  readonly port: number;
  /** One-way latency between caller and engine. */
  readonly latencyMilliseconds: number;
  /** Maximum number of requests in the batch. */
  readonly batchSlots: number;
  /** Maximum number of requests that wait for a slot; further ones are refused with status 429. */
  readonly maximumWaiting: number;
  /** Tokens generated per second for each running request. */
  readonly tokensPerSecond: number;
  /** Uncached prompt tokens processed per second for each running request. */
  readonly prefillTokensPerSecond: number;
  /** Time between two events of a stream. */
  readonly eventMilliseconds: number;
  readonly prefixCacheTokens: number;
  /** Loaded weight versions in ascending order; the last one generates. */
  readonly weightVersions: ReadonlyArray<number>;
  readonly loadLagMilliseconds: number;
  readonly cacheEventLagMilliseconds: number;
  /** Share of cache events that are lost, from 0 to 1. */
  readonly cacheEventLossShare: number;
  /** Factor by which generation is slowed down; 1 for full speed. */
  readonly slowFactor: number;
  /** Whether each completion is answered immediately with status 500. */
  readonly fastErrors: boolean;
  readonly checksFencing: boolean;
  /** Whether a load order is reported as executed without a change of weights. */
  readonly failsSwapsSilently: boolean;
  /** Time for which generation is paused during a weight swap. */
  readonly swapMilliseconds: number;
  /** http://HOST:PORT of the weight store; if empty, weights load immediately. */
  readonly weightStoreAddress: string;
  /** Whether texts stop early, at a length that depends on the prompt. */
  readonly variesLengths: boolean;
  readonly seed: number;
}

/** The options that can be changed while the engine runs. */
export type EngineBehaviour = Partial<
  Pick<EngineOptions, "slowFactor" | "fastErrors" | "failsSwapsSilently">
>;

/** Options of an engine without faults. */
export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  port: 0,
  latencyMilliseconds: 0,
  batchSlots: 8,
  maximumWaiting: 256,
  tokensPerSecond: 100,
  prefillTokensPerSecond: 4_000,
  eventMilliseconds: 20,
  prefixCacheTokens: 32_768,
  weightVersions: [1],
  loadLagMilliseconds: 500,
  cacheEventLagMilliseconds: 500,
  cacheEventLossShare: 0,
  slowFactor: 1,
  fastErrors: false,
  checksFencing: true,
  failsSwapsSilently: false,
  swapMilliseconds: 50,
  weightStoreAddress: "",
  variesLengths: false,
  seed: 1,
};
