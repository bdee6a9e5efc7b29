import {
  binary,
  command,
  flag,
  option,
  optional,
  runSafely,
  string,
  type Type,
} from "cmd-ts";
import { NODE_SETTING_DEFINITIONS } from "../settings/node_setting_definitions.ts";
import { readNodeSettings } from "../settings/read_node_settings.ts";
import { formatProblems, formatSettings } from "../settings/format_settings.ts";
import {
  type SettingName,
  toEnvironmentVariable,
  toFlag,
} from "../settings/setting_definition.ts";
import { runNode } from "../node/run_node.ts";
import { VERSION } from "../utilities/version.ts";

const USAGE_EXIT_STATUS = 2;

type SettingFlags = Partial<Record<SettingName, string>>;

type SettingOption = ReturnType<
  typeof option<Type<string, string | undefined>>
>;

function createSettingOption(name: SettingName): SettingOption {
  const definition = NODE_SETTING_DEFINITIONS[name];
  const fallback = definition.defaultText === undefined
    ? "required"
    : `default: ${definition.defaultText || "empty"}`;
  return option({
    long: toFlag(name),
    type: optional(string),
    description: `${definition.description} [env: ${
      toEnvironmentVariable(name)
    }] [${fallback}]`,
  });
}

const SETTING_OPTIONS = Object.fromEntries(
  (Object.keys(NODE_SETTING_DEFINITIONS) as SettingName[])
    .map((name) => [name, createSettingOption(name)]),
);

const program = command({
  name: "snipepath-node",
  description: "Serve callers, trainers and peers",
  version: VERSION,
  args: {
    ...SETTING_OPTIONS,
    printSettings: flag({
      long: "print-settings",
      description: "Print the settings in force, with secrets hidden, and exit",
    }),
  },
  handler: async ({ printSettings, ...flags }) => {
    const outcome = readNodeSettings({
      flags: flags as SettingFlags,
      environment: process.env,
    });
    if (outcome.kind === "invalid") {
      process.stderr.write(formatProblems(outcome.problems) + "\n");
      process.exitCode = USAGE_EXIT_STATUS;
    } else if (printSettings) {
      process.stdout.write(formatSettings(outcome.settings) + "\n");
    } else process.exitCode = await runNode(outcome.settings);
  },
});

async function main(): Promise<void> {
  const outcome = await runSafely(binary(program), process.argv);
  if (outcome._tag === "ok") return;
  const { message, exitCode, into } = outcome.error.config;
  process[into].write(message + "\n");
  process.exitCode = exitCode === 0 ? 0 : USAGE_EXIT_STATUS;
}

void main();
