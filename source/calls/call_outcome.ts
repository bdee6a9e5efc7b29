import type { IncomingHttpHeaders } from "node:http";

/** Why a call was not served. */
export type CallRefusal =
  /** No route of the configuration takes the path. */
  | "unknownRoute"
  /** The key is missing or unknown. */
  | "unknownKey"
  /** The node has no configuration yet. */
  | "notConfigured"
  /** The node can't tell whether the key was withdrawn. */
  | "staleKeys"
  /** The body is larger than the configuration allows. */
  | "tooLarge"
  /** The request can't be read. */
  | "malformed"
  /** No server of the service took the request. */
  | "noServer"
  /** The store that must confirm does not answer. */
  | "storeAway"
  /** There is no such step or sample. */
  | "unknownStep";

/** How a call ended. */
export type CallOutcome =
  /** A server's whole answer, or the product's own. */
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
  }
  /** A server's answer that is passed on as it comes. */
  | {
    readonly kind: "streaming";
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: AsyncIterable<Buffer>;
    readonly finish: () => void;
  }
  /** It did not run and never will. */
  | {
    readonly kind: "refused";
    readonly refusal: CallRefusal;
    /** When to come back; absent when that is no use. */
    readonly retryAfterMilliseconds?: number;
  }
  /** It may have run; nothing is promised. */
  | { readonly kind: "unknown"; readonly reason: "timedOut" | "serverFailed" }
  /** The caller has left. */
  | { readonly kind: "abandoned" };
