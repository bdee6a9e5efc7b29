import { EVENT_CATALOGUE } from "../observability/event_catalogue.ts";
import type { EventDefinition } from "../observability/event_definition.ts";
import { formatSettingsTable } from "../settings/format_settings.ts";

/** Functions that format each generated page, by the page's path. */
export const GENERATED_PAGES: Readonly<Record<string, () => string>> = {
  "docs/EVENTS.md": formatEventsPage,
  "docs/SETTINGS.md": formatSettingsDocument,
};

function formatEventsPage(): string {
  const definitions: ReadonlyArray<readonly [string, EventDefinition]> = Object
    .entries(EVENT_CATALOGUE);
  const rows = [...definitions]
    .sort(([, left], [, right]) => left.number - right.number)
    .map(([name, event]) =>
      `| ${event.number} | \`${name}\` | ${event.level} | ${event.message} | ${
        event.fields.map((field) => `\`${field}\``).join(", ")
      } | ${event.action} |`
    );
  return [
    "# Log events",
    "",
    "Generated from the catalogue by `npm run pages`. Programs log one JSON object per",
    "line on the standard error stream. The number of an event is never reused.",
    "",
    "| number | event | level | meaning | fields | action |",
    "| --- | --- | --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}

function formatSettingsDocument(): string {
  return [
    "# Settings of a node",
    "",
    "Generated from the definitions by `npm run pages`. A flag takes precedence over an",
    "environment variable. With unknown, missing or contradictory settings, nothing starts.",
    "`snipepath-node --print-settings` shows the settings in force, with secrets hidden.",
    "",
    formatSettingsTable(),
    "",
  ].join("\n");
}
