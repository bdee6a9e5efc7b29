import test from "ava";
import {
  type ContinuationServers,
  decideStreamContinuation,
  type StreamContinuation,
  type StreamOriginFinding,
} from "./stream_continuation.ts";

const FOUND: StreamOriginFinding = {
  kind: "found",
  origin: { service: "s", softwareVersion: "v1" },
};
const BOTH: ReadonlySet<string> = new Set(["v1", "v2"]);
const FIRST: ReadonlySet<string> = new Set(["v1"]);
const SERVERS: ContinuationServers = {
  services: ["s"],
  serving: () => BOTH,
  seen: () => BOTH,
};
const NO_SERVER: StreamContinuation = { kind: "reject", refusal: "noServer" };
const GOES_ON: StreamContinuation = {
  kind: "continue",
  origin: { service: "s", softwareVersion: "v1" },
};

const CASES: ReadonlyArray<{
  readonly title: string;
  readonly finding: StreamOriginFinding;
  readonly servers: Partial<ContinuationServers>;
  readonly expected: StreamContinuation;
}> = [
  {
    title: "goes on at the version that began it",
    finding: FOUND,
    servers: {},
    expected: GOES_ON,
  },
  {
    title: "is rejected when its version has gone",
    finding: FOUND,
    servers: { serving: () => new Set(["v2"]) },
    expected: NO_SERVER,
  },
  {
    title: "is rejected when its route goes to another service now",
    finding: FOUND,
    servers: { services: ["t"] },
    expected: NO_SERVER,
  },
  {
    title: "without a record goes on when one version alone can have begun it",
    finding: { kind: "absent" },
    servers: { serving: () => FIRST, seen: () => FIRST },
    expected: GOES_ON,
  },
  {
    title: "without a record is rejected when two versions were seen",
    finding: { kind: "absent" },
    servers: { serving: () => FIRST },
    expected: NO_SERVER,
  },
  {
    title: "without a record is rejected by a node that started recently",
    finding: { kind: "absent" },
    servers: { serving: () => FIRST, seen: () => undefined },
    expected: NO_SERVER,
  },
  {
    title: "without a record is rejected when its route has two services",
    finding: { kind: "absent" },
    servers: { services: ["s", "t"], seen: () => FIRST },
    expected: NO_SERVER,
  },
  {
    title: "is rejected while the store does not answer",
    finding: { kind: "unreadable" },
    servers: { serving: () => FIRST, seen: () => FIRST },
    expected: { kind: "reject", refusal: "storeAway" },
  },
];

for (const { title, finding, servers, expected } of CASES) {
  test(`a stream that is taken up ${title}`, (t) => {
    const decision = decideStreamContinuation(finding, {
      ...SERVERS,
      ...servers,
    });
    t.deepEqual(decision, expected);
  });
}
