// Bundles each program into one file under build/bin/.
import { build } from "esbuild";
import { readdirSync } from "node:fs";

const ROOTS = ["source/programs", "stand_ins/programs"];

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
  outExtension: { ".js": ".cjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  minify: true,
  keepNames: true,
  sourcemap: "linked",
  external: ["unix-dgram"],
  logLevel: "warning",
});
