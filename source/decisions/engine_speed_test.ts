import test from "ava";
import { EngineSpeed } from "./engine_speed.ts";

function measure(
  speed: EngineSpeed,
  { milliseconds, from, to }: {
    readonly milliseconds: number;
    readonly from: number;
    readonly to: number;
  },
): void {
  for (let now = from; now < to; now += milliseconds) {
    speed.record(milliseconds, now);
  }
}

test("an engine that is slow for good is known to be slow after a pause", (t) => {
  const speed = new EngineSpeed();
  measure(speed, { milliseconds: 96, from: 0, to: 10_000 });
  t.is(Math.round(speed.expect(10_000, 40)), 96);
  t.is(speed.recent(14_100), undefined);
  t.true(speed.expect(14_100, 40) > 90);
  t.is(Math.round(speed.expect(70_000, 40)), 68);
  t.true(speed.expect(1_000_000, 40) < 41);
});

test("an engine that was slow for a while is tried again after a pause", (t) => {
  const speed = new EngineSpeed();
  measure(speed, { milliseconds: 40, from: 0, to: 60_000 });
  measure(speed, { milliseconds: 240, from: 60_000, to: 75_000 });
  t.true(speed.expect(75_000, 40) > 230);
  t.true(speed.expect(80_000, 40) < 100);
});

test("an engine that becomes slow is known after some events, but not after one long gap", (t) => {
  const speed = new EngineSpeed();
  measure(speed, { milliseconds: 40, from: 0, to: 10_000 });
  speed.record(900, 10_900);
  t.true((speed.recent(10_900) ?? 0) <= 64);
  measure(speed, { milliseconds: 320, from: 11_000, to: 14_000 });
  t.true((speed.recent(14_000) ?? 0) > 200);
});

test("an engine without a measurement counts as a usual one", (t) => {
  t.is(new EngineSpeed().expect(1000, 37), 37);
  t.is(new EngineSpeed().recent(1000), undefined);
});
