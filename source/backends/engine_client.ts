import type { FailureCause } from "./failure_cause.ts";

/** A completion as a model engine takes it. */
export interface EngineRequest {
  readonly requestIdentifier: string;
  /** Name of the model; "default" when absent. */
  readonly model?: string;
  readonly prompt: string;
  readonly maximumTokens: number;
  /** Smaller runs first. */
  readonly priority: number;
  /** Separates the prefix caches of organisations. */
  readonly cacheSalt: string;
  /** Text generated before on another engine, to go on from; empty for none. */
  readonly resumeText: string;
}

/** Tokens of one streamed event. */
export interface EngineTokens {
  readonly text: string;
  readonly tokens: number;
  readonly weightVersion: number;
}

/** Token counts of a finished completion. */
export interface EngineUsage {
  readonly promptTokens: number;
  readonly generatedTokens: number;
  readonly cachedTokens: number;
}

/** How a completion on one engine ended. */
export type EngineOutcome =
  | {
    readonly kind: "finished";
    readonly startIdentity: string;
    readonly finishReason: string;
    readonly usage: EngineUsage;
  }
  /** No byte was handed to a socket, or the engine said that it did not run. */
  | {
    readonly kind: "notRun";
    readonly reason: string;
    readonly cause?: FailureCause;
  }
  /** The engine may have run it in part or whole. */
  | {
    readonly kind: "unknown";
    readonly reason: string;
    readonly cause?: FailureCause;
  };

/** Load that an engine reports of itself, with a lag. */
export interface EngineLoad {
  readonly startIdentity: string;
  readonly running: number;
  readonly waiting: number;
  readonly cacheFreePermille: number;
  readonly weightVersions: ReadonlyArray<number>;
  readonly leaving: boolean;
  readonly tokensPerSecond: number;
}

/** An order to load a weight version. */
export interface LoadVersionOrder {
  readonly version: number;
  readonly location: string;
  readonly fencingNumber: number;
  readonly idempotencyKey: string;
}

/** What became of an order to an engine. */
export type EngineOrderOutcome =
  | { readonly kind: "done"; readonly startIdentity: string }
  | { readonly kind: "fenced"; readonly highest: number }
  | { readonly kind: "failed"; readonly reason: string }
  | { readonly kind: "notRun"; readonly reason: string }
  | { readonly kind: "unknown"; readonly reason: string };

/** A change in an engine's prefix cache. Events come late and with gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly prefixDigest: string;
}

/** How one exchange with a backend server is bounded. */
export interface ExchangeOptions {
  readonly signal: AbortSignal;
  /** Closes the connection when no byte came for so long. */
  readonly silenceMilliseconds: number;
  /** Asked in the tick in which the first byte would leave; false ends the exchange as `notRun`. */
  readonly mayStart?: () => boolean;
}

/** The published interface of model engines. */
export interface EngineClient {
  /** Runs a completion; `onTokens` gets each streamed event in order. */
  complete(
    address: string,
    request: EngineRequest,
    options: ExchangeOptions & {
      readonly onTokens: (tokens: EngineTokens) => void;
      /** Whether to use no connection that served another request. */
      readonly newConnection?: boolean;
      /** Called when the head of the engine's answer has come. */
      readonly onHead?: () => void;
    },
  ): Promise<EngineOutcome>;
  /** Reads the reported load; undefined when the engine did not answer. */
  load(
    address: string,
    options: ExchangeOptions,
  ): Promise<EngineLoad | undefined>;
  /** Reads cache events after a sequence number; undefined when the engine did not answer. */
  cacheEvents(
    address: string,
    options: ExchangeOptions & { readonly after: number },
  ): Promise<ReadonlyArray<CacheEvent> | undefined>;
  /** Orders an engine to load a weight version. */
  loadVersion(
    address: string,
    order: LoadVersionOrder,
    options: ExchangeOptions,
  ): Promise<EngineOrderOutcome>;
}
