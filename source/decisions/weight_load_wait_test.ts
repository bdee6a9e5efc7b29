import test from "ava";
import { WeightLoadModel } from "../../stand_ins/decisions/weight_load_model.ts";
import {
  decideWeightLoadWait,
  type WeightLoad,
  type WeightLoadDecision,
  WeightLoadDurations,
} from "./weight_load_wait.ts";

const SEED = 11;

const LOAD: WeightLoad = {
  orderedAt: 1000,
  startsAt: 1000,
  loadingShare: 0.2,
  refusals: 0,
  refusedAt: 0,
  isProbed: false,
};

const CASES: ReadonlyArray<{
  readonly title: string;
  readonly load?: Partial<WeightLoad>;
  readonly isScarce?: boolean;
  readonly now: number;
  readonly decision: WeightLoadDecision;
}> = [
  {
    title: "waits for the expected end",
    now: 1899,
    decision: { kind: "wait", until: 1900 },
  },
  {
    title: "gets a probe from the expected end on",
    now: 1900,
    decision: { kind: "probe" },
  },
  {
    title: "gets one probe at a time",
    load: { isProbed: true },
    now: 1950,
    decision: { kind: "wait", until: 5000 },
  },
  {
    title: "gets the next probe after a pause",
    load: { refusals: 1, refusedAt: 1910 },
    now: 1920,
    decision: { kind: "wait", until: 1970 },
  },
  {
    title: "pauses at most 250 ms between two probes",
    load: { refusals: 9, refusedAt: 2910 },
    now: 2920,
    decision: { kind: "wait", until: 3160 },
  },
  {
    title: "gets an early probe while no other engine is free",
    isScarce: true,
    now: 1720,
    decision: { kind: "probe" },
  },
  {
    title: "gets no earlier probe even while no other engine is free",
    isScarce: true,
    now: 1700,
    decision: { kind: "wait", until: 1720 },
  },
  {
    title: "waits for the runs that it finishes first",
    load: { startsAt: Infinity },
    now: 2500,
    decision: { kind: "wait", until: 5000 },
  },
  {
    title: "is used again when the order seems to be lost",
    load: { startsAt: Infinity, refusals: 9, refusedAt: 4990 },
    now: 5000,
    decision: { kind: "open" },
  },
];

for (const { title, load, isScarce, now, decision } of CASES) {
  test(`an engine with an ordered load ${title}`, (t) => {
    t.deepEqual(
      decideWeightLoadWait({ ...LOAD, ...load }, {
        now,
        expectedMilliseconds: 900,
        isScarce: isScarce ?? false,
      }),
      decision,
    );
  });
}

test("the expected duration follows the loads that were seen, by the share that loads at once", (t) => {
  const durations = new WeightLoadDurations();
  t.is(durations.expect(0.2), 900);
  for (let load = 0; load < 20; load += 1) {
    durations.record({ loadingShare: 0.2, milliseconds: 600 });
    durations.record({ loadingShare: 0.4, milliseconds: 1500 });
  }
  t.true(Math.abs(durations.expect(0.2) - 600) < 10);
  t.true(Math.abs(durations.expect(0.4) - 1500) < 10);
  t.is(durations.expect(1), 900);
  for (let load = 0; load < 99; load += 1) {
    durations.record({ loadingShare: 1, milliseconds: 60_000 });
  }
  t.true(durations.expect(1) <= 2000, "a lost order keeps no engine unused");
});

// Guards against engines that get requests during a load, which was the cause of 98 % of the
// refusals, and against waits that are longer than those of the rule before.
test("engines that load weights get few requests, and samples wait no longer", (t) => {
  const results = Object.fromEntries(
    ([
      ["usual loads", {}],
      ["a node that learns of the loads 500 ms late", { isOwnOrder: false }],
      ["longer loads", { loadMilliseconds: 1500 }],
      ["shorter loads", { loadMilliseconds: 500 }],
      ["every fourth order lost", { lostShare: 0.25 }],
      ["every fourth order applied 3 s late", { lateShare: 0.25 }],
      ["no run that reports the end of a load", { isEndReported: false }],
      ["few samples", { samplesPerSecond: 6 }],
    ] as const).map(([title, options]) => {
      const before = new WeightLoadModel({ ...options, seed: SEED }).run(
        "before",
      );
      const now = new WeightLoadModel({ ...options, seed: SEED }).run("now");
      return [title, { before, now }];
    }),
  );
  t.snapshot(results);
  for (const [title, { before, now }] of Object.entries(results)) {
    t.true(now.refusedShare < 0.1, `${title}: ${now.refusedShare}`);
    t.true(now.refusedShare <= before.refusedShare, title);
    t.true(
      now.meanWaitMilliseconds <= before.meanWaitMilliseconds,
      `${title}: ${now.meanWaitMilliseconds} ${before.meanWaitMilliseconds}`,
    );
  }
});
