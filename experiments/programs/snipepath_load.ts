import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import {
  array,
  binary,
  command,
  flag,
  multioption,
  number,
  option,
  optional,
  positional,
  run,
  string,
  subcommands,
} from "cmd-ts";
import {
  formatJson,
  formatTable,
} from "../../source/command/command_output.ts";
import { formatResult } from "../load/format_result.ts";
import { measureOverhead } from "../load/node_overhead.ts";
import { createReportPage } from "../load/report_page.ts";
import { runScenario } from "../load/run_scenario.ts";
import { SCENARIOS } from "../load/scenarios.ts";

const USAGE_EXIT_STATUS = 2;

const list = command({
  name: "list",
  description: "List the scenarios",
  args: {},
  handler: () => {
    const rows = Object.entries(SCENARIOS).map(([name, scenario]) => [
      name,
      scenario.layout,
      String(scenario.nodes),
      scenario.description,
    ]);
    console.log(
      formatTable(["scenario", "deployment", "nodes", "what happens"], rows),
    );
  },
});

const runCommand = command({
  name: "run",
  description: "Run a scenario and print its measurements",
  args: {
    name: positional({ type: string, displayName: "NAME" }),
    seed: option({ long: "seed", type: number, defaultValue: () => 1 }),
    policies: multioption({
      long: "policy",
      type: array(string),
      description:
        "Policy of the nodes, such as routing=roundRobin, admission=fifo, step-tail=none; may be repeated",
    }),
    json: flag({ long: "json", description: "Print the measurements as JSON" }),
    report: option({
      long: "report",
      type: optional(string),
      description: "Folder for an HTML report with plots",
    }),
    logs: option({ long: "logs", type: optional(string) }),
  },
  handler: async (given) => {
    const scenario = SCENARIOS[given.name];
    if (scenario === undefined) {
      console.error(
        `Unknown scenario "${given.name}"; the scenarios are ${
          Object.keys(SCENARIOS).join(", ")
        }`,
      );
      process.exitCode = USAGE_EXIT_STATUS;
      return;
    }
    const result = await runScenario({
      scenario,
      seed: given.seed,
      nodeFlags: given.policies.map((policy) =>
        `--${policy.replace("=", "-policy=")}`
      ),
      ...(given.logs === undefined ? {} : { logFolder: given.logs }),
    });
    const title = [given.name, `seed ${given.seed}`, ...given.policies]
      .join(", ");
    const text = formatResult(title, result);
    const { measures, condition, isConditionRight } = result;
    console.log(
      given.json
        ? formatJson({ title, measures, condition, isConditionRight })
        : text,
    );
    if (given.report !== undefined) {
      mkdirSync(given.report, { recursive: true });
      const path = join(given.report, `${given.name}-${given.seed}.html`);
      writeFileSync(path, await createReportPage(title, { result, text }));
      console.log(`Report: ${path}`);
    }
    process.exit(0);
  },
});

const overhead = command({
  name: "overhead",
  description:
    "Measure the latency that one node adds to calls, and its throughput",
  args: {
    seconds: option({ long: "seconds", type: number, defaultValue: () => 10 }),
  },
  handler: async ({ seconds }) => {
    console.log(await measureOverhead(seconds));
    process.exit(0);
  },
});

const program = subcommands({
  name: "snipepath-load",
  description:
    "Run load against a deployment on loopback and measure its performance",
  cmds: { list, run: runCommand, overhead },
});

void run(binary(program), process.argv);
