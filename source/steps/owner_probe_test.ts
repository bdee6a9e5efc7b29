import test from "ava";
import type { Peer } from "../membership/peer_directory.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { OwnerProbe } from "./owner_probe.ts";

const PEER: Peer = {
  node: "node-1",
  nodeStart: "start-1",
  failureDomain: "cluj-a",
  peerAddress: "127.0.0.1:1",
  callerAddress: "127.0.0.1:2",
  leaving: false,
  configurationRevision: 1,
  ageMilliseconds: 0,
};

const CASES: Readonly<
  Record<string, { readonly ages: ReadonlyArray<number>; responses: boolean[] }>
> = {
  "a peer with recent messages is never probed": {
    ages: [0, 1000, 0],
    responses: [],
  },
  "a silent peer that responds to probes is reachable": {
    ages: [3000, 3500, 4000],
    responses: [true, true, true],
  },
  "a silent peer that fails two probes in a row is unreachable": {
    ages: [3000, 3500, 4000],
    responses: [false, false, false],
  },
  "one response resets the failed probes": {
    ages: [3000, 3500, 4000],
    responses: [false, true, false],
  },
  "a peer that sends messages again is reachable": {
    ages: [3000, 3500, 4000, 100, 3000],
    responses: [false, false, false, false],
  },
};

for (const [name, { ages, responses }] of Object.entries(CASES)) {
  test(`owner probe: ${name}`, async (t) => {
    const clock = new ManualClock();
    const remaining = [...responses];
    const probe = new OwnerProbe({
      clock,
      canReach: () =>
        Promise.resolve(remaining.shift() ?? t.fail("probed too often")),
    });
    const verdicts: boolean[] = [];
    for (const ageMilliseconds of ages) {
      verdicts.push(probe.isUnreachable({ ...PEER, ageMilliseconds }));
      await clock.advance(500);
    }
    t.snapshot(verdicts);
  });
}
