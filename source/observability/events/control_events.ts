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
      "None if another node acquired it soon; else check that the table answers",
    fields: ["lease", "fencingNumber"],
  }),
  leaseCallFailed: defineEvent(5003, {
    level: "warn",
    message: "A call about a lease failed",
    action: "Check that the platform's table answers this node",
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
    action: "Read the reason; an old fencing number needs no action",
    fields: ["lease", "idempotencyKey", "reason"],
  }),
  intentsTakenOver: defineEvent(5012, {
    level: "info",
    message: "Open orders of an earlier holder were taken over",
    action: "",
    fields: ["lease", "open", "unresolved"],
  }),
  spendShortfall: defineEvent(5030, {
    level: "warn",
    message:
      "Fewer servers can be had than the load needs after the loss of a failure domain",
    action:
      "Raise the service's largest number of servers or the bound on spend, if the targets matter more",
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
    message: "The platform holds other figures for a usage window",
    action:
      "Compare the row of the window in the table with the platform's report",
    fields: ["windowStart", "organisation", "detail"],
  }),
  usageDropped: defineEvent(5023, {
    level: "error",
    message: "Usage was dropped that could not be reported for too long",
    action: "Add the figures to the organisation's next bill by hand",
    fields: ["windowStart", "organisation", "requests"],
  }),
  usageReportFailed: defineEvent(5022, {
    level: "warn",
    message: "Usage could not be reported now",
    action: "None while the platform is away; the reports follow",
    fields: ["reason"],
  }),
} as const;
