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
  Record<string, { readonly ages: ReadonlyArray<number>; answers: boolean[] }>
> = {
  "a peer that tells is never asked": { ages: [0, 1000, 0], answers: [] },
  "a quiet peer that answers is there": {
    ages: [3000, 3500, 4000],
    answers: [true, true, true],
  },
  "a quiet peer that leaves two questions unanswered is gone": {
    ages: [3000, 3500, 4000],
    answers: [false, false, false],
  },
  "one answer clears what went unanswered": {
    ages: [3000, 3500, 4000],
    answers: [false, true, false],
  },
  "a peer that tells again is there": {
    ages: [3000, 3500, 4000, 100, 3000],
    answers: [false, false, false, false],
  },
};

for (const [name, { ages, answers }] of Object.entries(CASES)) {
  test(`owner probe: ${name}`, async (t) => {
    const clock = new ManualClock();
    const left = [...answers];
    const probe = new OwnerProbe({
      clock,
      ask: () => Promise.resolve(left.shift() ?? t.fail("asked too often")),
    });
    const verdicts: boolean[] = [];
    for (const ageMilliseconds of ages) {
      verdicts.push(probe.isGone({ ...PEER, ageMilliseconds }));
      await clock.advance(500);
    }
    t.snapshot(verdicts);
  });
}
