import test from "ava";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { ProgressStore } from "./progress_store.ts";
import type { SampleText } from "./sample_text.ts";

function createText(softwareVersion: string, events: number): SampleText {
  return {
    parts: Array.from({ length: events }, () => "part"),
    versions: [1],
    softwareVersion,
    begunBy: { identifier: "e1", startedAt: 1 },
    lastEvent: events,
    isWhole: false,
  };
}

test("the saved state of a text that began anew at another software version is replaced", async (t) => {
  const store = new ProgressStore(new MemoryDurableTable(), 65_536);
  await store.save("s1", new Map([["a", createText("v1", 20)]]));
  await store.save("s1", new Map([["a", createText("v2", 5)]]));
  t.is((await store.load("s1")).get("a")?.softwareVersion, "v1");
  await store.save("s1", new Map([["a", createText("v2", 8)]]));
  const loaded = (await store.load("s1")).get("a");
  t.is(loaded?.softwareVersion, "v2");
  t.is(loaded?.parts.length, 8);
});

// Guards against counting the events that were saved of one step as saved of another one.
test("the text of a sample is saved in each step that runs it", async (t) => {
  const store = new ProgressStore(new MemoryDurableTable(), 65_536);
  await store.save("s1", new Map([["a", createText("v1", 20)]]));
  await store.save("s2", new Map([["a", createText("v1", 22)]]));
  t.is((await store.load("s2")).get("a")?.parts.length, 22);
  store.forget("s1");
  await store.save("s2", new Map([["a", createText("v1", 24)]]));
  t.is((await store.load("s2")).get("a")?.parts.length, 22);
});
