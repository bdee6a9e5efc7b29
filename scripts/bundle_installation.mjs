// Bundles the program that the nodes of an installation run into one file under target/.
import { build } from "esbuild";

await build({
  entryPoints: ["source/programs/snipepath_installation.ts"],
  outfile: "target/snipepath.cjs",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  minify: true,
  keepNames: true,
  external: ["unix-dgram"],
  logLevel: "warning",
});
