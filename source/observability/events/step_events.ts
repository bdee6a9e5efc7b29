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
    message: "This node took over a training step whose owner is unreachable",
    action: "Check the log of the earlier owner's instance for its end",
    fields: ["trainer", "step", "epoch", "found", "wanted"],
  }),
  stepYielded: defineEvent(6003, {
    level: "info",
    message: "This node stopped running a training step that another node owns",
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
      "If versions are missing, check that the engine names the weight version in each event",
    fields: ["trainer", "step", "index", "reason", "server"],
  }),
  staleSamplesDropped: defineEvent(6006, {
    level: "info",
    message: "Finished samples exceeded the staleness bound and are replaced",
    action:
      "If this repeats, the trainer fetches samples too late, or its staleness bound is too small for the duration of a sample",
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
    message: "An engine did not load a weight version; the order is sent again",
    action:
      "If one engine fails repeatedly, replace it; if all fail, check the weight store and the version's location",
    fields: ["service", "server", "version", "failures", "reason"],
  }),
} as const;
