import { create } from "@bufbuild/protobuf";
import {
  type NodeSettings,
  NodeSettingsSchema,
} from "../../generated/snipepath/v1/settings_pb.ts";
import { findContradictions } from "./find_contradictions.ts";
import { NODE_SETTING_DEFINITIONS } from "./node_setting_definitions.ts";
import { parseSetting } from "./parse_setting.ts";
import {
  type SettingName,
  type SettingProblem,
  toEnvironmentVariable,
  toFlag,
} from "./setting_definition.ts";

/** Sources of settings. A flag takes precedence over an environment variable. */
export interface SettingSources {
  readonly flags: Readonly<Partial<Record<SettingName, string>>>;
  readonly environment: Readonly<Record<string, string | undefined>>;
}

/** Settings, or problems with them. */
export type SettingsOutcome =
  | { readonly kind: "ok"; readonly settings: NodeSettings }
  | {
    readonly kind: "invalid";
    readonly problems: ReadonlyArray<SettingProblem>;
  };

const ENVIRONMENT_PREFIX = "SNIPEPATH_";
const OPERATOR_ENVIRONMENT_PREFIX = "SNIPEPATH_OPERATOR_";
const SETTING_NAMES = Object.keys(NODE_SETTING_DEFINITIONS) as SettingName[];

/**
 * Reads and checks the settings of a node.
 * @param sources - Flags and environment variables.
 * @returns The settings, or all problems with single settings, or, if there are none, all
 * contradictions between settings.
 * @example
 * ```ts
 * const outcome = readNodeSettings({ flags: {}, environment: process.env });
 * ```
 */
export function readNodeSettings(sources: SettingSources): SettingsOutcome {
  const problems: SettingProblem[] = [...findUnknownVariables(sources)];
  const values: Record<string, unknown> = {};
  for (const name of SETTING_NAMES) {
    const outcome = readSetting(name, sources);
    if (outcome.kind === "ok") values[name] = outcome.value;
    else problems.push({ setting: name, message: outcome.message });
  }
  if (problems.length > 0) return { kind: "invalid", problems };
  const settings = create(NodeSettingsSchema, values);
  const contradictions = findContradictions(settings);
  if (contradictions.length > 0) {
    return { kind: "invalid", problems: contradictions };
  }
  return { kind: "ok", settings };
}

function readSetting(
  name: SettingName,
  sources: SettingSources,
): ReturnType<typeof parseSetting> {
  const definition = NODE_SETTING_DEFINITIONS[name];
  const text = sources.flags[name] ??
    sources.environment[toEnvironmentVariable(name)] ?? definition.defaultText;
  if (text === undefined) {
    return {
      kind: "invalid",
      message: `Missing; give --${toFlag(name)} or ${
        toEnvironmentVariable(name)
      }`,
    };
  }
  return parseSetting(text, definition);
}

function findUnknownVariables(sources: SettingSources): SettingProblem[] {
  const known = new Set(SETTING_NAMES.map(toEnvironmentVariable));
  return Object.keys(sources.environment)
    .filter((name) => name.startsWith(ENVIRONMENT_PREFIX))
    .filter((name) => !name.startsWith(OPERATOR_ENVIRONMENT_PREFIX))
    .filter((name) => !known.has(name))
    .map((name) => ({
      setting: name as SettingName,
      message: "Unknown environment variable",
    }));
}
