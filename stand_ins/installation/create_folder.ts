import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/**
 * Creates a temporary folder with files.
 * @param files - Content by file name; what is not a text is written as JSON.
 * @returns Path of the folder.
 * @example
 * ```ts
 * const folder = createFolder({ "settings.json": settings });
 * ```
 */
export function createFolder(files: Readonly<Record<string, unknown>>): string {
  const folder = mkdtempSync(join(tmpdir(), "snipepath-check-"));
  for (const [name, content] of Object.entries(files)) {
    const text = typeof content === "string"
      ? content
      : JSON.stringify(content);
    writeFileSync(join(folder, name), text);
  }
  return folder;
}
