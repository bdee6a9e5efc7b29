import test from "ava";
import fc from "fast-check";
import {
  decideGrowth,
  type MemoryHolder,
  SMALL_BODY_BYTES,
  toClientMemoryLimits,
} from "./client_memory.ts";

const SEED = 43;
const MEGABYTE = 1024 * 1024;
const NOW = 100_000;
const LIMITS = toClientMemoryLimits({
  memoryBytes: 210 * MEGABYTE,
  descriptors: 8200,
});
const LARGE = MEGABYTE;

function toHolder(
  number: number,
  more: Partial<MemoryHolder> = {},
): MemoryHolder {
  return {
    number,
    organisation: "a",
    bytes: LARGE,
    state: "reading",
    progressAt: NOW,
    ...more,
  };
}

function decide(
  holder: MemoryHolder,
  others: ReadonlyArray<MemoryHolder>,
  { bytes = 16_384, isPressed = false, usedBytes = LIMITS.sumBytes } = {},
): unknown {
  const decision = decideGrowth({ holder, bytes, now: NOW }, {
    limits: LIMITS,
    usedBytes,
    isPressed,
    holders: [holder, ...others],
  });
  return decision.kind === "release" ? decision.number : decision.kind;
}

test("the limits follow from the memory and the descriptors of the instance", (t) => {
  t.deepEqual(LIMITS, {
    sumBytes: 40 * MEGABYTE,
    largeBytes: 30 * MEGABYTE,
    connections: 320,
  });
  const small = { memoryBytes: 160 * MEGABYTE, descriptors: 100 };
  t.deepEqual(toClientMemoryLimits(small), {
    sumBytes: 16 * MEGABYTE,
    largeBytes: 12 * MEGABYTE,
    connections: 60,
  });
});

test("memory is granted while the sum allows it, the last part to small bodies only", (t) => {
  const small = toHolder(1, { bytes: 0 });
  const others = [toHolder(2), toHolder(3)];
  const usedBytes = 35 * MEGABYTE;
  t.is(decide(small, others, { usedBytes }), "grant");
  t.is(decide(toHolder(1), others, { usedBytes }), "wait");
});

test("a single large request is served although the sum is full", (t) => {
  const others = [toHolder(2, { bytes: SMALL_BODY_BYTES, state: "whole" })];
  t.is(decide(toHolder(1), others), "grant");
  t.is(decide(toHolder(1), others, { isPressed: true }), "grant");
});

// Guards against a single large request that shuts out all others on a small instance.
test("a large request beyond its part leaves small ones theirs", (t) => {
  const others = [toHolder(2, { bytes: 64 * MEGABYTE, state: "whole" })];
  const usedBytes = 64 * MEGABYTE;
  t.is(decide(toHolder(1, { bytes: 0 }), others, { usedBytes }), "grant");
  t.is(decide(toHolder(1), others, { usedBytes }), "wait");
});

test("close to the memory of the instance, only small bodies grow", (t) => {
  const others = [toHolder(2), toHolder(3)];
  const pressed = { usedBytes: 0, isPressed: true };
  t.is(decide(toHolder(1, { bytes: 0 }), others, pressed), "grant");
  t.is(decide(toHolder(1), others, pressed), "wait");
});

const CASES: Readonly<
  Record<
    string,
    {
      readonly others: ReadonlyArray<MemoryHolder>;
      readonly expected: unknown;
    }
  >
> = {
  "the body without progress for longest": {
    others: [
      toHolder(2, { progressAt: NOW - 1500 }),
      toHolder(3, { progressAt: NOW - 3000 }),
      toHolder(4),
    ],
    expected: 3,
  },
  "an answer that is not read": {
    others: [
      toHolder(2, { progressAt: NOW - 4000, state: "answering" }),
      toHolder(3, { progressAt: NOW - 5000, state: "answering" }),
    ],
    expected: 3,
  },
  "the latest body of an organisation that holds more than its share": {
    others: [
      toHolder(2, { organisation: "b", bytes: 20 * MEGABYTE }),
      toHolder(3, { organisation: "b", bytes: 18 * MEGABYTE }),
      toHolder(4, {
        organisation: "b",
        bytes: 20 * MEGABYTE,
        state: "whole",
      }),
    ],
    expected: 3,
  },
  "the latest one if all large ones wait": {
    others: [
      toHolder(2, { state: "waiting", progressAt: 0 }),
      toHolder(3, { state: "waiting", progressAt: 0 }),
    ],
    expected: 3,
  },
  "none while another one makes progress": {
    others: [toHolder(2, { state: "waiting" }), toHolder(3)],
    expected: "wait",
  },
  "none that may run": {
    others: [toHolder(2, { state: "whole", progressAt: 0 })],
    expected: "wait",
  },
};

for (const [title, { others, expected }] of Object.entries(CASES)) {
  test(`when the sum is full, ${title} gives way`, (t) => {
    t.is(decide(toHolder(1), others), expected);
  });
}

// Guards against a node whose bodies all wait for each other, and against ending a request that runs.
test("whatever others hold, a whole body never gives way and the earliest waiting one gets on", (t) => {
  const holder = fc.record({
    organisation: fc.constantFrom("a", "b", "c"),
    bytes: fc.integer({ min: 0, max: 20 * MEGABYTE }),
    state: fc.constantFrom("waiting" as const, "whole" as const),
    progressAt: fc.integer({ min: 0, max: NOW }),
  });
  fc.assert(
    fc.property(fc.array(holder, { maxLength: 12 }), (others) => {
      const held = others.map((each, index) => ({
        ...each,
        number: index + 2,
      }));
      const first = toHolder(1, { state: "waiting" });
      const decision = decide(first, held);
      const released = held.find(({ number }) => number === decision);
      if (released?.state === "whole") return false;
      const isBlocked = held.some(({ state, bytes }) =>
        state === "whole" && bytes > SMALL_BODY_BYTES
      );
      return decision !== 1 && (isBlocked || decision !== "wait");
    }),
    { seed: SEED },
  );
  t.pass();
});
