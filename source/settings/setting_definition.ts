import type { NodeSettings } from "../../generated/snipepath/v1/settings_pb.ts";

/** Name of a setting, which is the name of a field of `NodeSettings` in camel case. */
export type SettingName = Exclude<
  keyof NodeSettings,
  "$typeName" | "$unknown"
>;

/**
 * Kind of value that a setting takes. `address`: HOST:PORT. `optionalAddress`: HOST:PORT, or an
 * empty text for none. `url`: http://HOST:PORT, or the same with https. `milliseconds` and `count`:
 * a whole number from `minimum` to `maximum`. `choice`: one of `choices`.
 */
export type SettingKind =
  | "text"
  | "address"
  | "optionalAddress"
  | "url"
  | "milliseconds"
  | "count"
  | "boolean"
  | "choice";

/** Definition of a setting. */
export interface SettingDefinition {
  readonly kind: SettingKind;
  readonly description: string;
  /** Text used without a flag or environment variable; undefined if the setting is required. */
  readonly defaultText: string | undefined;
  readonly isSecret?: boolean;
  /** Accepted values of a setting of kind `choice`. */
  readonly choices?: ReadonlyArray<string>;
  /** Lowest accepted number; 0 when absent. */
  readonly minimum?: number;
  /** Highest accepted number; not limited when absent. */
  readonly maximum?: number;
}

/** Problem with a setting. */
export interface SettingProblem {
  readonly setting: SettingName;
  readonly message: string;
}

/**
 * Returns the name of a setting's flag, without the leading hyphens.
 * @param name - Name of the setting.
 * @example
 * ```ts
 * toFlag("callerAddress"); // "caller-address"
 * ```
 */
export function toFlag(name: SettingName): string {
  return name.replaceAll(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

/**
 * Returns the name of a setting's environment variable.
 * @param name - Name of the setting.
 * @example
 * ```ts
 * toEnvironmentVariable("callerAddress"); // "SNIPEPATH_CALLER_ADDRESS"
 * ```
 */
export function toEnvironmentVariable(name: SettingName): string {
  return `SNIPEPATH_${toFlag(name).replaceAll("-", "_").toUpperCase()}`;
}
