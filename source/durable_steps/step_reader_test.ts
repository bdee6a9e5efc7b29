import test from "ava";
import { createStepTools } from "../../stand_ins/installation/create_step_tools.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { toStepPlace } from "./step_book.ts";
import { StepReader, type StepReading } from "./step_reader.ts";
import type { ResultPage } from "./step_reader.ts";

/** More than the store gives in one answer. */
const RESULTS = 1200;
const QUESTION = { identifier: "s1", organisation: "o" };

async function createListedStep(): Promise<MemoryDurableTable> {
  const table = new MemoryDurableTable();
  const manifest = { identifier: "s1", organisation: "o", total: RESULTS + 1 };
  await table.commit({
    conditions: [],
    puts: [{
      ...toStepPlace("s1", "manifest"),
      value: Buffer.from(JSON.stringify(manifest)),
    }],
  });
  const { results } = createStepTools(table);
  let position = 0;
  while (position < RESULTS) {
    const left = Array.from(
      { length: Math.min(40, RESULTS - position) },
      (_unused, index) => ({
        kind: "terminated" as const,
        identifier: `q${position + index}`,
      }),
    );
    const outcome = await results.append("s1", { position, results: left });
    if (outcome.kind === "ok" && outcome.value.kind === "appended") {
      position += outcome.value.count;
    }
  }
  return table;
}

function read(
  reader: StepReader,
  position: number,
): Promise<StepReading<ResultPage>> {
  return reader.readResults(QUESTION, {
    position,
    waitMilliseconds: 0,
    signal: new AbortController().signal,
  });
}

function readIdentifiers(reading: StepReading<ResultPage>): string[] {
  return reading.kind === "read"
    ? reading.value.results.map(({ identifier }) => identifier)
    : [reading.kind];
}

test("a node that has read nothing of a long list finds any position at once", async (t) => {
  const table = await createListedStep();
  for (const position of [0, 499, 500, 1100, RESULTS - 1]) {
    const reader = new StepReader(createStepTools(table));
    const [first] = readIdentifiers(await read(reader, position));
    t.is(first, `q${position}`);
  }
});

test("there is nothing beyond the end of a list", async (t) => {
  const table = await createListedStep();
  const reader = new StepReader(createStepTools(table));
  t.deepEqual(readIdentifiers(await read(reader, RESULTS)), []);
});

test("a position that can't be reached in the store is not told as absent", async (t) => {
  const table = await createListedStep();
  const reader = new StepReader(createStepTools(table));
  await read(reader, 0);
  table.isDown = true;
  t.deepEqual(readIdentifiers(await read(reader, RESULTS - 1)), ["unsure"]);
  t.is(readIdentifiers(await read(reader, 3))[0], "q3");
});
