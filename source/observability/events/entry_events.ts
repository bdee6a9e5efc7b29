import { defineEvent } from "../event_definition.ts";

/** Events numbered 4000 to 4999. */
export const ENTRY_EVENTS = {
  entryListening: defineEvent(4001, {
    level: "info",
    message: "Callers are served",
    action: "",
    fields: ["address"],
  }),
  entryDraining: defineEvent(4002, {
    level: "info",
    message: "The node leaves the address answers and goes on serving",
    action: "",
    fields: ["running"],
  }),
  entryDrained: defineEvent(4003, {
    level: "info",
    message: "The node serves callers no more",
    action: "",
    fields: ["cut", "milliseconds"],
  }),
  handlerFailed: defineEvent(4004, {
    level: "error",
    message: "A handler ended without an outcome; the caller was told unknown",
    action: "Report the event as a fault of the program",
    fields: ["request", "detail"],
  }),
  callerSilent: defineEvent(4005, {
    level: "info",
    message: "A caller's connection was silent for too long and was closed",
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
    message: "The table did not tell about changed keys",
    action:
      "Look at the platform's table service; keyed requests are refused when peers have no fresh word either",
    fields: ["reason"],
  }),
  keyGiven: defineEvent(4103, {
    level: "info",
    message: "A key was given",
    action: "",
    fields: ["key", "organisation"],
  }),
  keyWithdrawn: defineEvent(4104, {
    level: "info",
    message: "A key was withdrawn and its running exchanges were cut",
    action: "",
    fields: ["key", "cut"],
  }),
  keyWithdrawalSaved: defineEvent(4105, {
    level: "info",
    message: "The table holds a key's withdrawal",
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
      "Neither table nor peers confirm the keys; keyed exchanges are cut",
    action: "Look at the instance's network and the platform's table service",
    fields: ["cut"],
  }),
} as const;
