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

// Returns the files of the first circle that is met, in the order of their imports.
function findCircle(graph: ImportGraph): ReadonlyArray<string> {
  const done = new Set<string>();
  const visit = (
    file: string,
    path: ReadonlyArray<string>,
  ): ReadonlyArray<string> => {
    const start = path.indexOf(file);
    if (start >= 0) return [...path.slice(start), file];
    if (done.has(file)) return [];
    for (const next of graph.get(file) ?? []) {
      const circle = visit(next, [...path, file]);
      if (circle.length > 0) return circle;
    }
    done.add(file);
    return [];
  };
  for (const file of graph.keys()) {
    const circle = visit(file, []);
    if (circle.length > 0) return circle;
  }
  return [];
}

const FILES = ROOTS.flatMap(listFiles);
const GRAPH = new Map(FILES.map((file) => [file, readImports(file)]));

test("no files import each other in a circle", (t) => {
  t.true(FILES.length > 100);
  t.deepEqual(findCircle(GRAPH), []);
});

test("a circle is found", (t) => {
  const graph = new Map([["a", ["b"]], ["b", ["c"]], ["c", ["b"]]]);
  t.deepEqual(findCircle(graph), ["b", "c", "b"]);
});

test("only programs and what puts nodes together import from there", (t) => {
  const wrong = FILES.filter((file) =>
    !file.startsWith("source/node/") && !file.startsWith("source/programs/") &&
    !file.startsWith("platform/") &&
    (GRAPH.get(file) ?? []).some((path) => path.startsWith("source/node/"))
  );
  t.deepEqual(wrong, []);
});

test("only programs know the folder that translates the users' wire", (t) => {
  const wrong = FILES.filter((file) =>
    !file.startsWith("platform/") && !file.startsWith("source/programs/") &&
    (GRAPH.get(file) ?? []).some((path) => path.startsWith("platform/"))
  );
  t.deepEqual(wrong, []);
});
