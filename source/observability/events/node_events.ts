import { defineEvent } from "../event_definition.ts";

/** Events numbered 1000 to 1999. */
export const NODE_EVENTS = {
  nodeStarted: defineEvent(1001, {
    level: "info",
    message: "Node started",
    action: "",
    fields: ["address", "peerAddress"],
  }),
  nodeStopped: defineEvent(1002, {
    level: "info",
    message: "Node stopped",
    action: "",
    fields: ["reason"],
  }),
  invariantBroken: defineEvent(1003, {
    level: "error",
    message: "An invariant was violated; the process stops",
    action: "Report the event with its stack as a bug",
    fields: ["detail"],
  }),
  startFailed: defineEvent(1004, {
    level: "error",
    message: "The node could not start",
    action:
      "Correct the setting that the reason names, and start the node again",
    fields: ["reason"],
  }),
} as const;
