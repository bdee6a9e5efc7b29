// deno-lint-ignore-file explicit-function-return-type
// Compares the committed generated code with what the schema generates now.
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

const fresh = mkdtempSync(join(tmpdir(), "snipepath-generated-"));
try {
  const result = spawnSync("npx", ["buf", "generate", "--output", fresh], {
    encoding: "utf8",
  });
  if (result.status !== 0) throw new Error(result.stderr);
  const wanted = listFiles(join(fresh, "generated"));
  const committed = listFiles("generated");
  const different = wanted.filter((path) =>
    !committed.includes(path) ||
    readFileSync(join(fresh, "generated", path), "utf8") !==
      readFileSync(join("generated", path), "utf8")
  ).concat(committed.filter((path) => !wanted.includes(path)));
  if (different.length > 0) {
    console.error(`Generated code is not current: ${different.join(", ")}`);
    process.exitCode = 1;
  }
} finally {
  rmSync(fresh, { recursive: true, force: true });
}
