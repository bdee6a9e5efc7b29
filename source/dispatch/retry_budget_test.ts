import fc from "fast-check";
import test from "ava";
import { RetryBudget } from "./retry_budget.ts";

const SEED = 5;

test("retries never exceed what was saved and the share of first tries", (t) => {
  const step = fc.constantFrom("try", "retry");
  const steps = fc.array(step, { maxLength: 300 });
  fc.assert(
    fc.property(steps, (taken) => {
      const budget = new RetryBudget({ share: 0.2, maximumSaved: 3 });
      let tries = 0;
      let retries = 0;
      for (const each of taken) {
        if (each === "try") {
          budget.noteFirstTry("lookups");
          tries += 1;
        } else if (budget.takeRetry("lookups")) retries += 1;
      }
      return retries <= 3 + 0.2 * tries + 1e-9;
    }),
    { seed: SEED, numRuns: 300 },
  );
  t.pass();
});

test("a class cannot spend the budget of another", (t) => {
  const budget = new RetryBudget({ share: 0.1, maximumSaved: 1 });
  t.true(budget.takeRetry("lookups"));
  t.false(budget.takeRetry("lookups"));
  t.true(budget.takeRetry("reconciliation"));
});
