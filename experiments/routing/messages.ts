import type { EngineOptions } from "../../stand_ins/engine/engine_options.ts";
import type { RetryBudgetOptions } from "../../source/decisions/retry_budget.ts";
import type { RoutingPolicyName } from "../../source/routing/routing_policy.ts";

/** Address and failure domain of an engine. */
export interface EngineAddress {
  readonly address: string;
  readonly failureDomain: string;
}

/** Load that a dispatcher process generates. */
export interface LoadOptions {
  readonly requestsPerSecond: number;
  readonly durationMilliseconds: number;
  /** Time at the start whose requests are not measured, in milliseconds. */
  readonly warmupMilliseconds: number;
  readonly deadlineMilliseconds: number;
  readonly organisations: number;
  readonly sharedPromptCharacters: number;
  readonly minimumTokens: number;
  readonly maximumTokens: number;
}

/** Message to an engine process. */
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

/** Message to a dispatcher process. */
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
    /** Running requests by server and by each node that monitors the server. */
    readonly running: Readonly<
      Record<string, Readonly<Record<string, number>>>
    >;
  };

/** Node whose dispatcher the process runs. */
export interface NodeStart {
  readonly name: string;
  readonly failureDomain: string;
}

/** Counts of the requests that arrived in one second, and of those that finished in time. */
export interface SecondCounts {
  arrived: number;
  inTime: number;
}

/** Measurements of a dispatcher process, without the requests of the warm-up. */
export interface DispatcherResult {
  /** Latencies of finished requests in milliseconds. */
  readonly latencies: ReadonlyArray<number>;
  readonly arrived: number;
  readonly finished: number;
  /** Requests sent to engines. */
  readonly attempts: number;
  readonly inTime: number;
  /** Numbers of unfinished requests by kind and reason, separated by a space. */
  readonly refusals: Readonly<Record<string, number>>;
  readonly cachedTokens: number;
  readonly promptTokens: number;
  /** Counts for each second from the start of the run, zero during the warm-up. */
  readonly seconds: ReadonlyArray<SecondCounts>;
}

/** Message from a child process. */
export type ChildMessage =
  | { readonly kind: "ready" }
  | {
    readonly kind: "started";
    readonly engines: ReadonlyArray<EngineAddress>;
  }
  | {
    readonly kind: "running";
    /** Running requests by server and by node. */
    readonly running: Readonly<
      Record<string, Readonly<Record<string, number>>>
    >;
  }
  | { readonly kind: "result"; readonly result: DispatcherResult };
