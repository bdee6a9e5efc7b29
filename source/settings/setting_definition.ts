import type { NodeSettings } from "../../generated/snipepath/v1/settings_pb.ts";

/** Name of a setting, as the schema has it in camel case. */
export type SettingName = Exclude<
  keyof NodeSettings,
  "$typeName" | "$unknown"
>;

/** Kind of value that a setting takes. */
export type SettingKind =
  | "text"
  | "address"
  | "optionalAddress"
  | "url"
  | "milliseconds"
  | "count"
  | "boolean"
  | "choice";

/** Describes one setting. */
export interface SettingDefinition {
  readonly kind: SettingKind;
  readonly description: string;
  /** Value when neither flag nor environment variable is given; undefined demands one. */
  readonly fallback: string | undefined;
  readonly isSecret?: boolean;
  /** Values that a choice takes. */
  readonly choices?: ReadonlyArray<string>;
  readonly minimum?: number;
  readonly maximum?: number;
}

/** Tells what is wrong with a setting. */
export interface SettingProblem {
  readonly setting: SettingName;
  readonly message: string;
}

/**
 * Returns the flag of a setting.
 * @param name - The setting's name.
 * @example
 * ```ts
 * toFlag("callerAddress"); // "caller-address"
 * ```
 */
export function toFlag(name: SettingName): string {
  return name.replaceAll(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

/**
 * Returns the environment variable of a setting.
 * @param name - The setting's name.
 * @example
 * ```ts
 * toEnvironmentVariable("callerAddress"); // "SNIPEPATH_CALLER_ADDRESS"
 * ```
 */
export function toEnvironmentVariable(name: SettingName): string {
  return `SNIPEPATH_${toFlag(name).replaceAll("-", "_").toUpperCase()}`;
}
