import {
  binary,
  command,
  number,
  oneOf,
  option,
  optional,
  run,
  string,
} from "cmd-ts";
import { LAYOUTS } from "../deployment/layout.ts";
import { sumBilledRequests } from "./checks/control_checks.ts";
import { runSoak, type SoakResult } from "./run_soak.ts";

const SHOWN_VIOLATIONS = 8;
const DEFAULT_MINUTES = 3;
const DEFAULT_NODES = 5;

function printReport(result: SoakResult, seed: number): number {
  const { journal } = result.evidence;
  let total = 0;
  for (const [guarantee, violations] of Object.entries(result.violations)) {
    total += violations.length;
    console.log(`${violations.length === 0 ? "held" : "BROKEN"}: ${guarantee}`);
    for (const violation of violations.slice(0, SHOWN_VIOLATIONS)) {
      console.log(`    ${violation}`);
    }
    const more = violations.length - SHOWN_VIOLATIONS;
    if (more > 0) console.log(`    and ${more} more`);
  }
  const outcomes = { answered: 0, refused: 0, lost: 0 };
  for (const attempt of journal.attempts) outcomes[attempt.outcome.kind] += 1;
  const samples = journal.steps.reduce(
    (sum, step) => sum + step.result.samples.length,
    0,
  );
  const billed = [...sumBilledRequests(result.evidence).values()]
    .reduce((sum, requests) => sum + requests, 0);
  console.log(
    `${journal.faults.length} faults; attempts: ${JSON.stringify(outcomes)}; ` +
      `${journal.steps.length} steps, ${samples} samples; ${journal.withdrawals.length} withdrawals; ` +
      `${journal.revisions.length} revisions; ${result.evidence.orders.length} orders; ` +
      `${result.evidence.usageReports.length} usage reports, ${billed} requests billed`,
  );
  console.log(`soak: seed ${seed}, ${total} violations`);
  return total === 0 ? 0 : 1;
}

const program = command({
  name: "soak",
  description: "Run a deployment under random faults and check every guarantee",
  args: {
    seed: option({ long: "seed", type: number }),
    minutes: option({
      long: "minutes",
      type: number,
      defaultValue: () => DEFAULT_MINUTES,
    }),
    nodes: option({
      long: "nodes",
      type: number,
      defaultValue: () => DEFAULT_NODES,
    }),
    layout: option({
      long: "layout",
      type: oneOf(["atbr", "otjiwarongo"] as const),
      defaultValue: () => "atbr" as const,
    }),
    logs: option({
      long: "logs",
      type: optional(string),
      description: "Folder for the logs of all processes",
    }),
  },
  handler: async ({ seed, minutes, nodes, layout, logs }) => {
    const result = await runSoak({
      layout: LAYOUTS[layout],
      seed,
      durationMilliseconds: minutes * 60_000,
      nodes,
      log: (text) => console.log(text),
      ...(logs === undefined ? {} : { logFolder: logs }),
    });
    process.exit(printReport(result, seed));
  },
});

void run(binary(program), process.argv);
