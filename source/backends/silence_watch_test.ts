import test from "ava";
import { ManualClock } from "../utilities/manual_clock.ts";
import { SilenceWatch } from "./silence_watch.ts";

class StallingClock extends ManualClock {
  stallMilliseconds = 0;

  override async sleep(milliseconds: number): Promise<void> {
    await super.sleep(milliseconds + this.stallMilliseconds);
  }
}

interface Case {
  readonly name: string;
  readonly act: (watch: SilenceWatch, clock: StallingClock) => Promise<void>;
}

const CASES: ReadonlyArray<Case> = [
  { name: "nothing heard", act: (_watch, clock) => clock.advance(100) },
  { name: "not yet silent", act: (_watch, clock) => clock.advance(99) },
  {
    name: "heard in time",
    act: async (watch, clock) => {
      await clock.advance(99);
      watch.touch();
      await clock.advance(99);
    },
  },
  {
    name: "heard, then silent",
    act: async (watch, clock) => {
      await clock.advance(99);
      watch.touch();
      await clock.advance(100);
    },
  },
  {
    name: "paused",
    act: async (watch, clock) => {
      watch.pause();
      await clock.advance(1_000);
    },
  },
  {
    name: "paused, resumed, silent",
    act: async (watch, clock) => {
      watch.pause();
      await clock.advance(1_000);
      watch.resume();
      await clock.advance(120);
    },
  },
  {
    name: "stopped",
    act: async (watch, clock) => {
      watch.stop();
      await clock.advance(1_000);
    },
  },
  {
    name: "process stood still",
    act: async (_watch, clock) => {
      await clock.advance(10);
      clock.stallMilliseconds = 200;
      await clock.advance(240);
    },
  },
];

test("silence is noticed, and only silence", async (t) => {
  const seen: string[] = [];
  for (const { name, act } of CASES) {
    const clock = new StallingClock();
    let silent = 0;
    const watch = new SilenceWatch({
      clock,
      silenceMilliseconds: 100,
      onSilent: () => {
        silent += 1;
      },
    });
    await act(watch, clock);
    seen.push(`${name}: ${silent}`);
    watch.stop();
  }
  t.snapshot(seen);
});
