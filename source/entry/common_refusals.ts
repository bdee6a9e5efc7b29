import type { Refusal } from "./refusal.ts";

/** Refusal of a request whose path can't be parsed. */
export const INVALID_URL: Refusal = {
  error: "invalidRequest",
  message: "The path of the request is not valid",
  ran: "notRun",
  field: "path",
};

/** Refusal of a path that no route serves. */
export const UNKNOWN_ROUTE: Refusal = {
  error: "unknownRoute",
  message: "No route has this path",
  ran: "notRun",
  field: "path",
};

/** Refusal of a request without a key on a route that requires one. */
export const KEY_MISSING: Refusal = {
  error: "keyMissing",
  message: "No key was shown; send the header authorization: Bearer KEY",
  ran: "notRun",
  field: "header authorization",
};

/** Refusal of a key that is not a trainer's key. */
export const TRAINER_KEY_REQUIRED: Refusal = {
  error: "forbidden",
  message: "The key may not use the trainers' interface",
  ran: "notRun",
  field: "header authorization",
};

/** Refusal after a handler threw an error or returned without an answer. */
export const HANDLER_FAILED: Refusal = {
  error: "backendFailure",
  message: "The node failed to serve the request",
  ran: "unknown",
};

/** Refusal of a key whose organisation may not use the service. */
export const FORBIDDEN: Refusal = {
  error: "forbidden",
  message: "The key's organisation may not use this service",
  ran: "notRun",
  field: "header authorization",
};
