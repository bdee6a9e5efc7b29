import test from "ava";
import { toPollInterval } from "./result_poll.ts";

test("the last results of a step are looked for more often", (t) => {
  const positions = [0, 16, 23, 24, 31];
  t.deepEqual(
    positions.map((position) => toPollInterval({ position, total: 32 })),
    [120, 120, 120, 40, 40],
  );
});

// Replays trainers that wait for the last result of steps of 32 samples; it is listed at each
// millisecond after the start of the wait in turn.
test("load: a trainer has the last result of its step soon after it was listed", (t) => {
  const delays = Array.from({ length: 500 }, (_, listedAt) => {
    let now = 0;
    while (now < listedAt) now += toPollInterval({ position: 31, total: 32 });
    return now - listedAt;
  });
  const mean = delays.reduce((sum, each) => sum + each, 0) / delays.length;
  t.true(mean <= 25, `${mean} ms`);
  t.true(Math.max(...delays) <= 50, `${Math.max(...delays)} ms`);
});
