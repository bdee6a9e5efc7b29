import type { Refusal } from "./refusal.ts";

/** The path is no path. */
export const INVALID_URL: Refusal = {
  error: "invalidRequest",
  message: "The path can't be read",
  ran: "notRun",
  field: "path",
};

/** Nothing is served under the path. */
export const UNKNOWN_ROUTE: Refusal = {
  error: "unknownRoute",
  message: "No route has this path",
  ran: "notRun",
  field: "path",
};

/** The route needs a key, and none was shown. */
export const KEY_MISSING: Refusal = {
  error: "keyMissing",
  message: "No key was shown; send the header authorization: Bearer KEY",
  ran: "notRun",
  field: "header authorization",
};

/** The key is not one for the trainers' interface. */
export const NO_TRAINER_KEY: Refusal = {
  error: "forbidden",
  message: "The key may not use the trainers' interface",
  ran: "notRun",
  field: "header authorization",
};

/** The program failed in the middle of the exchange. */
export const HANDLER_FAILED: Refusal = {
  error: "backendFailure",
  message: "The node failed to serve the request",
  ran: "unknown",
};

/** The key's organisation may not use the service. */
export const FORBIDDEN: Refusal = {
  error: "forbidden",
  message: "The key's organisation may not use this service",
  ran: "notRun",
  field: "header authorization",
};
