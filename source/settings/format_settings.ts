import type { NodeSettings } from "../../generated/snipepath/v1/settings_pb.ts";
import { NODE_SETTING_DEFINITIONS } from "./node_setting_definitions.ts";
import {
  type SettingName,
  type SettingProblem,
  toEnvironmentVariable,
  toFlag,
} from "./setting_definition.ts";

const HIDDEN = "(hidden)";

/**
 * Formats the settings in force, one a line, with secrets hidden.
 * @param settings - The settings.
 */
export function formatSettings(settings: NodeSettings): string {
  return listNames().map((name) =>
    `--${toFlag(name)}=${shownValue(name, settings)}`
  ).join("\n");
}

/**
 * Formats all problems with the settings, one a line.
 * @param problems - The problems.
 */
export function formatProblems(
  problems: ReadonlyArray<SettingProblem>,
): string {
  return problems.map(({ setting, message }) =>
    setting in NODE_SETTING_DEFINITIONS
      ? `--${toFlag(setting)}: ${message}`
      : `${setting}: ${message}`
  ).join("\n");
}

/** Formats the page of all settings, as Markdown. */
export function formatSettingsPage(): string {
  const rows = listNames().map((name) => {
    const { description, fallback, choices, isSecret } =
      NODE_SETTING_DEFINITIONS[name];
    const values = choices === undefined ? "" : ` (${choices.join(", ")})`;
    const secret = isSecret === true ? " Secret." : "";
    const shown = fallback === undefined ? "required" : `\`${fallback}\``;
    return `| \`--${toFlag(name)}\` | \`${
      toEnvironmentVariable(name)
    }\` | ${shown} | ${description}${values}.${secret} |`;
  });
  return [
    "| flag | environment variable | default | meaning |",
    "| --- | --- | --- | --- |",
    ...rows,
  ].join("\n");
}

function listNames(): SettingName[] {
  return Object.keys(NODE_SETTING_DEFINITIONS) as SettingName[];
}

function shownValue(name: SettingName, settings: NodeSettings): string {
  const value = String(settings[name]);
  const isHidden = NODE_SETTING_DEFINITIONS[name].isSecret === true &&
    value !== "";
  return isHidden ? HIDDEN : value;
}
