import { defineEvent } from "../event_definition.ts";

/** Events numbered 2000 to 2999. */
export const PLATFORM_EVENTS = {
  platformSilent: defineEvent(2001, {
    level: "warn",
    message:
      "The platform did not answer in time; its open connections are not used again",
    action:
      "If it repeats, check the platform; a single event can be a connection lost in the network",
    fields: ["path", "reason"],
  }),
  platformAnswerMismatched: defineEvent(2002, {
    level: "error",
    message: "The platform's answer belongs to another call",
    action:
      "Look for a network device between this instance and the platform that mixes up answers",
    fields: ["path"],
  }),
} as const;
