import test from "ava";
import fc from "fast-check";
import { FaultBudget } from "./fault_budget.ts";

const CASES: ReadonlyArray<{
  readonly title: string;
  readonly intervalMilliseconds: number;
  readonly faults: number;
  readonly endsAt: number | undefined;
}> = [
  {
    title: "a single error does not end the process",
    intervalMilliseconds: 0,
    faults: 1,
    endsAt: undefined,
  },
  {
    title: "an error every four seconds does not end the process",
    intervalMilliseconds: 4000,
    faults: 1000,
    endsAt: undefined,
  },
  {
    title: "a background task that fails twice a second ends the process",
    intervalMilliseconds: 500,
    faults: 1000,
    endsAt: 20,
  },
];

for (const { title, intervalMilliseconds, faults, endsAt } of CASES) {
  test(title, (t) => {
    const budget = new FaultBudget();
    const first = Array.from({ length: faults }, (_unused, index) => index + 1)
      .find((number) => !budget.record(number * intervalMilliseconds));
    t.is(first, endsAt);
  });
}

test("the process goes on exactly while fewer than 20 errors are within a minute", (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.nat({ max: 8000 }), { minLength: 1, maxLength: 120 }),
      (pauses) => {
        const budget = new FaultBudget();
        const times: number[] = [];
        let now = 0;
        for (const pause of pauses) {
          now += pause;
          times.push(now);
          const recent = times.filter((at) => now - at < 60_000).length;
          if (budget.record(now) !== recent < 20) return false;
        }
        return true;
      },
    ),
    { seed: 1 },
  );
  t.pass();
});
