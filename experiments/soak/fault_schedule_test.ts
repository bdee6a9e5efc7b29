import test from "ava";
import { createFaultSchedule } from "./fault_schedule.ts";

const OPTIONS = {
  seed: 7,
  durationMilliseconds: 20_000,
  nodes: 5,
  servers: 9,
};

test("a seed repeats its schedule, and another seed gives another", (t) => {
  const schedule = createFaultSchedule(OPTIONS);
  t.deepEqual(createFaultSchedule(OPTIONS), schedule);
  t.notDeepEqual(createFaultSchedule({ ...OPTIONS, seed: 8 }), schedule);
  t.snapshot(schedule);
});
