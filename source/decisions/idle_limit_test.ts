import test from "ava";
import { toIdleLimit } from "./idle_limit.ts";

// Replays attempts at engines that send each event after a pause: returns the number of attempts until
// the first event arrives within the limit.
function countAttempts(eventMilliseconds: number): number {
  let silences = 0;
  while (toIdleLimit(silences, 40) < eventMilliseconds && silences < 20) {
    silences += 1;
  }
  return silences + 1;
}

const CASES: ReadonlyArray<{
  readonly eventMilliseconds: number;
  readonly attempts: number;
}> = [
  { eventMilliseconds: 40, attempts: 1 },
  { eventMilliseconds: 2400, attempts: 1 },
  { eventMilliseconds: 3200, attempts: 2 },
  { eventMilliseconds: 9000, attempts: 3 },
  { eventMilliseconds: 20_000, attempts: 4 },
];

for (const { eventMilliseconds, attempts } of CASES) {
  test(`engines with an event every ${eventMilliseconds} ms generate texts from attempt ${attempts} on`, (t) => {
    t.is(countAttempts(eventMilliseconds), attempts);
  });
}

test("engines that are usually slow are not aborted at their usual pace", (t) => {
  t.true(toIdleLimit(0, 1000) >= 7000);
});

test("a silent engine is given up within 20 s, however often that happened", (t) => {
  t.is(toIdleLimit(50, 5000), 20_000);
});
