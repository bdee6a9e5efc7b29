import type { IncomingHttpHeaders } from "node:http";

/** Why a call was refused. */
export type CallRefusal =
  /** No route of the configuration matches the host and path. */
  | "unknownRoute"
  /** The API key is missing or unknown. */
  | "unknownKey"
  /** The node has not read a configuration yet. */
  | "notConfigured"
  /**
   * The node's view of the keys and routes is too old to accept a key or to reject a key or route.
   */
  | "staleKeys"
  /** The request body exceeds the configured limit. */
  | "tooLarge"
  /** The request's body was not received by the deadline. */
  | "lateBody"
  /** The node has no memory for the request, whose body it has not read to its end. */
  | "noMemory"
  /** The node stops and does not start the request. */
  | "stopping"
  /** The request can't be parsed. */
  | "malformed"
  /** No backend server of the service accepted the request. */
  | "noServer"
  /** The lists of the route and of the organisation have no region in common. */
  | "noAllowedRegion"
  /** The service's servers are too busy to serve the request by its deadline. */
  | "overloaded"
  /** Servers ended while they ran the same request, so it is held for some time. */
  | "crashesServers"
  /** The store is unreachable or did not confirm the operation. */
  | "storeAway"
  /** The caller's organisation has no such step or sample. */
  | "unknownStep";

/** How a call ended. */
export type CallOutcome =
  /** A complete response, of a backend server or of the node itself. */
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
  }
  /** A backend server's response that is passed on as it arrives. */
  | {
    readonly kind: "streaming";
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: AsyncIterable<Buffer>;
    /** Time without progress after which the response is cut off. */
    readonly stallMilliseconds: number;
    /** Time within which the response must end; Infinity for a route of streams. */
    readonly endsWithinMilliseconds: number;
    /** Cancels all attempts of the call; the receiver must call it when the response has ended. */
    readonly finish: () => void;
  }
  /** The request did not run and won't run later. */
  | {
    readonly kind: "refused";
    readonly refusal: CallRefusal;
    /** Delay before a retry; absent when a retry would not help. */
    readonly retryAfterMilliseconds?: number;
  }
  /** The request may have run; its result is unknown. */
  | { readonly kind: "unknown"; readonly reason: "timedOut" | "serverFailed" }
  /** The caller has disconnected. */
  | { readonly kind: "abandoned" };
