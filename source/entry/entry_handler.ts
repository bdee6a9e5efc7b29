import type { IncomingMessage, ServerResponse } from "node:http";

/** Who calls, as the key that was shown resolves. */
export interface Caller {
  /** Name of the organisation; "open" without a key. */
  readonly organisation: string;
  /** Empty without a key. */
  readonly keyIdentifier: string;
  readonly isTrainer: boolean;
}

/** One exchange with a caller, after its key was resolved. */
export interface EntryExchange {
  readonly requestIdentifier: string;
  readonly caller: Caller;
  readonly url: URL;
  /** Values of the path's named parts, decoded. */
  readonly parameters: Readonly<Record<string, string>>;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Aborted when the caller has gone or its key is withdrawn. */
  readonly signal: AbortSignal;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAt: number;
}

/** Serves one exchange; must end the response or destroy it. */
export type EntryHandler = (exchange: EntryExchange) => Promise<void>;

/** What a route demands of its callers; with `optionalKey` a key that is shown must be valid. */
export type Authentication = "none" | "key" | "trainerKey" | "optionalKey";

/** One route of the callers' interface. */
export interface EntryRoute {
  readonly method: "GET" | "POST" | "DELETE" | "PUT";
  /** Such as "/v1/trainers/:trainer/steps/:step". */
  readonly path: string;
  readonly authentication: Authentication;
  readonly handler: EntryHandler;
}
