import type { ServerResponse } from "node:http";
import type { DispatchRefusal } from "../dispatch/dispatcher.ts";

/** Kinds of refusal that come from the request itself. */
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

/** A typed refusal as callers get it. */
export interface Refusal {
  readonly error: RequestFault | DispatchRefusal["reason"];
  readonly message: string;
  /** Whether the request ran. */
  readonly ran: "notRun" | "unknown";
  /** Field, header or parameter at fault, where there is one. */
  readonly field?: string;
  readonly retryAfterMilliseconds?: number;
}

/** The node knows no configuration yet. */
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
 * Ends a response with a typed refusal; a response whose head has gone is cut instead, and an ended
 * one is left alone.
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
 * Turns a refusal of the dispatcher or of admission into one for the caller.
 * @param refusal - The inner refusal.
 */
export function toRefusal(refusal: DispatchRefusal): Refusal {
  return {
    error: refusal.reason,
    message: refusal.detail,
    ran: refusal.kind,
    retryAfterMilliseconds: refusal.retryAfterMilliseconds,
  };
}
