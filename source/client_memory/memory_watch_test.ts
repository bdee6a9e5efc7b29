import test from "ava";
import { RecordingEventLog } from "../observability/event_log.ts";
import { NO_METRICS } from "../observability/metrics.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { GarbageCollection } from "./garbage_collection.ts";
import { MemoryWatch } from "./memory_watch.ts";

const MEGABYTE = 1024 * 1024;

function createWatch(
  state: { resident: number; readonly freed: number },
): { readonly watch: MemoryWatch; readonly collected: number[] } & {
  readonly clock: ManualClock;
} {
  const collected: number[] = [];
  const clock = new ManualClock();
  const watch = new MemoryWatch({
    clock,
    log: new RecordingEventLog(),
    metrics: NO_METRICS,
    memoryBytes: 100 * MEGABYTE,
    stopping: new AbortController().signal,
    readResident: () => state.resident,
    garbage: {
      collectAll: () => {
        collected.push(clock.monotonic());
        state.resident -= state.freed;
      },
    },
  });
  return { watch, collected, clock };
}

test("garbage is collected only close to the memory of the instance", (t) => {
  const state = { resident: 79 * MEGABYTE, freed: 30 * MEGABYTE };
  const { watch, collected } = createWatch(state);
  watch.check();
  t.deepEqual([watch.isPressed, collected.length], [false, 0]);
  state.resident = 90 * MEGABYTE;
  watch.check();
  t.deepEqual([watch.isPressed, collected.length], [false, 1]);
});

// Guards against a process that does nothing but collect when there is nothing to free.
test("collections that free little become rare", (t) => {
  const { watch, collected, clock } = createWatch({
    resident: 90 * MEGABYTE,
    freed: 0,
  });
  for (let check = 0; check < 600; check += 1) {
    watch.check();
    clock.advance(100);
  }
  t.true(watch.isPressed);
  t.true(collected.length < 10, `${collected.length} collections in 60 s`);
});

test("buffers are collected by the bytes that were read and that have ended", (t) => {
  const counts = { young: 0, all: 0 };
  const garbage = new GarbageCollection({
    collectYoung: () => counts.young += 1,
    collectAll: () => counts.all += 1,
  });
  for (let read = 0; read < 100; read += 1) garbage.recordRead(65_536);
  t.deepEqual(counts, { young: 0, all: 0 });
  for (let read = 0; read < 100; read += 1) garbage.recordRead(65_536);
  garbage.recordEnded(15 * MEGABYTE);
  t.deepEqual(counts, { young: 1, all: 0 });
  garbage.recordEnded(MEGABYTE);
  t.deepEqual(counts, { young: 1, all: 1 });
});
