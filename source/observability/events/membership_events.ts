import { defineEvent } from "../event_definition.ts";

/** Events numbered 7000 to 7999. */
export const MEMBERSHIP_EVENTS = {
  peerStreamOpened: defineEvent(7001, {
    level: "info",
    message: "Peer stream opened",
    action: "",
    fields: ["peer", "address", "side"],
  }),
  peerStreamClosed: defineEvent(7002, {
    level: "info",
    message: "Peer stream closed",
    action:
      "If streams to one peer close often, check the network between the two instances",
    fields: ["address", "side", "reason"],
  }),
  peerStreamSilent: defineEvent(7003, {
    level: "warn",
    message: "Peer stream timed out without a message and is reconnected",
    action:
      "If it repeats for many peers, look for a network device that drops open connections",
    fields: ["address", "silentMilliseconds"],
  }),
  originExpired: defineEvent(7004, {
    level: "info",
    message: "No update of a node arrived for too long; its facts are dropped",
    action: "Check whether the instance was replaced or is unreachable",
    fields: ["node", "nodeStart"],
  }),
  factsRejected: defineEvent(7005, {
    level: "warn",
    message: "Facts from a peer violated a rule and were rejected",
    action:
      "Check that all nodes run compatible versions; if they do, report the event as a bug",
    fields: ["count", "reason"],
  }),
  configurationAdopted: defineEvent(7006, {
    level: "info",
    message: "Configuration revision adopted",
    action: "",
    fields: ["revision", "from"],
  }),
  configurationContradiction: defineEvent(7007, {
    level: "error",
    message: "Two configurations have the same revision",
    action:
      "Apply the wanted declaration again; check that only snipepath writes the table",
    fields: ["revision", "digest", "otherDigest"],
  }),
  backendServerLeaving: defineEvent(7008, {
    level: "info",
    message: "Backend server is leaving and gets no new work",
    action: "",
    fields: ["server", "learnedFrom"],
  }),
  instanceListUnavailable: defineEvent(7009, {
    level: "warn",
    message: "The platform's list of instances could not be read",
    action:
      "None while peers are connected; otherwise restore the platform's service",
    fields: ["reason"],
  }),
  peerCallRefused: defineEvent(7010, {
    level: "warn",
    message: "A call without the shared secret was refused",
    action: "Give all nodes and operators the same shared secret",
    fields: ["method"],
  }),
} as const;
