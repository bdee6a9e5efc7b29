import { defineEvent } from "../event_definition.ts";

/** Events numbered 5000 to 5999. */
export const CONTROL_EVENTS = {
  leaseAcquired: defineEvent(5001, {
    level: "info",
    message: "Lease acquired",
    action: "",
    fields: ["lease", "fencingNumber"],
  }),
  leaseLost: defineEvent(5002, {
    level: "warn",
    message: "Lease no longer held",
    action:
      "None if another node acquires it soon; otherwise check the platform's table service",
    fields: ["lease", "fencingNumber"],
  }),
  leaseCallFailed: defineEvent(5003, {
    level: "warn",
    message: "A lease operation failed",
    action: "Check that the platform's table service answers this node",
    fields: ["lease", "kind", "reason"],
  }),
  orderUnresolved: defineEvent(5010, {
    level: "warn",
    message: "It is unknown whether an order took effect",
    action: "None; the same order is sent again with its idempotency key",
    fields: ["lease", "idempotencyKey"],
  }),
  orderRefused: defineEvent(5011, {
    level: "warn",
    message: "An order was refused",
    action: "Read the reason; an outdated fencing number needs no action",
    fields: ["lease", "idempotencyKey", "reason"],
  }),
  intentsTakenOver: defineEvent(5012, {
    level: "info",
    message: "Open orders of an earlier lease holder were taken over",
    action: "",
    fields: ["lease", "open", "unresolved"],
  }),
  spendShortfall: defineEvent(5030, {
    level: "warn",
    message:
      "Fewer servers are allowed than the load needs after the loss of a failure domain",
    action:
      "Raise the service's maximum number of servers or the spend bound, if the targets matter more",
    fields: ["service", "servers"],
  }),
  usageWindowFrozen: defineEvent(5020, {
    level: "info",
    message: "The figures of a usage window were frozen",
    action: "",
    fields: ["windowStart", "organisation", "adjustments"],
  }),
  usageReportContradicted: defineEvent(5021, {
    level: "error",
    message: "The platform has different figures for a usage window",
    action:
      "Compare the row of the window in the table with the platform's report",
    fields: ["windowStart", "organisation", "detail"],
  }),
  usageDropped: defineEvent(5023, {
    level: "error",
    message: "Usage that could not be reported for too long was dropped",
    action: "Add the figures to the organisation's next bill by hand",
    fields: ["windowStart", "organisation", "requests"],
  }),
  usageReportFailed: defineEvent(5022, {
    level: "warn",
    message: "A usage report failed and will be retried",
    action:
      "None while the platform is unreachable; the reports are sent later",
    fields: ["reason"],
  }),
} as const;
