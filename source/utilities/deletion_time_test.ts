import test from "ava";
import { createDeletionTime } from "./deletion_time.ts";
import { ManualClock } from "./manual_clock.ts";

const START = 1_800_000_000_000;

for (
  const { step, expected } of [
    { step: 0, expected: START + 1000 },
    { step: 86_400_000, expected: START + 1000 },
    { step: -5000, expected: START - 4000 },
  ]
) {
  // Guards against rows that are deleted because the wall clock has stepped.
  test(`after a step by ${step} ms, rows are as old as the time that elapsed`, async (t) => {
    const clock = new ManualClock(START);
    const deletionTime = createDeletionTime(clock);
    clock.stepWall(step);
    await clock.advance(1000);
    t.is(deletionTime(), expected);
  });
}
