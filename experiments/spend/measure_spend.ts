import {
  SPEND_POLICIES,
  type SpendPolicyName,
} from "../../source/control/spend_planner.ts";
import { generateMarket, type MarketOptions } from "./spend_market.ts";
import { SpendSimulation } from "./spend_simulation.ts";

const DAYS = 3;
const DEFAULT_SEEDS = [1, 2, 3];

const SCENARIOS: Readonly<Record<string, Omit<MarketOptions, "seed">>> = {
  calm: {
    days: DAYS,
    reclaimsPerDay: 0,
    droughtsPerDay: 0,
    outagesPerDay: 0,
    outageWithReclaimShare: 0,
  },
  reclaims: {
    days: DAYS,
    reclaimsPerDay: 3,
    droughtsPerDay: 0,
    outagesPerDay: 0,
    outageWithReclaimShare: 0,
  },
  "reclaims, platform away": {
    days: DAYS,
    reclaimsPerDay: 3,
    droughtsPerDay: 0,
    outagesPerDay: 2,
    outageWithReclaimShare: 1,
  },
  "reclaims, no cheap server for a while": {
    days: DAYS,
    reclaimsPerDay: 3,
    droughtsPerDay: 2,
    outagesPerDay: 2,
    outageWithReclaimShare: 0.3,
  },
};

const seeds = process.argv.slice(2).map(Number);
const usedSeeds = seeds.length > 0 ? seeds : DEFAULT_SEEDS;
console.log(`in-memory run of the planner, ${DAYS} days, seeds ${usedSeeds}`);
console.log(
  "scenario | policy | cost an hour (steady servers) | requests met | time short | work on cheap | reclaimed",
);
for (const [scenario, options] of Object.entries(SCENARIOS)) {
  for (const name of Object.keys(SPEND_POLICIES) as SpendPolicyName[]) {
    const results = usedSeeds.map((seed) =>
      new SpendSimulation(SPEND_POLICIES[name]).run(
        generateMarket({ ...options, seed }),
      )
    );
    const mean = (pick: (result: typeof results[number]) => number): number =>
      results.reduce((sum, result) => sum + pick(result), 0) / results.length;
    console.log([
      scenario,
      name,
      mean((result) => result.costPerHour).toFixed(2),
      `${(100 * mean((result) => result.metShare)).toFixed(3)}%`,
      `${(100 * mean((result) => result.shortTimeShare)).toFixed(3)}%`,
      `${(100 * mean((result) => result.cheapShare)).toFixed(1)}%`,
      mean((result) => result.reclaimed).toFixed(0),
    ].join(" | "));
  }
}
