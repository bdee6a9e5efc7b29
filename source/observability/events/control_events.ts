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
    fields: ["lease", "idempotencyKey", "reason"],
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
} as const;
