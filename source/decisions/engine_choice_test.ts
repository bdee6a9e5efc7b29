import test from "ava";
import {
  type PromptFigures,
  PromptModel,
} from "../../stand_ins/decisions/prompt_model.ts";
import { createRendezvous } from "../membership/rendezvous.ts";
import {
  chooseEngine,
  type EngineCandidate,
  type PlacedSample,
} from "./engine_choice.ts";

function createCandidate(
  identifier: string,
  more: Partial<EngineCandidate> = {},
): EngineCandidate {
  return {
    identifier,
    running: 0,
    eventMilliseconds: 37,
    hasPrompt: false,
    memoryShare: 0,
    isConnected: true,
    versionLead: 0,
    ...more,
  };
}

const SAMPLE: PlacedSample = {
  expectedEvents: 27,
  promptTokens: 1000,
  memoryShare: 0.1,
  usualEventMilliseconds: 37,
  avoidedEngine: undefined,
};

const CASES: ReadonlyArray<{
  readonly title: string;
  readonly other: Partial<EngineCandidate>;
  readonly chosen: Partial<EngineCandidate>;
}> = [
  {
    title: "the emptier engine",
    other: { running: 3 },
    chosen: { running: 1 },
  },
  {
    title: "the faster engine, even when it is fuller",
    other: { eventMilliseconds: 110 },
    chosen: { running: 5 },
  },
  {
    title: "the engine that has read the prompt",
    other: {},
    chosen: { hasPrompt: true },
  },
  {
    title: "a much emptier engine instead of one that has read the prompt",
    other: { hasPrompt: true, running: 5 },
    chosen: {},
  },
  {
    title: "a connected engine instead of a slightly emptier one",
    other: { isConnected: false },
    chosen: { running: 1 },
  },
  {
    title: "a much emptier engine that is not connected",
    other: { running: 5 },
    chosen: { isConnected: false },
  },
  {
    title:
      "an engine with memory for it, even when it is fuller and has not read the prompt",
    other: { memoryShare: 0.9, hasPrompt: true },
    chosen: { running: 4, memoryShare: 0.3, isConnected: false },
  },
  {
    title: "the engine with newer weights",
    other: {},
    chosen: { versionLead: 1 },
  },
  {
    title: "any engine but the one at which the sample failed",
    other: { identifier: "avoided" },
    chosen: { running: 5, eventMilliseconds: 110 },
  },
];

for (const { title, other, chosen } of CASES) {
  test(`a sample gets ${title}`, (t) => {
    const candidates = [
      createCandidate("other", other),
      createCandidate("chosen", chosen),
    ];
    const sample = { ...SAMPLE, avoidedEngine: "avoided" };
    t.is(chooseEngine(candidates, sample)?.identifier, "chosen");
    t.is(chooseEngine(candidates.reverse(), sample)?.identifier, "chosen");
  });
}

test("an engine that is avoided is chosen when there is no other", (t) => {
  const sample = { ...SAMPLE, avoidedEngine: "e1" };
  t.is(chooseEngine([createCandidate("e1")], sample)?.identifier, "e1");
  t.is(chooseEngine([], sample), undefined);
});

// Groups of 16 samples that share a prompt arrive at engines with a few runs each.
function countReads(isPromptKnown: boolean): number {
  const engines = Array.from({ length: 9 }, (_unused, index) => ({
    identifier: `e${index}`,
    running: index % 3,
    prompts: new Set<string>(),
  }));
  let reads = 0;
  for (let group = 0; group < 8; group += 1) {
    for (let sample = 0; sample < 16; sample += 1) {
      const candidates = engines.filter(({ running }) => running < 6).map(
        (engine) => ({
          ...createCandidate(engine.identifier, {
            running: engine.running,
            hasPrompt: isPromptKnown && engine.prompts.has(`p${group}`),
          }),
          engine,
        }),
      );
      const chosen = chooseEngine(candidates, SAMPLE)?.engine;
      if (chosen === undefined) break;
      if (!chosen.prompts.has(`p${group}`)) reads += 1;
      chosen.prompts.add(`p${group}`);
      chosen.running += 1;
    }
    // The runs of a group end before the next group starts.
    for (const engine of engines) engine.running = engine.running % 3;
  }
  return reads;
}

test("the samples of a group stay together, so that shared prompts are read half as often", (t) => {
  const before = countReads(false);
  const after = countReads(true);
  t.log({ before, after });
  t.true(after <= 0.5 * before);
});

// Places six long texts on engines that run as many samples each, half of them long texts, and returns
// the largest share of an engine's memory that the texts need.
function findLargestMemoryShare(isMemoryKnown: boolean): number {
  const engines = Array.from({ length: 6 }, (_unused, index) => ({
    identifier: `e${index}`,
    running: 4,
    memoryShare: index < 3 ? 0.8 : 0.12,
  }));
  for (let sample = 0; sample < 6; sample += 1) {
    const candidates = engines.map((engine) => ({
      ...createCandidate(engine.identifier, {
        running: engine.running,
        memoryShare: isMemoryKnown ? engine.memoryShare : 0,
      }),
      engine,
    }));
    const chosen = chooseEngine(candidates, {
      ...SAMPLE,
      expectedEvents: 190,
      memoryShare: isMemoryKnown ? 0.2 : 0,
    })?.engine;
    if (chosen === undefined) break;
    chosen.running += 1;
    chosen.memoryShare += 0.2;
  }
  return Math.max(...engines.map(({ memoryShare }) => memoryShare));
}

test("long texts go where memory is left, so that none is preempted", (t) => {
  const before = findLargestMemoryShare(false);
  const after = findLargestMemoryShare(true);
  t.log({ before, after });
  t.true(before >= 1, String(before));
  t.true(after <= 0.85, String(after));
});

test("a prompt goes to the engines that every node prefers for it, unless they are full", (t) => {
  const preferred = createCandidate("preferred", {
    slots: 6,
    promptScore: 0.9,
    running: 2,
  });
  const other = createCandidate("other", { slots: 6, promptScore: 0.1 });
  t.is(chooseEngine([other, preferred], SAMPLE)?.identifier, "preferred");
  t.is(
    chooseEngine([other, { ...preferred, running: 5 }], SAMPLE)?.identifier,
    "other",
  );
  t.is(
    chooseEngine([{ ...other, hasPrompt: true }, preferred], SAMPLE)
      ?.identifier,
    "other",
  );
  const withoutPrompt = { ...SAMPLE, promptTokens: 0 };
  t.is(
    chooseEngine([other, preferred], withoutPrompt)?.identifier,
    "other",
  );
});

// Guards against groups that are spread over so many engines that most samples have their shared
// prompt read again.
test("the samples of a prompt meet engines that have read it, also those of other nodes", async (t) => {
  const rendezvous = await createRendezvous();
  const results: Record<
    string,
    { readonly before: PromptFigures; readonly now: PromptFigures }
  > = {};
  for (const nodes of [1, 4]) {
    for (const load of [0.3, 0.6, 0.85]) {
      const options = { seed: 3, nodes, load, prompts: 60 };
      results[`${nodes} nodes, load ${load}`] = {
        before: new PromptModel(options).run(),
        now: new PromptModel(options, rendezvous).run(),
      };
    }
  }
  t.snapshot(results);
  for (const [title, { before, now }] of Object.entries(results)) {
    t.true(now.readAgainShare < before.readAgainShare, title);
    if (title.endsWith("0.85")) continue;
    t.true(now.readAgainShare < 0.25, `${title}: ${now.readAgainShare}`);
  }
});
