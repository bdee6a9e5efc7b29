import test from "ava";
import { createFaultSchedule } from "./fault_schedule.ts";

const OPTIONS = {
  seed: 7,
  durationMilliseconds: 20_000,
  nodes: 5,
  servers: 9,
};

test("a seed always gives the same schedule, and another seed gives a different one", (t) => {
  const schedule = createFaultSchedule(OPTIONS);
  t.deepEqual(createFaultSchedule(OPTIONS), schedule);
  t.notDeepEqual(createFaultSchedule({ ...OPTIONS, seed: 8 }), schedule);
  t.snapshot(schedule);
});
