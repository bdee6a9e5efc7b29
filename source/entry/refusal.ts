import type { ServerResponse } from "node:http";
import type { DispatchRefusal } from "../dispatch/dispatcher.ts";

/** Kinds of refusal that are caused by the request itself. */
export type RequestFault =
  | "invalidRequest"
  | "tooLarge"
  | "unknownRoute"
  | "methodNotAllowed"
  | "keyMissing"
  | "keyUnknown"
  | "keyWithdrawn"
  | "forbidden"
  | "notFound"
  | "conflict";

/** A typed refusal as sent to callers. */
export interface Refusal {
  readonly error: RequestFault | DispatchRefusal["reason"];
  readonly message: string;
  /** Whether the request certainly did not run, or may have run. */
  readonly ran: "notRun" | "unknown";
  /** The invalid field, header or parameter, if there is one. */
  readonly field?: string;
  readonly retryAfterMilliseconds?: number;
}

/** Refusal while the node has no configuration. */
export const NO_CONFIGURATION: Refusal = {
  error: "platformUnavailable",
  message: "This node has no configuration yet",
  ran: "notRun",
  retryAfterMilliseconds: 1000,
};

const STATUS_BY_ERROR: Readonly<Record<Refusal["error"], number>> = {
  invalidRequest: 400,
  tooLarge: 413,
  unknownRoute: 404,
  methodNotAllowed: 405,
  keyMissing: 401,
  keyUnknown: 401,
  keyWithdrawn: 401,
  forbidden: 403,
  notFound: 404,
  conflict: 409,
  noCapacity: 503,
  quota: 429,
  queueFull: 503,
  deadline: 504,
  cancelled: 499,
  platformUnavailable: 503,
  leaving: 503,
  backendFailure: 502,
  staleKeys: 503,
  retryBudget: 503,
};

/**
 * Ends a response with a typed refusal; destroys the response instead if its headers were sent, and does
 * nothing if it has ended.
 * @param response - The response to end.
 * @param refusal - The refusal.
 * @example
 * ```ts
 * sendRefusal(response, { error: "keyMissing", message: "No key was shown", ran: "notRun" });
 * ```
 */
export function sendRefusal(response: ServerResponse, refusal: Refusal): void {
  if (response.writableEnded) return;
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const retryAfter = refusal.retryAfterMilliseconds;
  if (retryAfter !== undefined && retryAfter > 0) {
    response.setHeader("retry-after", String(Math.ceil(retryAfter / 1000)));
  }
  response.statusCode = STATUS_BY_ERROR[refusal.error];
  response.setHeader("content-type", "application/json");
  response.end(JSON.stringify(refusal) + "\n");
}

/**
 * Converts a refusal of the dispatcher or of admission to one for the caller.
 * @param refusal - The refusal of the dispatcher or of admission.
 */
export function toRefusal(refusal: DispatchRefusal): Refusal {
  return {
    error: refusal.reason,
    message: refusal.detail,
    ran: refusal.kind,
    retryAfterMilliseconds: refusal.retryAfterMilliseconds,
  };
}
