import test from "ava";
import {
  type UnevenFleetFigures,
  UnevenFleetModel,
} from "../../stand_ins/decisions/uneven_fleet_model.ts";
import {
  type MoveCandidate,
  type MovingText,
  shouldMove,
} from "./engine_move.ts";

const SEED = 5;

const TEXT: MovingText = {
  remainingEvents: 30,
  tokens: 4000,
  moves: 0,
  recentMilliseconds: 96,
  usualMilliseconds: 96,
  sinceLastMove: Infinity,
};
const FAST: MoveCandidate = { eventMilliseconds: 40, isConnected: true };

const CASES: ReadonlyArray<{
  readonly title: string;
  readonly text?: Partial<MovingText>;
  readonly candidates?: ReadonlyArray<MoveCandidate>;
  readonly isMoved: boolean;
}> = [
  { title: "stays on an engine that is slow for good", isMoved: false },
  {
    title: "leaves an engine that became 4 times slower",
    text: { recentMilliseconds: 160, usualMilliseconds: 40 },
    isMoved: true,
  },
  {
    title:
      "leaves a fast engine that became slow for one that is slow for good",
    text: { recentMilliseconds: 200, usualMilliseconds: 40 },
    candidates: [{ eventMilliseconds: 96, isConnected: true }],
    isMoved: true,
  },
  {
    title: "stays for its last events",
    text: {
      recentMilliseconds: 160,
      usualMilliseconds: 40,
      remainingEvents: 2,
    },
    isMoved: false,
  },
  {
    title: "stays when reading it again takes longer",
    text: {
      recentMilliseconds: 160,
      usualMilliseconds: 40,
      tokens: 2_000_000,
    },
    isMoved: false,
  },
  {
    title: "stays after two moves",
    text: { recentMilliseconds: 320, usualMilliseconds: 40, moves: 2 },
    isMoved: false,
  },
  {
    title: "waits while another text is on the move",
    text: { recentMilliseconds: 320, usualMilliseconds: 40, sinceLastMove: 20 },
    isMoved: false,
  },
  {
    title: "stays without a faster engine that is free",
    text: { recentMilliseconds: 320, usualMilliseconds: 40 },
    candidates: [],
    isMoved: false,
  },
  {
    title: "stays when the speed of the other engine is not known",
    text: { recentMilliseconds: 320, usualMilliseconds: 40 },
    candidates: [{ eventMilliseconds: undefined, isConnected: true }],
    isMoved: false,
  },
  {
    title: "stays when the speed of its engine is not known",
    text: { recentMilliseconds: undefined },
    isMoved: false,
  },
];

for (const { title, text, candidates = [FAST], isMoved } of CASES) {
  test(`a text ${title}`, (t) => {
    t.is(shouldMove({ ...TEXT, ...text }, candidates), isMoved);
  });
}

// Guards against moves that thrash: texts that left a slow engine took the slots of others, which
// had to run on the slow engine and left it in turn.
test("texts move seldom in an uneven fleet, and leave engines that became slow", (t) => {
  const results: Record<
    string,
    { readonly before: UnevenFleetFigures; readonly now: UnevenFleetFigures }
  > = {};
  for (const samplesPerStep of [80, 200, 320]) {
    for (const hasSlowPeriods of [false, true]) {
      const options = { seed: SEED, samplesPerStep, hasSlowPeriods };
      const title = `${samplesPerStep} samples, ${
        hasSlowPeriods ? "some engines slow for a while" : "uneven engines"
      }`;
      results[title] = {
        before: new UnevenFleetModel(options, "before").run(),
        now: new UnevenFleetModel(options, "now").run(),
      };
    }
  }
  t.snapshot(results);
  for (const [title, { before, now }] of Object.entries(results)) {
    t.is(now.texts, before.texts);
    t.true(now.moves <= 0.25 * before.moves, `${title}: ${now.moves}`);
    // A step is complete when its long texts are.
    t.true(
      now.meanLongMilliseconds <= before.meanLongMilliseconds,
      `${title}: ${now.meanLongMilliseconds}`,
    );
  }
});
