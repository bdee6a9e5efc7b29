import { defineEvent } from "../event_definition.ts";

/** Events numbered 4000 to 4999. */
export const ENTRY_EVENTS = {
  entryListening: defineEvent(4001, {
    level: "info",
    message: "The node accepts client requests",
    action: "",
    fields: ["address"],
  }),
  entryDraining: defineEvent(4002, {
    level: "info",
    message: "The node is no longer in address answers and drains",
    action: "",
    fields: ["running"],
  }),
  entryDrained: defineEvent(4003, {
    level: "info",
    message: "The node has stopped serving clients",
    action: "",
    fields: ["cut", "milliseconds"],
  }),
  handlerFailed: defineEvent(4004, {
    level: "error",
    message:
      "A handler ended without an outcome; the client received the outcome unknown",
    action: "Report the event as a bug",
    fields: ["request", "detail"],
  }),
  callerSilent: defineEvent(4005, {
    level: "info",
    message: "A client connection timed out without activity and was closed",
    action: "",
    fields: ["answering"],
  }),
  keysLoaded: defineEvent(4101, {
    level: "info",
    message: "The list of keys was loaded from the table",
    action: "",
    fields: [],
  }),
  keyRefreshFailed: defineEvent(4102, {
    level: "warn",
    message: "Changed keys could not be read from the table",
    action:
      "Check the platform's table service; requests with a key are refused when no peer has confirmed the keys recently either",
    fields: ["reason"],
  }),
  keyGiven: defineEvent(4103, {
    level: "info",
    message: "A key was issued",
    action: "",
    fields: ["key", "organisation"],
  }),
  keyWithdrawn: defineEvent(4104, {
    level: "info",
    message: "A key was withdrawn and its running requests were aborted",
    action: "",
    fields: ["key", "cut"],
  }),
  keyWithdrawalSaved: defineEvent(4105, {
    level: "info",
    message: "The withdrawal of a key was saved in the table",
    action: "",
    fields: ["key"],
  }),
  keyWithdrawalAbsent: defineEvent(4106, {
    level: "warn",
    message: "A withdrawn key is not in the table",
    action: "Check the identifier that was withdrawn",
    fields: ["key"],
  }),
  keysStale: defineEvent(4107, {
    level: "warn",
    message:
      "Neither the table nor a peer confirms the keys; running requests with a key are aborted",
    action: "Check the instance's network and the platform's table service",
    fields: ["cut"],
  }),
} as const;
