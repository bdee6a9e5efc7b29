// Writes the documentation pages that are generated from the built code.
import { writeFileSync } from "node:fs";
import { GENERATED_PAGES } from "../build/source/pages/generated_pages.js";

for (const [path, format] of Object.entries(GENERATED_PAGES)) {
  writeFileSync(path, format());
}
