import test from "ava";
import { createStepManifest } from "../../stand_ins/installation/create_step_manifest.ts";
import { createStepTools } from "../../stand_ins/installation/create_step_tools.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { toStepRowPlace } from "./step_registry.ts";
import { StepReader, type StepReadOutcome } from "./step_reader.ts";
import type { ResultPage } from "./step_reader.ts";

/** More results than the store returns in one response. */
const RESULT_COUNT = 1200;
const QUERY = { identifier: "s1", organisation: "o" };

async function createTableWithResults(): Promise<MemoryDurableTable> {
  const table = new MemoryDurableTable();
  const manifest = createStepManifest({ total: RESULT_COUNT + 1 });
  await table.commit({
    conditions: [],
    puts: [{
      ...toStepRowPlace("s1", "manifest"),
      value: Buffer.from(JSON.stringify(manifest)),
    }],
  });
  const { results } = createStepTools(table);
  let position = 0;
  while (position < RESULT_COUNT) {
    const batch = Array.from(
      { length: Math.min(40, RESULT_COUNT - position) },
      (_unused, index) => ({
        kind: "terminated" as const,
        identifier: `q${position + index}`,
      }),
    );
    const outcome = await results.append("s1", { position, results: batch });
    if (outcome.kind === "ok" && outcome.value.kind === "appended") {
      position += outcome.value.count;
    }
  }
  return table;
}

function read(
  reader: StepReader,
  position: number,
): Promise<StepReadOutcome<ResultPage>> {
  return reader.readResults(QUERY, {
    position,
    waitMilliseconds: 0,
    signal: new AbortController().signal,
  });
}

/** Returns the identifiers of the results; the kind of the outcome when nothing was read. */
function toIdentifiersOrKind(reading: StepReadOutcome<ResultPage>): string[] {
  return reading.kind === "read"
    ? reading.value.results.map(({ identifier }) => identifier)
    : [reading.kind];
}

test("a reader without cached results returns the result at any position of a long list on its first read", async (t) => {
  const table = await createTableWithResults();
  for (const position of [0, 499, 500, 1100, RESULT_COUNT - 1]) {
    const reader = new StepReader(createStepTools(table));
    const [first] = toIdentifiersOrKind(await read(reader, position));
    t.is(first, `q${position}`);
  }
});

test("reading beyond the end of a list returns no results", async (t) => {
  const table = await createTableWithResults();
  const reader = new StepReader(createStepTools(table));
  t.deepEqual(toIdentifiersOrKind(await read(reader, RESULT_COUNT)), []);
});

test("while the store is down, cached results are returned and results that are not cached are unavailable", async (t) => {
  const table = await createTableWithResults();
  const reader = new StepReader(createStepTools(table));
  await read(reader, 0);
  table.isDown = true;
  t.deepEqual(toIdentifiersOrKind(await read(reader, RESULT_COUNT - 1)), [
    "unavailable",
  ]);
  t.is(toIdentifiersOrKind(await read(reader, 3))[0], "q3");
});
