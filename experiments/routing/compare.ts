import { command, number, option, run, string } from "cmd-ts";
import { build } from "hdr-histogram-js";
import { DEFAULT_RETRY_BUDGET } from "../../source/decisions/retry_budget.ts";
import type { RoutingPolicyName } from "../../source/routing/routing_policy.ts";
import type { DispatcherResult } from "./messages.ts";
import { SCENARIOS } from "./scenarios.ts";
import { runTrial } from "./trial.ts";

const POLICIES: ReadonlyArray<RoutingPolicyName> = [
  "roundRobin",
  "leastOutstanding",
  "rendezvous",
  "expectedFinish",
];
const MILLISECONDS_PER_SECOND = 1_000;

const compare = command({
  name: "compare",
  description: "Compare routing policies under one scenario",
  args: {
    seed: option({ type: number, long: "seed", defaultValue: () => 1 }),
    scenario: option({
      type: string,
      long: "scenario",
      defaultValue: () => "lag500",
      description: Object.keys(SCENARIOS).join(", "),
    }),
    rate: option({ type: number, long: "rate", defaultValue: () => 45 }),
    seconds: option({ type: number, long: "seconds", defaultValue: () => 12 }),
    policies: option({
      type: string,
      long: "policies",
      defaultValue: () => POLICIES.join(","),
    }),
  },
  handler: async ({ seed, scenario, rate, seconds, policies }) => {
    const conditions = SCENARIOS[scenario];
    if (conditions === undefined) {
      throw new Error(`Unknown scenario ${scenario}`);
    }
    console.log(`${scenario}, seed ${seed}, ${rate} requests a second`);
    console.log(
      "policy            p50    p99  in time  cached  refusals",
    );
    for (const policy of policies.split(",") as RoutingPolicyName[]) {
      const result = await runTrial({
        policy,
        seed,
        ...conditions,
        retryBudget: DEFAULT_RETRY_BUDGET,
        load: {
          requestsPerSecond: rate,
          durationMilliseconds: seconds * MILLISECONDS_PER_SECOND,
          warmupMilliseconds: 3_000,
          deadlineMilliseconds: 5_000,
          organisations: 8,
          sharedPromptCharacters: 2_400,
          minimumTokens: 32,
          maximumTokens: 96,
        },
      });
      console.log(toRow(policy, result));
    }
  },
});

function toRow(policy: string, result: DispatcherResult): string {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const latency of result.latencies) histogram.recordValue(latency);
  const p50 = histogram.getValueAtPercentile(50);
  const p99 = histogram.getValueAtPercentile(99);
  const inTime = 100 * result.inTime / result.arrived;
  const cached = 100 * result.cachedTokens / result.promptTokens;
  return [
    policy.padEnd(16),
    String(p50).padStart(5),
    String(p99).padStart(6),
    `${inTime.toFixed(1)}%`.padStart(8),
    `${cached.toFixed(0)}%`.padStart(7),
    ` ${JSON.stringify(result.refusals)}`,
  ].join(" ");
}

void run(compare, process.argv.slice(2));
