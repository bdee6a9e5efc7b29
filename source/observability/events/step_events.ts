import { defineEvent } from "../event_definition.ts";

/** Events numbered 6000 to 6999. */
export const STEP_EVENTS = {
  stepAccepted: defineEvent(6001, {
    level: "info",
    message: "A training step was accepted",
    action: "",
    fields: ["trainer", "step", "epoch", "samples"],
  }),
  stepTakenOver: defineEvent(6002, {
    level: "warn",
    message: "This node goes on with a training step whose owner is gone",
    action: "Look for the end of the earlier owner in the log of its instance",
    fields: ["trainer", "step", "epoch", "found", "wanted"],
  }),
  stepYielded: defineEvent(6003, {
    level: "info",
    message: "This node leaves a training step to another node that owns it",
    action: "",
    fields: ["trainer", "step", "owner"],
  }),
  stepEnded: defineEvent(6004, {
    level: "info",
    message: "A training step ended",
    action: "",
    fields: ["trainer", "step", "reason", "generatedTokens", "secondRuns"],
  }),
  sampleDiscarded: defineEvent(6005, {
    level: "warn",
    message: "A finished sample was discarded and will be run again",
    action:
      "When the reason is missing versions, check that the engine names the weight version in each event",
    fields: ["trainer", "step", "index", "reason", "server"],
  }),
  staleSamplesDropped: defineEvent(6006, {
    level: "info",
    message: "Finished samples exceeded the staleness bound and are replaced",
    action:
      "When this repeats, the trainer pulls too late or its staleness bound is too small for the time a sample takes",
    fields: ["trainer", "step", "samples", "newestVersion"],
  }),
  weightVersionPublished: defineEvent(6007, {
    level: "info",
    message: "A trainer published a weight version",
    action: "",
    fields: ["trainer", "version", "confirmedPeers", "silentPeers"],
  }),
  weightRolloutFinished: defineEvent(6020, {
    level: "info",
    message: "All engines of a service run the newest weight version",
    action: "",
    fields: ["service", "version", "engines", "milliseconds"],
  }),
  weightLoadFailed: defineEvent(6021, {
    level: "warn",
    message: "An engine did not load a weight version; it is ordered again",
    action:
      "When one engine fails again and again, replace it; when all do, check the weight store and the version's location",
    fields: ["service", "server", "version", "failures", "reason"],
  }),
} as const;
