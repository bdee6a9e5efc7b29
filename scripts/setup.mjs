// deno-lint-ignore-file explicit-function-return-type
// Installs the locked dependencies when they are missing or out of date.
import { spawnSync } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";

const LOCK = "package-lock.json";
const INSTALLED_LOCK = "node_modules/.package-lock.json";

function isCurrent() {
  if (!existsSync(INSTALLED_LOCK)) return false;
  const locked = JSON.parse(readFileSync(LOCK, "utf8")).packages;
  const installed = JSON.parse(readFileSync(INSTALLED_LOCK, "utf8")).packages;
  return Object.entries(locked).every(([path, entry]) =>
    path === "" || entry.optional === true ||
    installed[path]?.version === entry.version
  );
}

if (!isCurrent()) {
  const install = spawnSync("npm", ["ci", "--no-audit", "--no-fund"], {
    stdio: ["ignore", 2, 2],
  });
  process.exitCode = install.status ?? 1;
}
