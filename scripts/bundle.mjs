// Bundles each program into one file under build/bin/.
import { build } from "esbuild";
import { readdirSync } from "node:fs";

const ROOTS = ["source/programs", "stand_ins/programs", "experiments/programs"];

const entryPoints = ROOTS.flatMap((root) =>
  readdirSync(root).filter((name) =>
    name.endsWith(".ts") && !name.endsWith("_test.ts")
  ).map((name) => ({
    in: `${root}/${name}`,
    out: name.replace(/\.ts$/, "").replaceAll("_", "-"),
  }))
);

await build({
  entryPoints,
  outdir: "build/bin",
  outExtension: { ".js": ".mjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  // CommonJS dependencies call require, which ES modules don't define.
  banner: {
    js:
      'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
  },
  minify: true,
  keepNames: true,
  sourcemap: "linked",
  external: ["unix-dgram"],
  logLevel: "warning",
});
