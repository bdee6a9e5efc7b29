import test from "ava";
import type { AdmissionPolicyName } from "../../source/admission/policies/policy_table.ts";
import { type Flood, runFlood } from "./flood_run.ts";

const SEED = 1;
const MINIMUM_MET_PERMILLE = 950;
const MINIMUM_OVERLOADED_MET_PERMILLE = 300;

for (const flood of ["one node", "all nodes"] as const) {
  test(`under a flood through ${flood}, the worst-served other organisation still meets its target`, async (t) => {
    const fair = await getWorstMetPermille("slackFair", flood);
    const perNode = await getWorstMetPermille("perNodeFair", flood);
    t.true(fair >= MINIMUM_MET_PERMILLE, `${fair} permille`);
    t.true(fair > perNode, `${fair} and ${perNode} permille`);
  });
}

test("with load at twice the capacity, each organisation still gets responses in time", async (t) => {
  const kept = await getWorstMetPermille("slackFair", "everybody");
  t.true(kept >= MINIMUM_OVERLOADED_MET_PERMILLE, `${kept} permille`);
});

async function getWorstMetPermille(
  policy: AdmissionPolicyName,
  flood: Flood,
): Promise<number> {
  const [, ...others] = await runFlood({
    policy,
    flood,
    callers: "one address",
    seed: SEED,
    seconds: 25,
    warmUpSeconds: 10,
    factDelayMilliseconds: 1000,
    reportMilliseconds: 1000,
  });
  return Math.min(
    ...others.map(({ metPermille }) => metPermille),
  );
}
