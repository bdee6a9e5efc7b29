import test from "ava";
import { ManualClock } from "../utilities/manual_clock.ts";
import { InactivityTimer } from "./inactivity_timer.ts";

/** A clock whose sleeps end late by a settable time, as they do in a process that was stalled. */
class LateClock extends ManualClock {
  latenessMilliseconds = 0;

  override async sleep(milliseconds: number): Promise<void> {
    await super.sleep(milliseconds + this.latenessMilliseconds);
  }
}

interface Case {
  readonly name: string;
  readonly act: (timer: InactivityTimer, clock: LateClock) => Promise<void>;
}

const CASES: ReadonlyArray<Case> = [
  { name: "no byte received", act: (_timer, clock) => clock.advance(100) },
  { name: "timeout not reached", act: (_timer, clock) => clock.advance(99) },
  {
    name: "byte received in time",
    act: async (timer, clock) => {
      await clock.advance(99);
      timer.recordActivity();
      await clock.advance(99);
    },
  },
  {
    name: "byte received, then timeout",
    act: async (timer, clock) => {
      await clock.advance(99);
      timer.recordActivity();
      await clock.advance(100);
    },
  },
  {
    name: "paused",
    act: async (timer, clock) => {
      timer.pause();
      await clock.advance(1_000);
    },
  },
  {
    name: "paused, resumed, then timeout",
    act: async (timer, clock) => {
      timer.pause();
      await clock.advance(1_000);
      timer.resume();
      await clock.advance(120);
    },
  },
  {
    name: "stopped",
    act: async (timer, clock) => {
      timer.stop();
      await clock.advance(1_000);
    },
  },
  {
    name: "process stalled",
    act: async (_timer, clock) => {
      await clock.advance(10);
      clock.latenessMilliseconds = 200;
      await clock.advance(240);
    },
  },
];

test("the timer fires after inactivity and only then", async (t) => {
  const seen: string[] = [];
  for (const { name, act } of CASES) {
    const clock = new LateClock();
    let timeouts = 0;
    const timer = new InactivityTimer({
      clock,
      silenceMilliseconds: 100,
      onTimeout: () => {
        timeouts += 1;
      },
    });
    await act(timer, clock);
    seen.push(`${name}: ${timeouts}`);
    timer.stop();
  }
  t.snapshot(seen);
});
