import test from "ava";
import { formatProblems, formatSettings } from "./format_settings.ts";
import { readNodeSettings, type SettingSources } from "./read_node_settings.ts";

const COMPLETE = {
  node: "node-1",
  failureDomain: "cluj-a",
  callerAddress: "127.0.0.1:8080",
  peerAddress: "127.0.0.1:8081",
  platformAddress: "http://127.0.0.1:9000/",
};

function describe(sources: SettingSources): string {
  const outcome = readNodeSettings(sources);
  return outcome.kind === "ok"
    ? formatSettings(outcome.settings)
    : formatProblems(outcome.problems);
}

const CASES: Readonly<Record<string, SettingSources>> = {
  "no settings given": { flags: {}, environment: {} },
  "a complete set with a hidden secret": {
    flags: { ...COMPLETE, peerSecret: "do not show" },
    environment: {},
  },
  "a flag takes precedence over an environment variable": {
    flags: { ...COMPLETE, region: "ro-nord" },
    environment: { SNIPEPATH_REGION: "otj" },
  },
  "an unknown environment variable": {
    flags: COMPLETE,
    environment: { SNIPEPATH_REGOIN: "otj" },
  },
  "values of the wrong kind": {
    flags: {
      ...COMPLETE,
      callerAddress: "127.0.0.1:99999",
      platformAddress: "ftp://127.0.0.1",
      leaseMilliseconds: "-5",
      logLevel: "loud",
      controlEnabled: "yes",
      peerStreams: "0",
    },
    environment: {},
  },
  "settings that contradict each other": {
    flags: {
      ...COMPLETE,
      peerAddress: "10.0.0.1:8081",
      silenceMilliseconds: "600",
      keyFreshnessMilliseconds: "600",
      leaseMilliseconds: "1000",
      drainMilliseconds: "1000",
    },
    environment: {},
  },
};

for (const [name, sources] of Object.entries(CASES)) {
  test(`settings: ${name}`, (t) => {
    t.snapshot(describe(sources));
  });
}
