import type { IncomingMessage, ServerResponse } from "node:http";

/** The caller to which the key of a request resolves. */
export interface Caller {
  /** Name of the organisation; "open" for a request without a key. */
  readonly organisation: string;
  /** Identifier of the key; empty for a request without a key. */
  readonly keyIdentifier: string;
  readonly isTrainer: boolean;
}

/** One HTTP exchange with a caller whose key has been resolved. */
export interface EntryExchange {
  readonly requestIdentifier: string;
  readonly caller: Caller;
  readonly url: URL;
  /** Decoded values of the named segments of the path. */
  readonly parameters: Readonly<Record<string, string>>;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Aborted when the exchange is, such as after the caller disconnected or its key was withdrawn. */
  readonly signal: AbortSignal;
  /** Monotonic time at which the request arrived, in milliseconds. */
  readonly arrivedAt: number;
}

/** Serves one exchange; it must end or destroy the response. */
export type EntryHandler = (exchange: EntryExchange) => Promise<void>;

/** The key that a route requires; with `optionalKey` a request may have no key, but not an invalid one. */
export type Authentication = "none" | "key" | "trainerKey" | "optionalKey";

/** One route of the callers' interface. */
export interface EntryRoute {
  readonly method: "GET" | "POST" | "DELETE" | "PUT";
  /** Path pattern, such as "/v1/trainers/:trainer/steps/:step". */
  readonly path: string;
  readonly authentication: Authentication;
  readonly handler: EntryHandler;
}
