import test from "ava";
import { createSampleText, type SampleText } from "./sample_text.ts";
import { SampleTexts, type TextOwner } from "./sample_texts.ts";

const OWNER: TextOwner = {
  manifest: { organisation: "o", model: "m" },
  sample: "q",
};
const ANY = { minimumVersion: 1, isSingleVersion: false };

function createText(events: number, versions: number[]): SampleText {
  return {
    ...createSampleText(),
    parts: Array.from({ length: events }, (_none, index) => `part ${index}`),
    versions,
    lastEvent: events - 1,
  };
}

test("a run that begins while another one holds the text gets a copy", (t) => {
  const texts = new SampleTexts();
  const first = texts.take(OWNER, { bound: ANY, loaded: [] });
  first.parts.push("part 0");
  first.versions.push(1);
  const second = texts.take(OWNER, { bound: ANY, loaded: [] });
  t.deepEqual(second.parts, ["part 0"]);
  first.parts.push("part 1");
  first.versions.push(2);
  t.deepEqual(second.parts, ["part 0"]);
  t.deepEqual(second.versions, [1]);
});

test("a text with a version that the step may not use is not taken, however long", (t) => {
  const loaded = [
    createText(9, [1, 2]),
    createText(3, [2]),
    createText(5, [3]),
  ];
  const take = (minimumVersion: number, isSingleVersion: boolean): number =>
    new SampleTexts().take(OWNER, {
      bound: { minimumVersion, isSingleVersion },
      loaded,
    }).parts.length;
  t.is(take(1, false), 9);
  t.is(take(1, true), 5);
  t.is(take(2, false), 5);
  t.is(take(4, false), 0);
});

test("a whole text is taken before a longer one that is not whole", (t) => {
  const whole = { ...createText(3, [2]), isWhole: true };
  const texts = new SampleTexts();
  const loaded = [createText(5, [2]), whole];
  t.true(texts.take(OWNER, { bound: ANY, loaded }).isWhole);
});

test("organisations and models with the same sample identifier share no text", (t) => {
  const texts = new SampleTexts();
  texts.take(OWNER, { bound: ANY, loaded: [createText(4, [1])] });
  for (
    const manifest of [
      { organisation: "other", model: "m" },
      { organisation: "o", model: "other" },
    ]
  ) {
    const text = texts.take({ ...OWNER, manifest }, { bound: ANY, loaded: [] });
    t.is(text.parts.length, 0);
  }
});

test("the end of an earlier run does not forget the text of a later one", (t) => {
  const texts = new SampleTexts();
  const first = texts.take(OWNER, { bound: ANY, loaded: [] });
  const second = texts.take(OWNER, {
    bound: ANY,
    loaded: [createText(2, [1])],
  });
  texts.forget(OWNER, first);
  t.is(texts.take(OWNER, { bound: ANY, loaded: [] }).parts.length, 2);
  texts.forget(OWNER, second);
  t.is(texts.take(OWNER, { bound: ANY, loaded: [] }).parts.length, 2);
});
