import type { IncomingMessage, ServerResponse } from "node:http";

/** The caller of a request, as identified by its key if it has one. */
export interface Caller {
  /** Name of the organisation; "open" for a request without a key or on a route that requires no key. */
  readonly organisation: string;
  /** Identifier of the key; empty for the organisation "open". */
  readonly keyIdentifier: string;
  readonly isTrainer: boolean;
}

/** One exchange of a request and its response at the entry, the HTTP server of a node that serves callers. */
export interface EntryExchange {
  readonly requestIdentifier: string;
  readonly caller: Caller;
  readonly url: URL;
  /** Decoded values of the named segments of the path. */
  readonly parameters: Readonly<Record<string, string>>;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /**
   * Aborted when the caller disconnects or is silent for too long, the body is refused, the key is withdrawn or can't
   * be confirmed any more, or the node shuts down.
   */
  readonly signal: AbortSignal;
  /** Monotonic time at which the request arrived, in milliseconds. */
  readonly arrivedAt: number;
}

/** Serves one exchange; must end or destroy the response. */
export type EntryHandler = (exchange: EntryExchange) => Promise<void>;

/**
 * The key that a route requires. With `none` a key is not resolved; with `optionalKey` a request may have no key, but
 * not an invalid one.
 */
export type Authentication = "none" | "key" | "trainerKey" | "optionalKey";

/** One route of the HTTP API for callers. */
export interface EntryRoute {
  readonly method: "GET" | "POST" | "DELETE" | "PUT";
  /** Path pattern, such as "/v1/trainers/:trainer/steps/:step". */
  readonly path: string;
  readonly authentication: Authentication;
  readonly handler: EntryHandler;
}
