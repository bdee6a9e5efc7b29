import test from "ava";
import { ManualClock } from "../utilities/manual_clock.ts";
import { StoreHealth } from "./store_health.ts";

test("a store that was just started to be asked is not away", (t) => {
  t.false(new StoreHealth(new ManualClock()).isAway);
});

test("a store that answers no call for a while is away until it answers one", async (t) => {
  const clock = new ManualClock();
  const health = new StoreHealth(clock);
  await clock.advance(1600);
  t.true(health.isAway);
  t.false(health.isSilent);
  health.noteAnswer();
  t.false(health.isAway);
});

test("a store that is away is silent if its calls hang, and not if they are refused", async (t) => {
  const clock = new ManualClock();
  const health = new StoreHealth(clock);
  health.noteFailure(1200);
  t.false(health.isSilent);
  await clock.advance(1600);
  t.true(health.isSilent);
  health.noteFailure(4);
  t.false(health.isSilent);
  t.true(health.isAway);
});
