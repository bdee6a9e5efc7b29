import { command, number, option, optional, run } from "cmd-ts";
import {
  ADMISSION_POLICIES,
  isAdmissionPolicyName,
} from "../../source/admission/policies/policy_table.ts";
import { type Callers, type Flood, runFlood } from "./flood_run.ts";
import type { OrganisationMeasure } from "./organisation_measure.ts";

const FLOODS: ReadonlyArray<Flood> = [
  "none",
  "one node",
  "all nodes",
  "everybody",
];
const CALLERS: ReadonlyArray<Callers> = ["spread", "one address"];
const DEFAULT_SECONDS = 40;
const WARM_UP_SECONDS = 10;
const DEFAULT_LAG_MILLISECONDS = 1000;

interface Row {
  readonly policy: string;
  readonly flood: Flood;
  readonly callers: Callers;
  readonly worst: OrganisationMeasure;
  readonly median: OrganisationMeasure;
  readonly flooding: OrganisationMeasure;
}

const compare = command({
  name: "compare",
  description: "Compare admission policies under floods of one organisation",
  args: {
    seed: option({ long: "seed", type: number }),
    seconds: option({ long: "seconds", type: optional(number) }),
    factDelayMilliseconds: option({ long: "told", type: optional(number) }),
    reportMilliseconds: option({ long: "report", type: optional(number) }),
  },
  handler: async (
    { seed, seconds, factDelayMilliseconds, reportMilliseconds },
  ) => {
    console.log(
      "policy       flood      callers      worst kept  worst p99  median kept  median p99  flooding kept",
    );
    for (const callers of CALLERS) {
      for (const flood of FLOODS) {
        for (const policy of Object.keys(ADMISSION_POLICIES)) {
          if (!isAdmissionPolicyName(policy)) continue;
          const measures = await runFlood({
            policy,
            flood,
            callers,
            seed,
            seconds: seconds ?? DEFAULT_SECONDS,
            warmUpSeconds: WARM_UP_SECONDS,
            factDelayMilliseconds: factDelayMilliseconds ??
              DEFAULT_LAG_MILLISECONDS,
            reportMilliseconds: reportMilliseconds ?? DEFAULT_LAG_MILLISECONDS,
          });
          console.log(formatRow({ policy, flood, callers, ...rank(measures) }));
        }
      }
    }
  },
});

function rank(
  measures: ReadonlyArray<OrganisationMeasure>,
): Pick<Row, "worst" | "median" | "flooding"> {
  const [flooding, ...others] = measures;
  const ordered = [...others].sort((left, right) =>
    left.metPermille - right.metPermille || right.p99 - left.p99
  );
  const worst = ordered[0];
  const median = ordered[Math.floor(ordered.length / 2)];
  if (flooding === undefined || worst === undefined || median === undefined) {
    throw new Error("No organisation was measured");
  }
  return { worst, median, flooding };
}

function formatRow(row: Row): string {
  const { worst, median, flooding } = row;
  return [
    row.policy.padEnd(12),
    row.flood.padEnd(10),
    row.callers.padEnd(12),
    formatShare(worst.metPermille).padStart(10),
    `${worst.p99} ms`.padStart(10),
    formatShare(median.metPermille).padStart(12),
    `${median.p99} ms`.padStart(11),
    formatShare(flooding.metPermille).padStart(14),
  ].join(" ");
}

function formatShare(permille: number): string {
  return `${(permille / 10).toFixed(1)} %`;
}

await run(compare, process.argv.slice(2));
