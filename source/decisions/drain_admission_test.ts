import test from "ava";
import fc from "fast-check";
import {
  decideDrainAdmission,
  type Drain,
  type DrainedCall,
} from "./drain_admission.ts";

const SEED = 5;

const DRAIN: Drain = {
  elapsedMilliseconds: 1000,
  leftMilliseconds: 6000,
  hasOtherNodes: true,
};
const CALL: DrainedCall = {
  limitMilliseconds: 10_000,
  mayRepeat: false,
  targetMilliseconds: 200,
  durations: [],
};
const LATE = { elapsedMilliseconds: 3001, leftMilliseconds: 3999 };

const CASES: ReadonlyArray<{
  readonly title: string;
  readonly drain?: Partial<Drain>;
  readonly call?: Partial<DrainedCall>;
  readonly kind: "accept" | "refuse";
}> = [
  {
    title: "that surely ends in time starts, however late",
    drain: LATE,
    call: { limitMilliseconds: 3999 },
    kind: "accept",
  },
  {
    title: "that may be repeated starts if nearly all like it end in time",
    drain: LATE,
    call: { mayRepeat: true, durations: [...Array(39).fill(2600), 9000] },
    kind: "accept",
  },
  {
    title: "that may be repeated does not start if those like it take too long",
    drain: LATE,
    call: { mayRepeat: true, durations: [40, 2700, 90] },
    kind: "refuse",
  },
  {
    title: "that may be repeated starts if its target fits and none is known",
    drain: LATE,
    call: { mayRepeat: true },
    kind: "accept",
  },
  {
    title: "that may not be repeated starts if its caller can't know yet",
    call: { durations: [...Array(19).fill(40), 3900] },
    kind: "accept",
  },
  {
    title: "that may not be repeated does not start after few such calls",
    call: { durations: Array(19).fill(40) },
    kind: "refuse",
  },
  {
    title: "that may not be repeated does not start without such calls",
    kind: "refuse",
  },
  {
    title: "that may not be repeated does not start late, whatever is usual",
    drain: LATE,
    call: { durations: Array(64).fill(40) },
    kind: "refuse",
  },
];

for (const { title, drain, call, kind } of CASES) {
  test(`a call ${title}`, (t) => {
    const decision = decideDrainAdmission(
      { ...DRAIN, ...drain },
      { ...CALL, ...call },
      0.5,
    );
    t.is(decision.kind, kind);
  });
}

test("a refused call returns to another node at once, or once this one has started again", (t) => {
  const toRetry = (hasOtherNodes: boolean): number => {
    const decision = decideDrainAdmission(
      { ...DRAIN, hasOtherNodes },
      CALL,
      0.5,
    );
    return decision.kind === "refuse" ? decision.retryAfterMilliseconds : -1;
  };
  t.is(toRetry(true), 100);
  t.is(toRetry(false), 6000 + 2250);
});

test("late in a drain no call starts that may not be repeated and may run beyond its end", (t) => {
  fc.assert(
    fc.property(
      fc.integer({ min: 3001, max: 60_000 }),
      fc.integer({ min: 0, max: 60_000 }),
      fc.integer({ min: 0, max: 60_000 }),
      fc.array(fc.nat(60_000), { maxLength: 64 }),
      (elapsedMilliseconds, leftMilliseconds, limitMilliseconds, durations) => {
        const decision = decideDrainAdmission(
          { ...DRAIN, elapsedMilliseconds, leftMilliseconds },
          { ...CALL, limitMilliseconds, durations },
          0,
        );
        return (decision.kind === "accept") ===
          (limitMilliseconds <= leftMilliseconds);
      },
    ),
    { seed: SEED },
  );
  t.pass();
});
