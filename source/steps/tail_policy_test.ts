import test from "ava";
import fc from "fast-check";
import { getBudgetShare } from "./tail_budget.ts";
import {
  type RunningSample,
  TAIL_POLICIES,
  type TailPolicyName,
  type TailView,
} from "./tail_policy.ts";

const TYPICAL = { milliseconds: 1000, startMilliseconds: 100, tokens: 90 };

function toRunning(parts: Partial<RunningSample>): RunningSample {
  return {
    index: 0,
    group: 0,
    server: "engine-0",
    ageMilliseconds: 600,
    sinceLastTokenMilliseconds: 10,
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
  sinceLastTokenMilliseconds: 2000,
});
const NEARLY_DONE = toRunning({
  index: 3,
  ageMilliseconds: 9000,
  generatingMilliseconds: 8900,
  tokens: 99,
});
const NOT_STARTED = toRunning({
  index: 4,
  server: "engine-2",
  ageMilliseconds: 5000,
  sinceLastTokenMilliseconds: 5000,
  generatingMilliseconds: 0,
  tokens: 0,
});

function toView(parts: Partial<TailView>): TailView {
  return {
    running: [toRunning({}), SLOW, SILENT, NEARLY_DONE, NOT_STARTED],
    waiting: 0,
    finished: Array.from({ length: 8 }, () => TYPICAL),
    budgetTokens: 1000,
    ...parts,
  };
}

const QUEUED = toRunning({
  index: 5,
  sinceLastTokenMilliseconds: 150,
  generatingMilliseconds: 0,
  tokens: 0,
});

const VIEWS: Readonly<Record<string, TailView>> = {
  "stragglers at the end": toView({}),
  "samples are waiting": toView({ waiting: 1 }),
  "a sample is queued at a typical server": toView({ running: [SLOW, QUEUED] }),
  "a sample is queued at a slow server": toView({
    running: [SLOW, { ...QUEUED, server: SLOW.server }],
  }),
  "few finished runs": toView({ finished: [TYPICAL] }),
  "small budget": toView({ budgetTokens: 110 }),
  "budget of one token": toView({ budgetTokens: 1 }),
  "no budget": toView({ budgetTokens: 0 }),
  "second runs are active": toView({
    running: [{ ...SLOW, runs: 2 }, { ...SILENT, runs: 2 }],
  }),
};

test("tail policies select second runs", (t) => {
  const names: ReadonlyArray<TailPolicyName> = [
    "none",
    "hedgedTail",
    "resumedTail",
  ];
  const selections = Object.fromEntries(
    Object.entries(VIEWS).map(([title, view]) => [
      title,
      Object.fromEntries(
        names.map((name) => [
          name,
          TAIL_POLICIES[name](view).map((run) =>
            `${run.index}:${run.duplicateTokens}`
          )
            .join(" "),
        ]),
      ),
    ]),
  );
  t.snapshot(selections);
});

test("second runs never exceed the budget, and no sample gets a third run", (t) => {
  const running = fc.record({
    ageMilliseconds: fc.nat(10_000),
    sinceLastTokenMilliseconds: fc.nat(10_000),
    generatingMilliseconds: fc.nat(10_000),
    tokens: fc.nat(100),
    runs: fc.integer({ min: 1, max: 2 }),
  });
  fc.assert(
    fc.property(
      fc.array(running, { maxLength: 20 }),
      fc.nat(500),
      (parts, budgetTokens) => {
        const samples = parts.map((each, index) =>
          toRunning({ ...each, index })
        );
        for (const policy of Object.values(TAIL_POLICIES)) {
          const selected = policy(toView({ running: samples, budgetTokens }));
          const usedTokens = selected.reduce(
            (sum, run) => sum + run.duplicateTokens,
            0,
          );
          t.true(usedTokens <= budgetTokens);
          t.is(new Set(selected.map((run) => run.index)).size, selected.length);
          t.true(selected.every((run) => samples[run.index]?.runs === 1));
        }
      },
    ),
    { seed: 11, numRuns: 300 },
  );
});

test("the budget grows as a step approaches its deadline", (t) => {
  const base = { deadlineMilliseconds: 1000, isDeferrable: false };
  t.snapshot({
    "just started": getBudgetShare({
      ...base,
      elapsedMilliseconds: 10,
      finishedShare: 0,
    }),
    "well ahead of schedule": getBudgetShare({
      ...base,
      elapsedMilliseconds: 200,
      finishedShare: 0.8,
    }),
    "three quarters of the deadline": getBudgetShare({
      ...base,
      elapsedMilliseconds: 600,
      finishedShare: 0.8,
    }),
    "late": getBudgetShare({
      ...base,
      elapsedMilliseconds: 1200,
      finishedShare: 0.9,
    }),
    "deferrable": getBudgetShare({
      ...base,
      isDeferrable: true,
      elapsedMilliseconds: 1200,
      finishedShare: 0.9,
    }),
  });
});
