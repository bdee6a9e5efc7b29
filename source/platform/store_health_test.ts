import test from "ava";
import { ManualClock } from "../utilities/manual_clock.ts";
import { StoreHealth } from "./store_health.ts";

test("a store counts as reachable before its first answer", (t) => {
  t.false(new StoreHealth(new ManualClock()).isUnreachable);
});

test("a store that answers no call for a while is unreachable until it answers one", async (t) => {
  const clock = new ManualClock();
  const health = new StoreHealth(clock);
  await clock.advance(1600);
  t.true(health.isUnreachable);
  t.false(health.isHanging);
  health.recordAnswer();
  t.false(health.isUnreachable);
});

test("an unreachable store counts as hanging if its calls hang, but not if they are refused", async (t) => {
  const clock = new ManualClock();
  const health = new StoreHealth(clock);
  health.recordFailure(1200);
  t.false(health.isHanging);
  await clock.advance(1600);
  t.true(health.isHanging);
  health.recordFailure(4);
  t.false(health.isHanging);
  t.true(health.isUnreachable);
});
