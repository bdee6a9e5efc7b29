import type { SettingDefinition, SettingKind } from "./setting_definition.ts";

/** Value of a setting, or the reason why its text is invalid. */
export type ParsedSetting =
  | { readonly kind: "ok"; readonly value: string | number | bigint | boolean }
  | { readonly kind: "invalid"; readonly message: string };

type Parser = (text: string, definition: SettingDefinition) => ParsedSetting;

const HIGHEST_PORT = 65_535;

const PARSERS: Readonly<Record<SettingKind, Parser>> = {
  text: (text) => ok(text),
  address: parseAddress,
  optionalAddress: (text) => text === "" ? ok(text) : parseAddress(text),
  url: parseUrl,
  milliseconds: parseWholeNumber,
  count: parseWholeNumber,
  boolean: parseBoolean,
  choice: parseChoice,
};

/**
 * Parses the text of a setting.
 * @param text - Text of the flag or environment variable.
 * @param definition - Definition of the setting.
 * @example
 * ```ts
 * parseSetting("250", { kind: "milliseconds", description: "", defaultText: "1" });
 * ```
 */
export function parseSetting(
  text: string,
  definition: SettingDefinition,
): ParsedSetting {
  return PARSERS[definition.kind](text, definition);
}

function ok(value: string | number | boolean): ParsedSetting {
  return { kind: "ok", value };
}

function invalid(message: string): ParsedSetting {
  return { kind: "invalid", message };
}

function parseAddress(text: string): ParsedSetting {
  const match = /^([^:\s/]+|\[[0-9a-fA-F:]+\]):(\d{1,5})$/.exec(text);
  if (match === null || Number(match[2]) > HIGHEST_PORT) {
    return invalid(`"${text}" is not HOST:PORT`);
  }
  return ok(text);
}

function parseUrl(text: string): ParsedSetting {
  const url = URL.canParse(text) ? new URL(text) : undefined;
  const isHttp = url?.protocol === "http:" || url?.protocol === "https:";
  if (!isHttp) return invalid(`"${text}" is not http://HOST:PORT`);
  return ok(text.replace(/\/$/, ""));
}

function parseWholeNumber(
  text: string,
  definition: SettingDefinition,
): ParsedSetting {
  const minimum = definition.minimum ?? 0;
  const maximum = definition.maximum ?? Number.MAX_SAFE_INTEGER;
  const value = /^\d+$/.test(text) ? Number(text) : Number.NaN;
  if (!(value >= minimum && value <= maximum)) {
    return invalid(
      `"${text}" is not a whole number from ${minimum} to ${maximum}`,
    );
  }
  return ok(value);
}

function parseBoolean(text: string): ParsedSetting {
  if (text === "true") return ok(true);
  if (text === "false") return ok(false);
  return invalid(`"${text}" is neither "true" nor "false"`);
}

function parseChoice(
  text: string,
  definition: SettingDefinition,
): ParsedSetting {
  const choices = definition.choices ?? [];
  if (choices.includes(text)) return ok(text);
  return invalid(`"${text}" is not one of ${choices.join(", ")}`);
}
