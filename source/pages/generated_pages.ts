import { EVENT_CATALOGUE } from "../observability/event_catalogue.ts";
import type { EventDefinition } from "../observability/event_definition.ts";
import { formatSettingsPage } from "../settings/format_settings.ts";

/** Text of each page that is generated, by its path. */
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
    "Generated from the catalogue by `npm run pages`. Programs log one JSON object a",
    "line on the standard error stream. A number is never used for another event.",
    "",
    "| number | event | level | meaning | fields | what to do |",
    "| --- | --- | --- | --- | --- | --- |",
    ...rows,
    "",
  ].join("\n");
}

function formatSettingsDocument(): string {
  return [
    "# Settings of a node",
    "",
    "Generated from the definitions by `npm run pages`. A flag goes before an environment",
    "variable. Unknown, missing or contradictory settings stop the start.",
    "`snipepath-node --print-settings` shows those in force, with secrets hidden.",
    "",
    formatSettingsPage(),
    "",
  ].join("\n");
}
