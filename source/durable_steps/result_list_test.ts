import test from "ava";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { ResultList } from "./result_list.ts";
import type { SampleResult } from "./sample_result.ts";

const ROW_BYTES = 1000;

function toResult(identifier: string, text = identifier): SampleResult {
  return { kind: "completed", identifier, text, weightVersions: [3] };
}

function createList(): {
  table: MemoryDurableTable;
  list: ResultList;
} {
  const table = new MemoryDurableTable();
  return { table, list: new ResultList(table, ROW_BYTES) };
}

async function readNames(list: ResultList): Promise<ReadonlyArray<string>> {
  const outcome = await list.readAll("step", 0);
  return outcome.kind === "ok"
    ? outcome.value.map(({ identifier }) => identifier)
    : [];
}

test("results are read in the order of their appends, including results of several rows", async (t) => {
  const { list } = createList();
  const long = "x".repeat(5 * ROW_BYTES);
  const results = [toResult("a"), toResult("b", long), toResult("c")];
  const outcome = await list.append("step", { position: 0, results });
  t.deepEqual(outcome, { kind: "ok", value: { kind: "appended", count: 3 } });
  t.deepEqual(await list.read("step", 0), { kind: "ok", value: results });
  t.deepEqual(await list.read("step", 1), {
    kind: "ok",
    value: results.slice(1),
  });
});

test("a position that another node has written is not overwritten", async (t) => {
  const { list } = createList();
  await list.append("step", { position: 0, results: [toResult("a")] });
  const outcome = await list.append("step", {
    position: 0,
    results: [toResult("b")],
  });
  t.deepEqual(outcome, { kind: "ok", value: { kind: "conflict" } });
  t.deepEqual(await readNames(list), ["a"]);
});

test("a delayed append does not overwrite a position written in the meantime", async (t) => {
  const { table, list } = createList();
  table.commitFaults.push("late");
  await list.append("step", { position: 0, results: [toResult("a")] });
  t.deepEqual(await readNames(list), []);
  await list.append("step", {
    position: 0,
    results: [toResult("b"), toResult("a")],
  });
  table.applyLateCommits();
  t.deepEqual(await readNames(list), ["b", "a"]);
});

test("an append does not exceed the entry limit of a transaction", async (t) => {
  const { list } = createList();
  const results = Array.from(
    { length: 120 },
    (_unused, index) => toResult(`s${index}`),
  );
  let position = 0;
  while (position < results.length) {
    const outcome = await list.append("step", {
      position,
      results: results.slice(position),
    });
    if (outcome.kind !== "ok" || outcome.value.kind !== "appended") {
      return t.fail(`Append ended with ${JSON.stringify(outcome)}`);
    }
    position += outcome.value.count;
  }
  t.is((await readNames(list)).length, 120);
});

test("reading a list fails while the store is down", async (t) => {
  const { table, list } = createList();
  table.isDown = true;
  t.is((await list.read("step", 0)).kind, "notRun");
});
