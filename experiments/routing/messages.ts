import type { EngineOptions } from "../../stand_ins/engine/engine_options.ts";
import type { RetryBudgetOptions } from "../../source/dispatch/retry_budget.ts";
import type { RoutingPolicyName } from "../../source/routing/routing_policy.ts";

/** An engine as dispatchers know it. */
export interface EngineAddress {
  readonly address: string;
  readonly failureDomain: string;
}

/** Load that dispatchers drive. */
export interface LoadOptions {
  readonly requestsPerSecond: number;
  readonly durationMilliseconds: number;
  /** Requests that arrive in this time at the start are not measured. */
  readonly warmupMilliseconds: number;
  readonly deadlineMilliseconds: number;
  readonly organisations: number;
  readonly sharedPromptCharacters: number;
  readonly minimumTokens: number;
  readonly maximumTokens: number;
}

/** What an engine process is told. */
export type EngineCommand =
  | { readonly kind: "start"; readonly engines: ReadonlyArray<EngineStart> }
  | {
    readonly kind: "behave";
    readonly index: number;
    readonly options: Partial<EngineOptions>;
  }
  | { readonly kind: "stop"; readonly index: number }
  | { readonly kind: "restart"; readonly index: number };

/** An engine to start. */
export interface EngineStart {
  readonly failureDomain: string;
  readonly options: Partial<EngineOptions>;
}

/** What a dispatcher process is told. */
export type DispatcherCommand =
  | {
    readonly kind: "run";
    readonly engines: ReadonlyArray<EngineAddress>;
    readonly nodes: ReadonlyArray<NodeStart>;
    readonly load: LoadOptions;
    readonly policy: RoutingPolicyName;
    readonly retryBudget: RetryBudgetOptions;
    readonly seed: number;
    readonly readsCacheEvents: boolean;
  }
  | {
    readonly kind: "told";
    /** Running requests by server, of each node that watches it. */
    readonly running: Readonly<
      Record<string, Readonly<Record<string, number>>>
    >;
  };

/** A node whose dispatcher is run. */
export interface NodeStart {
  readonly name: string;
  readonly failureDomain: string;
}

/** Counts of one second of arrivals. */
export interface SecondCounts {
  arrived: number;
  inTime: number;
}

/** What a dispatcher process measured. */
export interface DispatcherResult {
  /** Latencies of finished requests in milliseconds. */
  readonly latencies: ReadonlyArray<number>;
  readonly arrived: number;
  readonly finished: number;
  /** Requests sent to engines. */
  readonly attempts: number;
  readonly inTime: number;
  readonly refusals: Readonly<Record<string, number>>;
  readonly cachedTokens: number;
  readonly promptTokens: number;
  readonly seconds: ReadonlyArray<SecondCounts>;
}

/** What child processes tell. */
export type ChildMessage =
  | { readonly kind: "ready" }
  | {
    readonly kind: "started";
    readonly engines: ReadonlyArray<EngineAddress>;
  }
  | {
    readonly kind: "running";
    readonly running: Readonly<
      Record<string, Readonly<Record<string, number>>>
    >;
  }
  | { readonly kind: "result"; readonly result: DispatcherResult };
