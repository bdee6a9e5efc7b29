// deno-lint-ignore-file explicit-function-return-type
// Runs all checks and tests of the project; the last line of output is "N passed, N failed".
import { spawnSync } from "node:child_process";
import { existsSync, readFileSync, rmSync } from "node:fs";

const CHECKS = [
  ["formatter", "npx", ["deno", "fmt", "--check"]],
  ["linter", "npx", ["deno", "lint"]],
  ["generated code", "node", ["scripts/check_generated.mjs"]],
  ["types and build", "npm", ["run", "--silent", "build"]],
];

function run(command, commandArguments, options = {}) {
  return spawnSync(command, commandArguments, {
    encoding: "utf8",
    maxBuffer: 1 << 28,
    ...options,
  });
}

function runCheck([name, command, commandArguments]) {
  const result = run(command, commandArguments);
  const passed = result.status === 0;
  console.log(`${passed ? "ok" : "not ok"} - ${name}`);
  if (!passed) console.log(result.stdout + result.stderr);
  return passed;
}

// Returns the titles of tests that are known to fail. Each entry of the file starts with
// "test: TITLE", with the title as ava prints it.
function readKnownFaults() {
  if (!existsSync("KNOWN-RED.txt")) return [];
  return readFileSync("KNOWN-RED.txt", "utf8").split("\n")
    .filter((line) => line.startsWith("test: "))
    .map((line) => line.slice("test: ".length).trim());
}

// Tests that measure a process run after all others, one file after the other.
const TEST_RUNS = [[], ["--config", "ava_alone.config.mjs"]];

function runTests(knownFaults, testArguments) {
  const result = run("npx", ["ava", "--tap", ...testArguments], {
    env: { ...process.env, FORCE_COLOR: "0" },
  });
  let passed = 0;
  let failed = 0;
  const known = [];
  for (const line of result.stdout.split("\n")) {
    const match = /^(ok|not ok) \d+ - (.*)$/.exec(line);
    if (match === null) continue;
    const title = match[2].replace(/ # (SKIP|TODO).*$/, "");
    if (match[1] === "ok") passed += 1;
    else if (knownFaults.includes(title)) known.push(title);
    else failed += 1;
  }
  const unexplained = result.status !== 0 && failed === 0 && known.length === 0;
  if (failed > 0 || unexplained) {
    console.log(result.stdout);
    console.log(result.stderr);
  }
  return { passed, failed: failed + (unexplained ? 1 : 0), known };
}

rmSync("build", { recursive: true, force: true });
const setup = run("node", ["scripts/setup.mjs"], { stdio: "inherit" });
if (setup.status !== 0) {
  console.log("not ok - setup");
  console.log("0 passed, 1 failed");
  process.exit(1);
}
const outcomes = CHECKS.map(runCheck);
const checksPassed = outcomes.filter((passed) => passed).length;
const checksFailed = outcomes.length - checksPassed;
const knownFaults = readKnownFaults();
const tests = checksFailed === 0
  ? TEST_RUNS.map((testArguments) => runTests(knownFaults, testArguments))
  : [];
for (const title of tests.flatMap(({ known }) => known)) {
  console.log(`known fault: ${title}`);
}
const sum = (counts) => counts.reduce((total, count) => total + count, 0);
const failed = sum([checksFailed, ...tests.map((each) => each.failed)]);
const passed = sum([checksPassed, ...tests.map((each) => each.passed)]);
console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;
