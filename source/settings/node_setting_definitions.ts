import type { SettingDefinition, SettingName } from "./setting_definition.ts";

const MAXIMUM_MILLISECONDS = 86_400_000;

/** Definitions of all settings of a node. */
export const NODE_SETTING_DEFINITIONS: Readonly<
  Record<SettingName, SettingDefinition>
> = {
  node: {
    kind: "text",
    description: "Name of this node, unique among live nodes",
    defaultText: undefined,
  },
  failureDomain: {
    kind: "text",
    description: "Failure domain in which this node runs",
    defaultText: undefined,
  },
  region: {
    kind: "text",
    description: "Region in which this node runs",
    defaultText: "default",
  },
  callerAddress: {
    kind: "address",
    description: "HOST:PORT on which this node listens for callers",
    defaultText: undefined,
  },
  peerAddress: {
    kind: "address",
    description: "HOST:PORT on which this node listens for peers and operators",
    defaultText: undefined,
  },
  platformAddress: {
    kind: "url",
    description: "http://HOST:PORT of the platform's services",
    defaultText: undefined,
  },
  peerSecret: {
    kind: "text",
    description:
      "Secret that peers and operators must send; may be empty only if the peer address is a loopback address",
    defaultText: "",
    isSecret: true,
  },
  leaseMilliseconds: milliseconds("Lifetime of a lease", 6000, 100),
  orderDeadlineMilliseconds: milliseconds(
    "How long an order may be in progress before it is abandoned",
    2000,
    50,
  ),
  usageWindowMilliseconds: milliseconds(
    "Length of a usage window",
    60_000,
    200,
  ),
  heartbeatMilliseconds: milliseconds(
    "Interval between heartbeats on a peer stream",
    500,
    10,
  ),
  silenceMilliseconds: milliseconds(
    "Time without data after which a connection is closed and replaced",
    2500,
    30,
  ),
  keyFreshnessMilliseconds: milliseconds(
    "Age of the key data past which requests with a key are refused",
    8000,
    100,
  ),
  addressKeepMilliseconds: milliseconds(
    "How long callers may cache the list of node addresses",
    5000,
    0,
  ),
  drainMilliseconds: milliseconds(
    "How long a draining node waits for running requests",
    60_000,
    0,
  ),
  metricsAddress: {
    kind: "optionalAddress",
    description: "HOST:PORT of a statsd server; empty for none",
    defaultText: "",
  },
  logLevel: choice("Lowest level of events that are logged", "info", [
    "error",
    "warn",
    "info",
    "debug",
  ]),
  routingPolicy: choice("How backend servers are chosen", "expectedFinish", [
    "roundRobin",
    "leastOutstanding",
    "rendezvous",
    "expectedFinish",
  ]),
  admissionPolicy: choice(
    "Order in which waiting requests start",
    "slackFair",
    [
      "fifo",
      "perNodeFair",
      "slackFair",
    ],
  ),
  stepTailPolicy: choice(
    "How stragglers of a step are handled",
    "resumedTail",
    [
      "none",
      "hedgedTail",
      "resumedTail",
    ],
  ),
  spendPolicy: choice(
    "Which backend servers are bought",
    "domainLossBound",
    ["allSteady", "cheapFirst", "domainLossBound"],
  ),
  controlEnabled: {
    kind: "boolean",
    description: "Whether this node tries to acquire leases",
    defaultText: "true",
  },
  peerStreams: {
    kind: "count",
    description: "Long-lived streams that this node opens to peers",
    defaultText: "6",
    minimum: 1,
    maximum: 32,
  },
  randomSeed: {
    kind: "count",
    description:
      "Seed of the random number generator; 0 takes one from the system",
    defaultText: "0",
    minimum: 0,
    maximum: 0xffff_ffff,
  },
};

function milliseconds(
  description: string,
  fallback: number,
  minimum: number,
): SettingDefinition {
  return {
    kind: "milliseconds",
    description: `${description}, in milliseconds`,
    defaultText: String(fallback),
    minimum,
    maximum: MAXIMUM_MILLISECONDS,
  };
}

function choice(
  description: string,
  fallback: string,
  choices: ReadonlyArray<string>,
): SettingDefinition {
  return { kind: "choice", description, defaultText: fallback, choices };
}
