import test from "ava";
import { LAYOUTS } from "../deployment/layout.ts";
import { runSoak } from "./run_soak.ts";

const SEEDS: ReadonlyArray<number> = [101, 102, 103];
const DURATION_MILLISECONDS = 10_000;
const LIMIT_MILLISECONDS = 240_000;

for (const seed of SEEDS) {
  test.serial(`real processes under random faults: seed ${seed}`, async (t) => {
    t.timeout(LIMIT_MILLISECONDS);
    const { violations, evidence } = await runSoak({
      layout: LAYOUTS.atbr,
      seed,
      durationMilliseconds: DURATION_MILLISECONDS,
      nodes: 3,
      log: (text) => t.log(text),
    });
    t.true(evidence.journal.attempts.length > 0);
    t.true(evidence.journal.steps.length > 0);
    for (const [guarantee, found] of Object.entries(violations)) {
      t.deepEqual(found, [], guarantee);
    }
  });
}
