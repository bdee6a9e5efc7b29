import { defineEvent } from "../event_definition.ts";

/** Events numbered 2000 to 2999. */
export const PLATFORM_EVENTS = {
  platformSilent: defineEvent(2001, {
    level: "warn",
    message:
      "The platform did not answer in time; its open connections were given up",
    action:
      "If it repeats, check the platform; once in a while it is a connection that was lost on the way",
    fields: ["path", "reason"],
  }),
  platformAnswerMismatched: defineEvent(2002, {
    level: "error",
    message: "The platform's answer belongs to another call",
    action: "Look for a device between this instance and the platform",
    fields: ["path"],
  }),
} as const;
