import { readFileSync } from "node:fs";
import test from "ava";
import { EVENT_CATALOGUE } from "../observability/event_catalogue.ts";
import { GENERATED_PAGES } from "./generated_pages.ts";

for (const [path, format] of Object.entries(GENERATED_PAGES)) {
  test(`${path} is current`, (t) => {
    t.is(readFileSync(path, "utf8"), format(), "Run `npm run pages`");
  });
}

test("event numbers are unique", (t) => {
  const numbers = Object.values(EVENT_CATALOGUE).map((event) => event.number);
  t.is(new Set(numbers).size, numbers.length);
});
