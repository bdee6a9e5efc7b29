import type { IncomingMessage, ServerResponse } from "node:http";
import type { EngineTokens, EngineUsage } from "../backends/engine_client.ts";
import type { LedgerEntry } from "../observability/cause_ledger.ts";

/** Properties that completions and plain calls have in common. */
export interface Work {
  readonly requestIdentifier: string;
  readonly service: string;
  readonly classOfWork: string;
  /**
   * Name of the organisation; "open" for a request without a key or on a route that requires no
   * key.
   */
  readonly organisation: string;
  /** Monotonic time by which the response must be complete, in milliseconds. */
  readonly deadline: number;
  readonly ledger: LedgerEntry;
  /**
   * Aborted when the caller disconnects, the caller's key is withdrawn or the work is cancelled.
   */
  readonly signal: AbortSignal;
}

/** Completion to run on any engine of a service. */
export interface CompletionWork extends Work {
  readonly prompt: string;
  readonly maximumTokens: number;
  /**
   * Lowest weight version that may generate tokens; engines that have loaded only older ones are
   * excluded. 0 allows any version.
   */
  readonly minimumWeightVersion: number;
  /** Receives tokens in order; retries resume after the received tokens and never restart. */
  readonly onTokens?: (tokens: EngineTokens) => void;
  /** Addresses of servers to exclude, such as the one that already runs the same sample. */
  readonly avoidServers?: ReadonlyArray<string>;
  /**
   * Tokens of an earlier run of the same completion, from which this run resumes; the result starts
   * with these tokens.
   */
  readonly resumeFrom?: ReadonlyArray<EngineTokens>;
  /** Called with the address of each server to which the work is sent. */
  readonly onServer?: (address: string) => void;
}

/** Reason why work was refused or ended early. */
export type RefusalReason =
  | "noCapacity"
  | "quota"
  | "queueFull"
  | "deadline"
  | "cancelled"
  | "keyWithdrawn"
  | "platformUnavailable"
  | "leaving"
  | "backendFailure"
  | "staleKeys"
  | "retryBudget";

/** Result of work that ended without a complete response. */
export interface DispatchRefusal {
  /**
   * `notRun`: no byte of the request was written to a socket, or the backend server stated that it
   * did not run the request. `unknown`: a backend server may have run the request.
   */
  readonly kind: "notRun" | "unknown";
  readonly reason: RefusalReason;
  readonly detail: string;
  readonly retryAfterMilliseconds: number;
}

/** Consecutive tokens that one weight version generated. */
export interface Stretch {
  readonly weightVersion: number;
  readonly tokens: number;
}

/** Complete result of a completion. */
export interface FinishedCompletion {
  readonly kind: "finished";
  readonly text: string;
  readonly stretches: ReadonlyArray<Stretch>;
  readonly finishReason: string;
  readonly usage: EngineUsage;
  /** Address of the engine that finished the completion. */
  readonly server: string;
  /** Incarnation of that engine's process. */
  readonly serverStart: string;
}

/** Result of a completion. */
export type CompletionOutcome = FinishedCompletion | DispatchRefusal;

/** Call of a plain service. */
export interface PlainWork extends Work {
  /** Path and query that are sent to the backend server. */
  readonly path: string;
  /** Whether the call may run more than once. */
  readonly repeatable: boolean;
  /** Caller's request, whose body is streamed to the backend server. */
  readonly request: IncomingMessage;
  /** Caller's response, to which the backend server's response is streamed. */
  readonly response: ServerResponse;
}

/** Result of a plain call. */
export type PlainOutcome =
  /** The complete response was sent to the caller. */
  | {
    readonly kind: "finished";
    readonly status: number;
    readonly server: string;
  }
  /** The response broke off while it was relayed, and the caller's connection was closed. */
  | { readonly kind: "cut"; readonly detail: string }
  | DispatchRefusal;

/**
 * Runs work on backend servers: chooses a server, sends the work and retries it where that is
 * allowed.
 */
export interface Dispatcher {
  /** Runs a completion. */
  runCompletion(work: CompletionWork): Promise<CompletionOutcome>;
  /** Runs a plain call. After a refusal, nothing has been written to the caller's response. */
  runPlain(work: PlainWork): Promise<PlainOutcome>;
}
