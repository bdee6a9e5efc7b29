import test from "ava";
import {
  type UnevenFleetFigures,
  UnevenFleetModel,
} from "../../stand_ins/decisions/uneven_fleet_model.ts";
import { EngineSpeed } from "./engine_speed.ts";
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
    title: "leaves an engine that became twice as slow",
    text: { recentMilliseconds: 80, usualMilliseconds: 40 },
    isMoved: true,
  },
  {
    title: "stays on an engine that became half again as slow",
    text: { recentMilliseconds: 60, usualMilliseconds: 40 },
    isMoved: false,
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

// Replays a text on an engine that takes 37 ms for an event, and a multiple of it for some time;
// another engine is free. Returns the time that the text takes, and the number of moves.
function replaySlowEngine(
  { factor, fromEvent, forMilliseconds }: {
    readonly factor: number;
    readonly fromEvent: number;
    readonly forMilliseconds: number;
  },
): { readonly milliseconds: number; readonly moves: number } {
  const usual = 37;
  const events = 200;
  const speed = new EngineSpeed();
  for (let event = 0; event < 500; event += 1) {
    speed.record(usual, event * usual);
  }
  let now = 500 * usual;
  const startedAt = now;
  let slowUntil = Infinity;
  let moves = 0;
  for (let event = 0; event < events; event += 1) {
    if (event === fromEvent) slowUntil = now + forMilliseconds;
    const isSlow = event >= fromEvent && now < slowUntil && moves === 0;
    now += isSlow ? factor * usual : usual;
    if (moves === 0) speed.record(isSlow ? factor * usual : usual, now);
    const isChecked = event % 4 === 3 && moves === 0;
    const isMoved = isChecked && shouldMove({
      ...TEXT,
      remainingEvents: events - event - 1,
      recentMilliseconds: speed.recent(now),
      usualMilliseconds: speed.usual,
    }, [{ eventMilliseconds: usual, isConnected: true }]);
    if (!isMoved) continue;
    moves += 1;
    now += 3 * usual;
  }
  return { milliseconds: now - startedAt, moves };
}

test("load: an engine with the longest text of a step becomes twice as slow for six seconds", (t) => {
  const slow = { factor: 2, fromEvent: 60, forMilliseconds: 6000 };
  const { milliseconds, moves } = replaySlowEngine(slow);
  t.is(moves, 1);
  // Staying would take 3 s longer than the 7.4 s of a usual engine.
  t.true(milliseconds <= 8400, `${milliseconds} ms`);
});

test("load: an engine pauses once for longer than ten events", (t) => {
  const pause = { factor: 12, fromEvent: 60, forMilliseconds: 1 };
  t.is(replaySlowEngine(pause).moves, 0);
});

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
