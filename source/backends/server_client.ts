import type { IncomingHttpHeaders } from "node:http";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { ExchangeOptions } from "./engine_client.ts";
import type { FailureCause } from "./failure_cause.ts";
import type { ExchangeFailure } from "./http_exchange.ts";

/** A request to a backend server. */
export interface ServerRequest {
  /** Identifier that the caller gave. */
  readonly identifier: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly host: string;
  /** Headers of the caller that are forwarded to the server. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** Organisation that the caller's key belongs to; absent for a request without a key. */
  readonly organisation?: string;
  /** Whether the request may run more than once without harm; it must not if absent. */
  readonly mayRunTwice?: boolean;
  /** Time limit for the answer. */
  readonly budgetMilliseconds?: number;
  /** Whether the engine should run the request before others in the engine's queue. */
  readonly isUrgent?: boolean;
  /** Number of the last stream event that was already received. */
  readonly afterEvent?: number;
}

/** An answer of a backend server whose head has arrived. */
export interface ServerAnswer {
  readonly kind: "answered";
  readonly status: number;
  /** Headers for the caller. */
  readonly headers: IncomingHttpHeaders;
  /** Proof that the server made the answer; undefined when the answer has none. */
  readonly signature: string | undefined;
  /** Weight version at the start of the answer. */
  readonly weightVersion: number | undefined;
  /** Chunks of the body; throws when the answer is incomplete. */
  readonly body: AsyncIterable<Buffer>;
  /** Closes the connection unless the answer was read to its end. */
  readonly abandon: () => void;
}

/** One event of a generated text. */
export interface TextEvent {
  readonly number: number;
  readonly text: string;
  /** Weight version that generated this event and the next ones; undefined when unchanged. */
  readonly weightVersion: number | undefined;
}

/** An order to an engine to load a version of a model's weights. */
export interface WeightOrder {
  readonly model: string;
  readonly version: number;
  /** `finish`: running requests end before the load; `continue`: they go on with the new one. */
  readonly runs: "finish" | "continue";
  readonly holder: string;
  readonly fencingNumber: number;
  /** Number of orders that the engine must have accepted before this one. */
  readonly acceptedOrders: number;
}

/** Outcome of a weight order. */
export type WeightOrderOutcome =
  /** The engine executes the order, or already has the version. */
  | { readonly kind: "accepted" }
  | { readonly kind: "refused"; readonly status: number }
  | { readonly kind: "notRun" | "unknown"; readonly reason: string };

/** State that an engine reports. */
export interface EngineReport {
  /** Time of the engine's start in Unix milliseconds; undefined when it does not report it. */
  readonly startedAt: number | undefined;
  readonly weightVersions: ReadonlyMap<string, number>;
  readonly acceptedOrders: number;
  /** Whether the engine is executing an order. */
  readonly isBusy: boolean;
  /** Number of requests in the engine's queue. */
  readonly waiting: number;
  /** Number of requests that the engine runs. */
  readonly running: number;
}

/** How a server is checked. */
export interface HealthCheck {
  readonly path: string;
  /** Time limit of the check. */
  readonly milliseconds: number;
  /** Called in the tick that writes the first byte; false ends the check without a request. */
  readonly mayStart?: () => boolean;
}

/** What a check over a new connection finds out about the start of a server. */
export type ServerProcessState =
  /** The server answered. */
  | "running"
  /** Another server answered at the address. */
  | "replaced"
  /** The address does not accept connections. */
  | "refused"
  /** The connection was accepted, and no answer arrived. */
  | "silent"
  /** No connection was established in the time limit. */
  | "unreachable";

/** Called with the cause when a request to a server got no answer, but not for cancelled requests. */
export type FailureListener = (cause: FailureCause) => void;

/** Called with a server whose answer says that it is about to stop. */
export type LeavingListener = (server: BackendServerEntry) => void;

/**
 * Called with a server that answered and the number of requests a second that its answer says it
 * accepts from all nodes together; undefined when the answer names no limit.
 */
export type LimitListener = (
  server: BackendServerEntry,
  requestsPerSecond: number | undefined,
) => void;

/**
 * Called with a server whose response to a health check names the remaining time of its warm-up, in
 * milliseconds; 0 when the server is warm.
 */
export type WarmUpListener = (
  server: BackendServerEntry,
  milliseconds: number,
) => void;

/** Client of backend servers; each call is sent to the given server and to no other. */
export interface ServerClient {
  /**
   * Registers a function that is called for each answer which says that its server is about to stop,
   * before the answer is returned.
   */
  watchLeaving(onLeaving: LeavingListener): void;
  /** Registers a function that is called for each answer of a server, before it is returned. */
  watchLimits(onAnswer: LimitListener): void;
  /**
   * Registers a function that is called for each response to a health check that names the remaining
   * time of a warm-up.
   */
  watchWarmUps(onWarmUp: WarmUpListener): void;
  /** Sends a request and reads the answer's head; `notRun` only if the server did not run it. */
  open(
    server: BackendServerEntry,
    request: ServerRequest,
    options: ExchangeOptions,
  ): Promise<ServerAnswer | ExchangeFailure>;
  /** Registers a function that is called for each request that got no answer, except checks. */
  watchFailures(onFailure: FailureListener): void;
  /** Checks over a new connection whether the start of a server that an entry describes still runs. */
  checkProcess(
    server: BackendServerEntry,
    check: HealthCheck,
  ): Promise<ServerProcessState>;
  /** Returns whether a request could be sent without opening a connection. */
  isConnected(server: BackendServerEntry): boolean;
  /** Reads the complete events of a generated text; throws when the body ends early. */
  readEvents(body: AsyncIterable<Buffer>): AsyncGenerator<TextEvent>;
  /** Orders an engine to load a weight version. */
  orderWeights(
    server: BackendServerEntry,
    order: WeightOrder,
    options: ExchangeOptions,
  ): Promise<WeightOrderOutcome>;
  /** Reads an engine's report; undefined when the engine returned no valid report. */
  readReport(
    server: BackendServerEntry,
    options: ExchangeOptions,
  ): Promise<EngineReport | undefined>;
}
