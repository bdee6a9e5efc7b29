import type { IncomingMessage, ServerResponse } from "node:http";
import type { EngineTokens, EngineUsage } from "../backends/engine_client.ts";
import type { LedgerEntry } from "../observability/cause_ledger.ts";

/** What every piece of work states. */
export interface Work {
  readonly requestIdentifier: string;
  readonly service: string;
  readonly classOfWork: string;
  /** Name of the organisation; "open" on an open route. */
  readonly organisation: string;
  /** Monotonic time in milliseconds by which the answer must be whole. */
  readonly deadline: number;
  readonly ledger: LedgerEntry;
  /** Aborted when the caller has gone, its key was withdrawn, or the work was cancelled. */
  readonly signal: AbortSignal;
}

/** A completion to run on some engine of a service. */
export interface CompletionWork extends Work {
  readonly prompt: string;
  readonly maximumTokens: number;
  /** Engines that have loaded no version as new as this get no such work. */
  readonly minimumWeightVersion: number;
  /** Gets tokens in order. After the first call, no other engine starts the answer anew. */
  readonly onTokens?: (tokens: EngineTokens) => void;
  /** Servers not to use, such as the one that runs the first copy. */
  readonly avoidServers?: ReadonlyArray<string>;
  /** Tokens that another run of the same completion gave, to go on from; the answer begins with them. */
  readonly resumeFrom?: ReadonlyArray<EngineTokens>;
  /** Gets the address of the server each time the work is sent to one. */
  readonly onServer?: (address: string) => void;
}

/** Why work was refused or given up. */
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

/** Work that ended without a whole answer. */
export interface DispatchRefusal {
  /** `notRun`: no byte was handed to a socket, or the backend server said so. */
  readonly kind: "notRun" | "unknown";
  readonly reason: RefusalReason;
  readonly detail: string;
  readonly retryAfterMilliseconds: number;
}

/** Tokens that one weight version made in a row. */
export interface Stretch {
  readonly weightVersion: number;
  readonly tokens: number;
}

/** A whole completion. */
export interface FinishedCompletion {
  readonly kind: "finished";
  readonly text: string;
  readonly stretches: ReadonlyArray<Stretch>;
  readonly finishReason: string;
  readonly usage: EngineUsage;
  readonly server: string;
  readonly serverStart: string;
}

/** How a completion ended. */
export type CompletionOutcome = FinishedCompletion | DispatchRefusal;

/** A call of a plain service. */
export interface PlainWork extends Work {
  /** Path and query sent to the backend server. */
  readonly path: string;
  /** Whether the call may run more than once. */
  readonly repeatable: boolean;
  /** The caller's exchange; body and answer are streamed between the two. */
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** How a plain call ended. */
export type PlainOutcome =
  /** The whole answer went to the caller. */
  | {
    readonly kind: "finished";
    readonly status: number;
    readonly server: string;
  }
  /** The answer was cut after its head had gone to the caller; the caller's connection was cut too. */
  | { readonly kind: "cut"; readonly detail: string }
  | DispatchRefusal;

/** Runs work on backend servers: chooses, sends, retries where that is allowed. */
export interface Dispatcher {
  /** Runs a completion. */
  runCompletion(work: CompletionWork): Promise<CompletionOutcome>;
  /** Runs a plain call. On a refusal nothing has been written to the caller's response. */
  runPlain(work: PlainWork): Promise<PlainOutcome>;
}
