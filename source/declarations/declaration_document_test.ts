import { readFileSync } from "node:fs";
import test from "ava";
import * as fastCheck from "fast-check";
import { parseDeclaration } from "./declaration_document.ts";
import { diffDeclarations } from "./diff_declarations.ts";
import { digestDeclaration } from "./digest_declaration.ts";

const RANDOM_SEED = 20;
const EXAMPLE = readFileSync("declarations/atbr.yaml", "utf8");

const FAULTS: Readonly<Record<string, string>> = {
  "invalid YAML": "classes: [",
  "not a mapping": "- 1",
  "unknown fields and values of the wrong type": `
classes:
  - name: interactive
    latencyP99Milliseconds: soon
    weight: 3
services:
  - name: models
    kind: database
    failureDomains: cluj-a
`,
  "references to undeclared names": `
routes:
  - name: orders
    pathPrefix: /orders
    service: comenzi
    organisations: [school]
trainers:
  - name: dots
    service: models
`,
  "rules between fields": `
classes:
  - {name: interactive, latencyP99Milliseconds: 10, firstTokenP99Milliseconds: 20}
  - {name: interactive}
organisations:
  - name: open
services:
  - {name: plain, kind: plain, failureDomains: [a], minimumServers: 3, maximumServers: 1}
routes:
  - {name: One, pathPrefix: /v1/x, service: plain, classOfWork: interactive}
  - {name: two, pathPrefix: /, service: plain, classOfWork: interactive}
  - {name: three, pathPrefix: /t, service: plain, classOfWork: interactive, open: true, organisations: [open]}
  - {name: four, pathPrefix: /t, service: plain, classOfWork: interactive}
trainers:
  - {name: dots, service: plain, classOfWork: interactive, organisation: open}
`,
};

for (const [name, text] of Object.entries(FAULTS)) {
  test(`declaration faults: ${name}`, (t) => {
    const outcome = parseDeclaration(text);
    t.is(outcome.kind, "invalid");
    if (outcome.kind !== "invalid") return;
    t.snapshot(
      outcome.faults.map((fault) =>
        `${fault.line}: ${fault.field}: ${fault.problem}. ${fault.remedy}.`
      ),
    );
  });
}

test("the example declarations are valid", (t) => {
  for (const name of ["atbr", "otjiwarongo"]) {
    const text = readFileSync(`declarations/${name}.yaml`, "utf8");
    t.is(parseDeclaration(text).kind, "ok", name);
  }
});

test("a diff lists each changed field", (t) => {
  const changed = EXAMPLE.replace("maximumServers: 9", "maximumServers: 8")
    .replace("name: school-suceava", "name: school-botosani");
  const before = parseDeclaration(EXAMPLE);
  const after = parseDeclaration(changed);
  if (before.kind !== "ok" || after.kind !== "ok") return t.fail();
  t.snapshot(diffDeclarations(before.declaration, after.declaration));
  t.not(
    digestDeclaration(before.declaration),
    digestDeclaration(after.declaration),
  );
});

test("random edits of a declaration never throw", (t) => {
  const edit = fastCheck.record({
    position: fastCheck.nat({ max: EXAMPLE.length }),
    removed: fastCheck.nat({ max: 40 }),
    inserted: fastCheck.string({ maxLength: 12 }),
  });
  fastCheck.assert(
    fastCheck.property(edit, ({ position, removed, inserted }) => {
      const text = EXAMPLE.slice(0, position) + inserted +
        EXAMPLE.slice(position + removed);
      const outcome = parseDeclaration(text);
      return outcome.kind === "ok" || outcome.faults.length > 0;
    }),
    { seed: RANDOM_SEED, numRuns: 300 },
  );
  t.pass();
});
