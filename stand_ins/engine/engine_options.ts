/** How a model engine stand-in behaves. */
export interface EngineOptions {
  /** Port on loopback; 0 for a free one. */
  readonly port: number;
  /** One way, between caller and engine, in milliseconds. */
  readonly latencyMilliseconds: number;
  /** Requests that generate at the same time. */
  readonly batchSlots: number;
  /** Requests that may wait for a slot; more are refused as not run. */
  readonly maximumWaiting: number;
  /** Tokens a second for each running request. */
  readonly tokensPerSecond: number;
  /** Uncached prompt tokens read a second. */
  readonly prefillTokensPerSecond: number;
  /** Time between two events of a stream, in milliseconds. */
  readonly eventMilliseconds: number;
  readonly prefixCacheTokens: number;
  /** Loaded weight versions, ascending; the last one generates. */
  readonly weightVersions: ReadonlyArray<number>;
  readonly loadLagMilliseconds: number;
  readonly cacheEventLagMilliseconds: number;
  /** Share of cache events that are never published, from 0 to 1. */
  readonly cacheEventLossShare: number;
  /** Divides the speed; 1 is normal. */
  readonly slowFactor: number;
  /** Answers each completion at once with status 500. */
  readonly fastErrors: boolean;
  readonly checksFencing: boolean;
  /** Says that a load order was done without doing it. */
  readonly failsSwapsSilently: boolean;
  /** Time in which nothing is generated while a version is swapped, in milliseconds. */
  readonly swapMilliseconds: number;
  /** http://HOST:PORT of the weight store; empty loads at once. */
  readonly weightStoreAddress: string;
  /** Ends texts early at a length that depends on the prompt. */
  readonly variesLengths: boolean;
  readonly seed: number;
}

/** Behaviour that can be changed while the engine runs. */
export type EngineBehaviour = Partial<
  Pick<EngineOptions, "slowFactor" | "fastErrors" | "failsSwapsSilently">
>;

/** Behaviour of an engine without faults. */
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
