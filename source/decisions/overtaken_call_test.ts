import test from "ava";
import {
  type AnswerEvidence,
  isOvertaken,
  type WaitingCall,
} from "./overtaken_call.ts";

const RETURNING = {
  now: 10_000,
  lastSilenceAt: 9000,
  answeredStartedAt: 9950,
  previousAnswerAt: 5000,
};

const CASES: ReadonlyArray<{
  readonly title: string;
  readonly call?: Partial<WaitingCall>;
  readonly evidence?: Partial<AnswerEvidence>;
  readonly expected: boolean;
}> = [
  { title: "a call made in the outage", expected: true },
  {
    title: "a call made after the answered one",
    call: { startedAt: 9960 },
    expected: false,
  },
  {
    title: "a call made just before the answered one",
    call: { startedAt: 9900 },
    expected: false,
  },
  {
    title: "a call whose answer has begun",
    call: { isAnswered: true },
    expected: false,
  },
  {
    title: "a call without an outage",
    evidence: { lastSilenceAt: -Infinity },
    expected: false,
  },
  {
    title: "a call some seconds after an outage",
    evidence: { lastSilenceAt: 7000 },
    expected: false,
  },
  {
    title: "a held call made in the outage",
    call: { isHeld: true },
    expected: true,
  },
  {
    title: "a held call since which another one was answered",
    call: { isHeld: true },
    evidence: { previousAnswerAt: 9200 },
    expected: false,
  },
];

for (const { title, call, evidence, expected } of CASES) {
  test(`${title} is overtaken: ${expected}`, (t) => {
    const waiting = {
      startedAt: 9100,
      isAnswered: false,
      isHeld: false,
      ...call,
    };
    t.is(isOvertaken(waiting, { ...RETURNING, ...evidence }), expected);
  });
}

// Replays an outage of five seconds: loops that follow tables call the store one after the other,
// each call hangs until its limit, and each loop calls again 50 ms later.
interface Replay {
  /** Times from the end of the outage until each loop has an answer, in milliseconds. */
  readonly returned: ReadonlyArray<number>;
  /** Number of calls given up in the five seconds after all loops had an answer. */
  readonly givenUpLater: number;
}

function replayOutage(givesUpOvertaken: boolean): Replay {
  const outageEndsAt = 5000;
  const callMilliseconds = 4;
  const silenceMilliseconds = 1200;
  const holds = [1000, 1000, 1000, 1000, 0, 0];
  const starts = holds.map((_, index) => index * 37);
  const returned = holds.map(() => Infinity);
  let lastSilenceAt = -Infinity;
  let previousAnswerAt = -Infinity;
  let givenUpLater = 0;
  for (let now = 0; now < outageEndsAt + 9000; now += 1) {
    for (const [index, hold] of holds.entries()) {
      const startedAt = starts[index] ?? 0;
      const isLost = startedAt < outageEndsAt;
      // The first answer after an outage is a full read; later calls are held.
      const duration = returned[index] === Infinity ? 0 : hold;
      if (isLost && now - startedAt >= silenceMilliseconds + hold) {
        lastSilenceAt = now;
        starts[index] = now + 50;
      } else if (!isLost && now - startedAt >= duration + callMilliseconds) {
        returned[index] = Math.min(returned[index] ?? Infinity, now);
        starts[index] = now + 50;
        const evidence = {
          now,
          lastSilenceAt,
          answeredStartedAt: startedAt,
          previousAnswerAt,
        };
        previousAnswerAt = now;
        for (const [other, otherHold] of holds.entries()) {
          const call = {
            startedAt: starts[other] ?? 0,
            isAnswered: false,
            isHeld: otherHold > 0,
          };
          if (!givesUpOvertaken || other === index) continue;
          if (!isOvertaken(call, evidence)) continue;
          if (!returned.includes(Infinity)) givenUpLater += 1;
          starts[other] = now + 50;
        }
      }
    }
  }
  return { returned: returned.map((at) => at - outageEndsAt), givenUpLater };
}

test("load: after an outage, calls that were lost are made again once one is answered", (t) => {
  const before = replayOutage(false);
  const after = replayOutage(true);
  t.true(Math.max(...before.returned) > 1000, `${before.returned}`);
  const first = Math.min(...after.returned);
  t.true(Math.max(...after.returned) - first <= 100, `${after.returned}`);
});

// Guards against calls that the platform holds being given up again and again after an outage, each
// of which has a whole table read anew.
test("load: after an outage, calls that the platform holds go on", (t) => {
  t.is(replayOutage(true).givenUpLater, 0);
});
