// deno-lint-ignore-file explicit-function-return-type
// Checks that the committed generated code is what `buf generate` writes from the schema.
import { spawnSync } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

function listFiles(root) {
  return readdirSync(root, { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile())
    .map((entry) => join(entry.parentPath ?? entry.path, entry.name))
    .map((path) => path.slice(root.length + 1))
    .sort();
}

const outputFolder = mkdtempSync(join(tmpdir(), "snipepath-generated-"));
try {
  const result = spawnSync(
    "npx",
    ["buf", "generate", "--output", outputFolder],
    {
      encoding: "utf8",
    },
  );
  if (result.status !== 0) throw new Error(result.stderr);
  const generated = listFiles(join(outputFolder, "generated"));
  const committed = listFiles("generated");
  const different = generated.filter((path) =>
    !committed.includes(path) ||
    readFileSync(join(outputFolder, "generated", path), "utf8") !==
      readFileSync(join("generated", path), "utf8")
  ).concat(committed.filter((path) => !generated.includes(path)));
  if (different.length > 0) {
    console.error(`Generated code is out of date: ${different.join(", ")}`);
    process.exitCode = 1;
  }
} finally {
  rmSync(outputFolder, { recursive: true, force: true });
}
