import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize } from "node:path";
import test from "ava";

const ROOTS = ["source", "platform"];
const IMPORT = /from\s+"(\.[^"]+)"/g;

type ImportGraph = ReadonlyMap<string, ReadonlyArray<string>>;

function listFiles(folder: string): ReadonlyArray<string> {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return listFiles(path);
    const isModule = path.endsWith(".ts") && !path.endsWith("_test.ts");
    return isModule ? [path] : [];
  });
}

function readImports(file: string): ReadonlyArray<string> {
  const found = readFileSync(file, "utf8").matchAll(IMPORT);
  return [...found].map(([, path = ""]) =>
    normalize(join(dirname(file), path))
  );
}

// Returns the files of the first import cycle found, in the order of their imports.
function findCycle(graph: ImportGraph): ReadonlyArray<string> {
  const done = new Set<string>();
  const visit = (
    file: string,
    path: ReadonlyArray<string>,
  ): ReadonlyArray<string> => {
    const start = path.indexOf(file);
    if (start >= 0) return [...path.slice(start), file];
    if (done.has(file)) return [];
    for (const next of graph.get(file) ?? []) {
      const cycle = visit(next, [...path, file]);
      if (cycle.length > 0) return cycle;
    }
    done.add(file);
    return [];
  };
  for (const file of graph.keys()) {
    const cycle = visit(file, []);
    if (cycle.length > 0) return cycle;
  }
  return [];
}

const FILES = ROOTS.flatMap(listFiles);
const IMPORT_GRAPH = new Map(FILES.map((file) => [file, readImports(file)]));

test("imports form no cycle", (t) => {
  t.true(FILES.length > 100);
  t.deepEqual(findCycle(IMPORT_GRAPH), []);
});

test("an import cycle is found", (t) => {
  const graph = new Map([["a", ["b"]], ["b", ["c"]], ["c", ["b"]]]);
  t.deepEqual(findCycle(graph), ["b", "c", "b"]);
});

test("only programs and node assembly import from the node folder", (t) => {
  const violations = FILES.filter((file) =>
    !file.startsWith("source/node/") && !file.startsWith("source/programs/") &&
    !file.startsWith("platform/") &&
    (IMPORT_GRAPH.get(file) ?? []).some((path) =>
      path.startsWith("source/node/")
    )
  );
  t.deepEqual(violations, []);
});

test("only programs import from the platform folder", (t) => {
  const violations = FILES.filter((file) =>
    !file.startsWith("platform/") && !file.startsWith("source/programs/") &&
    (IMPORT_GRAPH.get(file) ?? []).some((path) => path.startsWith("platform/"))
  );
  t.deepEqual(violations, []);
});
