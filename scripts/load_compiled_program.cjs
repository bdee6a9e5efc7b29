// deno-lint-ignore-file explicit-function-return-type
// Runs the bundled program beside this file with its stored compiled code. When the stored code does not
// fit this version or these flags of Node.js, the program is compiled as usual.
const { readFileSync, writeFileSync } = require("node:fs");
const { wrap } = require("node:module");
const { dirname, join } = require("node:path");
const { Script } = require("node:vm");

const filename = join(__dirname, "snipepath_program.cjs");
const output = process.env.SNIPEPATH_CODE_CACHE_OUTPUT;

function readCodeCache() {
  try {
    return readFileSync(join(__dirname, "snipepath_program.cache"));
  } catch {
    // Without the file the program is only slower to start.
    return undefined;
  }
}

const cachedData = output === undefined ? readCodeCache() : undefined;
const script = new Script(wrap(readFileSync(filename, "utf8")), {
  filename,
  ...(cachedData === undefined ? {} : { cachedData }),
});
if (output !== undefined) {
  process.on("exit", () => writeFileSync(output, script.createCachedData()));
}
const program = { exports: {} };
script.runInThisContext().call(
  program.exports,
  program.exports,
  require,
  program,
  filename,
  dirname(filename),
);
