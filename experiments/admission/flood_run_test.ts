import test from "ava";
import type { AdmissionPolicyName } from "../../source/admission/policies/policy_table.ts";
import { type Flood, runFlood } from "./flood_run.ts";

const SEED = 1;
const LEAST_KEPT_PERMILLE = 950;
const LEAST_KEPT_OVERLOADED_PERMILLE = 300;

for (const flood of ["one node", "all nodes"] as const) {
  test(`a flood through ${flood} leaves the worst-served other organisation its target`, async (t) => {
    const fair = await worstKept("slackFair", flood);
    const perNode = await worstKept("perNodeFair", flood);
    t.true(fair >= LEAST_KEPT_PERMILLE, `${fair} permille`);
    t.true(fair > perNode, `${fair} and ${perNode} permille`);
  });
}

test("twice the capacity asked by everybody still serves each organisation in time", async (t) => {
  const kept = await worstKept("slackFair", "everybody");
  t.true(kept >= LEAST_KEPT_OVERLOADED_PERMILLE, `${kept} permille`);
});

async function worstKept(
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
    toldMilliseconds: 1000,
    reportMilliseconds: 1000,
  });
  return Math.min(...others.map(({ keptPermille }) => keptPermille));
}
