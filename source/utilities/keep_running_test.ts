import test from "ava";
import { keepRunning } from "./keep_running.ts";
import { SystemClock } from "./system_clock.ts";

const clock = new SystemClock();

test("a loop that fails is started again until it ends by itself", async (t) => {
  const faults: unknown[] = [];
  let starts = 0;
  await keepRunning(() => {
    starts += 1;
    return starts < 3
      ? Promise.reject(new Error(`${starts}`))
      : Promise.resolve();
  }, {
    clock,
    stopping: new AbortController().signal,
    onFault: (error) => faults.push(String(error)),
  });
  t.deepEqual(faults, ["Error: 1", "Error: 2"]);
});

test("a loop that fails while the node stops is not started again", async (t) => {
  let starts = 0;
  await keepRunning(() => {
    starts += 1;
    return Promise.reject(new Error("always"));
  }, { clock, stopping: AbortSignal.abort(), onFault: () => {} });
  t.is(starts, 1);
});
