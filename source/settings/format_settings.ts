import type { NodeSettings } from "../../generated/snipepath/v1/settings_pb.ts";
import { NODE_SETTING_DEFINITIONS } from "./node_setting_definitions.ts";
import {
  type SettingName,
  type SettingProblem,
  toEnvironmentVariable,
  toFlag,
} from "./setting_definition.ts";

const HIDDEN_VALUE = "(hidden)";

/**
 * Formats settings as flags, one a line, with secrets hidden.
 * @param settings - Settings to format.
 */
export function formatSettings(settings: NodeSettings): string {
  return listNames().map((name) =>
    `--${toFlag(name)}=${formatValue(name, settings)}`
  ).join("\n");
}

/**
 * Formats problems with settings, one a line.
 * @param problems - Problems to format.
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

/** Formats a Markdown table of all settings. */
export function formatSettingsTable(): string {
  const rows = listNames().map((name) => {
    const { description, defaultText, choices, isSecret } =
      NODE_SETTING_DEFINITIONS[name];
    const values = choices === undefined ? "" : ` (${choices.join(", ")})`;
    const secret = isSecret === true ? " Secret." : "";
    const shownDefault = defaultText === undefined
      ? "required"
      : `\`${defaultText}\``;
    return `| \`--${toFlag(name)}\` | \`${
      toEnvironmentVariable(name)
    }\` | ${shownDefault} | ${description}${values}.${secret} |`;
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

function formatValue(name: SettingName, settings: NodeSettings): string {
  const value = String(settings[name]);
  const isHidden = NODE_SETTING_DEFINITIONS[name].isSecret === true &&
    value !== "";
  return isHidden ? HIDDEN_VALUE : value;
}
