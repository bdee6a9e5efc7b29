import test from "ava";
import { isOvertaken } from "./overtaken_call.ts";

const RETURNING = { now: 10_000, lastSilenceAt: 9000, answeredStartedAt: 9950 };

const CASES = [
  ["a call made in the outage", { startedAt: 9100, isAnswered: false }, true],
  ["a call made after the answered one", {
    startedAt: 9960,
    isAnswered: false,
  }, false],
  [
    "a call made just before the answered one",
    { startedAt: 9900, isAnswered: false },
    false,
  ],
  [
    "a call whose answer has begun",
    { startedAt: 9100, isAnswered: true },
    false,
  ],
] as const;

for (const [title, call, expected] of CASES) {
  test(`${title} is overtaken: ${expected}`, (t) => {
    t.is(isOvertaken(call, RETURNING), expected);
  });
}

test("without an outage in the last seconds, no call is overtaken", (t) => {
  const call = { startedAt: 9100, isAnswered: false };
  t.false(isOvertaken(call, { ...RETURNING, lastSilenceAt: -Infinity }));
  t.false(isOvertaken(call, { ...RETURNING, lastSilenceAt: 4000 }));
});

// Replays an outage of five seconds: loops that follow tables call the store one after the other,
// each call hangs until its limit, and each loop calls again 50 ms later.
function findReturnTimes(givesUpOvertaken: boolean): ReadonlyArray<number> {
  const outageEndsAt = 5000;
  const callMilliseconds = 4;
  const silenceMilliseconds = 1200;
  const longPolls = [1000, 1000, 1000, 1000, 0, 0];
  const starts = longPolls.map((_, index) => index * 37);
  const returned = longPolls.map(() => Infinity);
  let lastSilenceAt = -Infinity;
  for (let now = 0; returned.includes(Infinity); now += 1) {
    const answered = starts.filter((start) =>
      start >= outageEndsAt && now - start >= callMilliseconds
    );
    for (const [index, longPoll] of longPolls.entries()) {
      const startedAt = starts[index] ?? 0;
      if (returned[index] !== Infinity || now < startedAt) continue;
      const isLost = startedAt < outageEndsAt;
      if (!isLost && now - startedAt >= callMilliseconds) returned[index] = now;
      const isSilent = now - startedAt >= silenceMilliseconds + longPoll;
      const isGivenUp = givesUpOvertaken &&
        isOvertaken({ startedAt, isAnswered: !isLost }, {
          now,
          lastSilenceAt,
          answeredStartedAt: Math.max(-Infinity, ...answered),
        });
      if (isLost && isSilent) lastSilenceAt = now;
      if (isLost && (isSilent || isGivenUp)) starts[index] = now + 50;
    }
  }
  return returned.map((time) => time - outageEndsAt);
}

test("load: after an outage, calls that were lost are made again once one is answered", (t) => {
  const before = findReturnTimes(false);
  const after = findReturnTimes(true);
  t.true(Math.max(...before) > 1000, `${before}`);
  const first = Math.min(...after);
  t.true(Math.max(...after) - first <= 100, `${after}`);
});
