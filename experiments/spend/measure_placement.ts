import {
  drawRequests,
  PLACEMENT_POLICIES,
  type PlacementResult,
  runPlacement,
} from "./placement_run.ts";

const SEEDS = [1, 2, 3, 4, 5];
const COUNT = 2048;
const SCENARIOS: Readonly<Record<string, number>> = {
  "all at once": 0,
  "8 a second": 8,
  "11 a second": 11,
  "15 a second": 15,
};

console.log(`in-memory run, ${COUNT} requests, seeds ${SEEDS}`);
console.log("arrivals | policy | makespan s | mean wait s | p99 wait s");
for (const [scenario, perSecond] of Object.entries(SCENARIOS)) {
  for (const [name, policy] of Object.entries(PLACEMENT_POLICIES)) {
    const results = SEEDS.map((seed) =>
      runPlacement(drawRequests(seed, { count: COUNT, perSecond }), policy)
    );
    const mean = (pick: (result: PlacementResult) => number): string => {
      const sum = results.reduce((total, result) => total + pick(result), 0);
      return (sum / results.length).toFixed(2);
    };
    console.log([
      scenario,
      name,
      mean((result) => result.makespan),
      mean((result) => result.meanWait),
      mean((result) => result.p99Wait),
    ].join(" | "));
  }
}
