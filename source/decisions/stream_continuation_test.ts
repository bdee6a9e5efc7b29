import test from "ava";
import {
  runStreamModel,
  type StreamModelOptions,
} from "../../stand_ins/decisions/stream_model.ts";
import {
  type ContinuationServers,
  decideStreamContinuation,
  type StreamContinuation,
  type StreamOriginFinding,
} from "./stream_continuation.ts";

const FOUND: StreamOriginFinding = {
  kind: "found",
  origin: { service: "s", softwareVersion: "v1", server: undefined },
};
const BOTH: ReadonlySet<string> = new Set(["v1", "v2"]);
const FIRST: ReadonlySet<string> = new Set(["v1"]);
const SERVERS: ContinuationServers = {
  services: ["s"],
  isOriginDoubtful: false,
  serving: () => BOTH,
  seen: () => BOTH,
};
const NO_SERVER: StreamContinuation = { kind: "reject", refusal: "noServer" };
const GOES_ON: StreamContinuation = {
  kind: "continue",
  origin: { service: "s", softwareVersion: "v1", server: undefined },
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
    title: "is rejected when the server may have had another version",
    finding: FOUND,
    servers: { isOriginDoubtful: true },
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

/** Least share of the streams that go on, of the share of new streams that begin. */
const GOES_ON_RATIO = 0.5;

const LOAD: StreamModelOptions = {
  seed: 1,
  nodes: 20,
  streams: 2000,
  interruptedAt: 70_000,
  killedShare: 0.35,
  releasedAt: 40_000,
  followedSince: 0,
};

const LOADS: Readonly<
  Record<
    string,
    {
      readonly load: Partial<StreamModelOptions>;
      readonly expectsMost: boolean;
    }
  >
> = {
  "two versions serve side by side": { load: {}, expectsMost: true },
  "one version serves": {
    load: { releasedAt: Infinity },
    expectsMost: true,
  },
  "the store was out while some streams began": {
    load: { storeOutage: [20_000, 30_000] },
    expectsMost: true,
  },
  "the store is out": {
    load: { storeOutage: [60_000, 90_000] },
    expectsMost: false,
  },
  "the first version has gone": {
    load: { removedAt: 69_000 },
    expectsMost: false,
  },
  "the store was out and the nodes have just started": {
    load: { storeOutage: [0, 60_000], followedSince: 65_000 },
    expectsMost: false,
  },
};

for (const [title, { load, expectsMost }] of Object.entries(LOADS)) {
  test(`replay: many callers take their streams up at once, and ${title}`, (t) => {
    for (let seed = 1; seed <= 50; seed += 1) {
      const outcome = runStreamModel({ ...LOAD, ...load, seed });
      t.is(outcome.mixed, 0, `seed ${seed}`);
      if (!expectsMost || outcome.takenUp < 12) continue;
      t.true(
        outcome.continued >= GOES_ON_RATIO * outcome.takenUp,
        `seed ${seed}: ${outcome.continued} of ${outcome.takenUp} went on`,
      );
    }
  });
}

test("replay: a rule that takes any serving version mixes streams", (t) => {
  const { mixed } = runStreamModel({
    ...LOAD,
    decide: (_finding, { serving }) => ({
      kind: "continue",
      origin: {
        service: "s",
        softwareVersion: [...serving("s")][0] ?? "",
        server: undefined,
      },
    }),
  });
  t.true(mixed > 0);
});
