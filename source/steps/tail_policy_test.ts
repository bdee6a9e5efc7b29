import test from "ava";
import fc from "fast-check";
import { getSpareShare } from "./tail_budget.ts";
import {
  type RunningSample,
  TAIL_POLICIES,
  type TailPolicyName,
  type TailView,
} from "./tail_policy.ts";

const USUAL = { milliseconds: 1000, startMilliseconds: 100, tokens: 90 };

function toRunning(parts: Partial<RunningSample>): RunningSample {
  return {
    index: 0,
    group: 0,
    server: "engine-0",
    ageMilliseconds: 600,
    silentMilliseconds: 10,
    generatingMilliseconds: 500,
    tokens: 50,
    maximumTokens: 100,
    runs: 1,
    secondRuns: 0,
    ...parts,
  };
}

const SLOW = toRunning({
  index: 1,
  server: "engine-1",
  ageMilliseconds: 2500,
  generatingMilliseconds: 2400,
  tokens: 24,
});
const SILENT = toRunning({
  index: 2,
  ageMilliseconds: 2500,
  silentMilliseconds: 2000,
});
const NEARLY_DONE = toRunning({
  index: 3,
  ageMilliseconds: 9000,
  generatingMilliseconds: 8900,
  tokens: 99,
});
const NOT_BEGUN = toRunning({
  index: 4,
  server: "engine-2",
  ageMilliseconds: 5000,
  silentMilliseconds: 5000,
  generatingMilliseconds: 0,
  tokens: 0,
});

function toView(parts: Partial<TailView>): TailView {
  return {
    running: [toRunning({}), SLOW, SILENT, NEARLY_DONE, NOT_BEGUN],
    waiting: 0,
    finished: Array.from({ length: 8 }, () => USUAL),
    spareTokens: 1000,
    ...parts,
  };
}

const QUEUED = toRunning({
  index: 5,
  silentMilliseconds: 150,
  generatingMilliseconds: 0,
  tokens: 0,
});

const VIEWS: Readonly<Record<string, TailView>> = {
  "stragglers at the end": toView({}),
  "samples wait": toView({ waiting: 1 }),
  "a sample waits at a usual server": toView({ running: [SLOW, QUEUED] }),
  "a sample waits at a slow server": toView({
    running: [SLOW, { ...QUEUED, server: SLOW.server }],
  }),
  "few finished": toView({ finished: [USUAL] }),
  "little to spare": toView({ spareTokens: 110 }),
  "one token to spare": toView({ spareTokens: 1 }),
  "nothing to spare": toView({ spareTokens: 0 }),
  "second runs are under way": toView({
    running: [{ ...SLOW, runs: 2 }, { ...SILENT, runs: 2 }],
  }),
};

test("tail policies choose second runs", (t) => {
  const names: ReadonlyArray<TailPolicyName> = [
    "none",
    "hedgedTail",
    "resumedTail",
  ];
  const seen = Object.fromEntries(
    Object.entries(VIEWS).map(([title, view]) => [
      title,
      Object.fromEntries(
        names.map((name) => [
          name,
          TAIL_POLICIES[name](view).map((run) => `${run.index}:${run.tokens}`)
            .join(" "),
        ]),
      ),
    ]),
  );
  t.snapshot(seen);
});

test("second runs never exceed the budget, and no sample gets a third", (t) => {
  const running = fc.record({
    ageMilliseconds: fc.nat(10_000),
    silentMilliseconds: fc.nat(10_000),
    generatingMilliseconds: fc.nat(10_000),
    tokens: fc.nat(100),
    runs: fc.integer({ min: 1, max: 2 }),
  });
  fc.assert(
    fc.property(
      fc.array(running, { maxLength: 20 }),
      fc.nat(500),
      (parts, spareTokens) => {
        const samples = parts.map((each, index) =>
          toRunning({ ...each, index })
        );
        for (const policy of Object.values(TAIL_POLICIES)) {
          const chosen = policy(toView({ running: samples, spareTokens }));
          const spent = chosen.reduce((sum, run) => sum + run.tokens, 0);
          t.true(spent <= spareTokens);
          t.is(new Set(chosen.map((run) => run.index)).size, chosen.length);
          t.true(chosen.every((run) => samples[run.index]?.runs === 1));
        }
      },
    ),
    { seed: 11, numRuns: 300 },
  );
});

test("the budget grows as a step nears its deadline", (t) => {
  const base = { deadlineMilliseconds: 1000, isDeferrable: false };
  t.snapshot({
    "just begun": getSpareShare({
      ...base,
      elapsedMilliseconds: 10,
      finishedShare: 0,
    }),
    "well ahead": getSpareShare({
      ...base,
      elapsedMilliseconds: 200,
      finishedShare: 0.8,
    }),
    "three quarters of the deadline": getSpareShare({
      ...base,
      elapsedMilliseconds: 600,
      finishedShare: 0.8,
    }),
    "late": getSpareShare({
      ...base,
      elapsedMilliseconds: 1200,
      finishedShare: 0.9,
    }),
    "deferrable": getSpareShare({
      ...base,
      isDeferrable: true,
      elapsedMilliseconds: 1200,
      finishedShare: 0.9,
    }),
  });
});
