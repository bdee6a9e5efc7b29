// Bundles the program that the nodes of an installation run into one file under target/, and stores the
// compiled code next to it, so that a restarted node serves sooner.
import { spawnSync } from "node:child_process";
import { writeFileSync } from "node:fs";
import { build } from "esbuild";

const PROGRAM = "target/snipepath_program.cjs";
const CODE_CACHE = "target/snipepath_program.cache";
const LOADER = "target/snipepath.cjs";
/** The compiled code is only valid for a process with the same flags as in deploy/system.toml. */
const NODE_FLAGS = ["--max-old-space-size=230"];

const COMMON = {
  platform: "node",
  target: "node20",
  format: "cjs",
  minify: true,
  keepNames: true,
  logLevel: "warning",
};

await build({
  ...COMMON,
  entryPoints: ["source/programs/snipepath_installation.ts"],
  outfile: PROGRAM,
  bundle: true,
  external: ["unix-dgram"],
});
await build({
  ...COMMON,
  entryPoints: ["scripts/load_compiled_program.cjs"],
  outfile: LOADER,
});

// The program ends at once without settings; by then its modules are compiled.
const warmUp = spawnSync(process.execPath, [...NODE_FLAGS, LOADER], {
  env: { SNIPEPATH_CODE_CACHE_OUTPUT: CODE_CACHE },
  encoding: "utf8",
});
if (warmUp.error !== undefined) throw warmUp.error;
if (!warmUp.stderr.includes("SNIPEPATH_SETTINGS")) {
  writeFileSync(CODE_CACHE, "");
  console.warn(`No compiled code was stored: ${warmUp.stderr}`);
}
