import test from "ava";
import { type AcceptedStep, decideStep } from "./step_admission.ts";

const SAMPLES = 100;
const SLOTS = 50;
const SAMPLE_MILLISECONDS = 1000;
const LIFETIME_MILLISECONDS = 40_000;

interface ReplayOutcome {
  readonly accepted: number;
  readonly rejected: number;
  /** Number of accepted samples that did not run within their lifetime. */
  readonly expired: number;
}

// Submits steps to engines that run samples in the order of submission, and lets a rejected trainer
// return after the time that it was told.
function replay(
  intervalMilliseconds: number,
  isAdmissionUsed: boolean,
): ReplayOutcome {
  const open: AcceptedStep[] = [];
  const arrivals = Array.from(
    { length: 200 },
    (_unused, index) => index * intervalMilliseconds,
  );
  let engineFreeAt = 0;
  let lastReturnAt = 0;
  let rejected = 0;
  let expired = 0;
  for (let now = arrivals.shift(); now !== undefined; now = arrivals.shift()) {
    const decision = isAdmissionUsed
      ? decideStep({
        now,
        open,
        samples: SAMPLES,
        slots: SLOTS,
        sampleMilliseconds: SAMPLE_MILLISECONDS,
        lifetimeMilliseconds: LIFETIME_MILLISECONDS,
        lastReturnAt,
      })
      : { kind: "accept" as const };
    if (decision.kind === "reject") {
      rejected += 1;
      lastReturnAt = now + decision.retryAfterMilliseconds;
      if (arrivals.length > 0) {
        arrivals.push(now + decision.retryAfterMilliseconds);
        arrivals.sort((left, right) => left - right);
      }
      continue;
    }
    open.push({ submittedAt: now, samples: SAMPLES });
    // An expired sample has used slots until its lifetime ended.
    engineFreeAt = Math.max(engineFreeAt, now) +
      SAMPLES * SAMPLE_MILLISECONDS / SLOTS;
    const late = engineFreeAt - now - LIFETIME_MILLISECONDS;
    expired += Math.min(
      SAMPLES,
      Math.max(0, late * SLOTS / SAMPLE_MILLISECONDS),
    );
  }
  return { accepted: open.length, rejected, expired };
}

test("steps that the engines can run are never refused", (t) => {
  const { rejected, expired } = replay(2000, true);
  t.is(rejected, 0);
  t.is(expired, 0);
});

test("at twice the load, accepted steps run within their lifetime", (t) => {
  const before = replay(1000, false);
  const after = replay(1000, true);
  t.log({ before, after });
  t.true(before.expired > 0);
  t.is(after.expired, 0);
  // A trainer that was told when to return is seldom rejected again.
  t.true(after.rejected < 2 * 200, String(after.rejected));
  // The engines run a step each 2 s, and 20 more wait at the end.
  t.true(after.accepted >= 100, String(after.accepted));
});

const INPUT = {
  now: 10_000,
  open: [
    { submittedAt: 9000, samples: 1500 },
    { submittedAt: 0, samples: 500 },
  ],
  samples: 1000,
  slots: SLOTS,
  sampleMilliseconds: SAMPLE_MILLISECONDS,
  lifetimeMilliseconds: LIFETIME_MILLISECONDS,
  lastReturnAt: 0,
};

test("a rejected trainer is told when there is room", (t) => {
  // 1 s of the first step and 29 s of the second are open, and the new one needs 20 s.
  t.deepEqual(decideStep(INPUT), {
    kind: "reject",
    retryAfterMilliseconds: 10_000,
  });
  t.is(decideStep({ ...INPUT, now: 20_000 }).kind, "accept");
  t.deepEqual(decideStep({ ...INPUT, lastReturnAt: 25_000 }), {
    kind: "reject",
    retryAfterMilliseconds: 35_000,
  });
});

test("a step is accepted while there is no engine, and when nothing else is open", (t) => {
  t.is(decideStep({ ...INPUT, slots: 0 }).kind, "accept");
  t.is(decideStep({ ...INPUT, open: [], samples: 10_000 }).kind, "accept");
});

test("a step whose engines are all evacuated is rejected, however few steps are open", (t) => {
  const evacuated = { ...INPUT, slots: 0, evacuationRetryMilliseconds: 900 };
  for (const open of [[], INPUT.open]) {
    t.deepEqual(decideStep({ ...evacuated, open }), {
      kind: "reject",
      retryAfterMilliseconds: 900,
    });
  }
});
