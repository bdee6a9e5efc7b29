import { create } from "@bufbuild/protobuf";
import test from "ava";
import fc from "fast-check";
import {
  type Sample,
  SampleSchema,
  StepManifestSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import { StepReplica } from "./step_replica.ts";
import { SampleBitmap } from "./sample_bitmap.ts";

const MANIFEST = create(StepManifestSchema, {
  trainer: "dots",
  step: "17",
  groups: [{ prompt: "one", samples: 3, maximumTokens: 8 }],
});

interface SampleParts {
  readonly index: number;
  readonly version: number;
  readonly text: string;
}

function toSample({ index, version, text }: SampleParts): Sample {
  return create(SampleSchema, {
    index,
    group: 0,
    text,
    stretches: [{ weightVersion: BigInt(version), tokens: 8 }],
  });
}

function mergeAll(samples: ReadonlyArray<Sample>): ReadonlyArray<Sample> {
  const step = new StepReplica(MANIFEST, new ManualClock());
  for (const sample of samples) step.merge(sample, { isDeliverable: true });
  return step.samples();
}

const SAMPLE = fc.record({
  index: fc.nat(2),
  version: fc.integer({ min: 1, max: 3 }),
  text: fc.constantFrom("a", "b", "c"),
}).map(toSample);

test("merging samples in any order gives the same result", (t) => {
  const originalAndShuffled = fc.array(SAMPLE, { maxLength: 12 }).chain((
    samples,
  ) =>
    fc.tuple(
      fc.constant(samples),
      fc.shuffledSubarray(samples, { minLength: samples.length }),
    )
  );
  fc.assert(
    fc.property(originalAndShuffled, ([left, right]) => {
      t.deepEqual(mergeAll(left), mergeAll(right));
    }),
    { seed: 4, numRuns: 300 },
  );
});

test("of two samples with the same index, the one with newer weights is kept", (t) => {
  const older = toSample({ index: 1, version: 1, text: "a" });
  const newer = toSample({ index: 1, version: 2, text: "b" });
  t.deepEqual(mergeAll([older, newer]), [newer]);
  t.deepEqual(mergeAll([newer, older]), [newer]);
});

test("samples that do not belong to the step are refused", (t) => {
  const step = new StepReplica(MANIFEST, new ManualClock());
  const good = toSample({ index: 0, version: 1, text: "a" });
  const bad = [
    { ...good, index: 3 },
    { ...good, index: -1 },
    { ...good, group: 1 },
    { ...good, stretches: [] },
  ];
  for (const sample of bad) {
    t.is(step.merge(sample, { isDeliverable: true }), "refused");
  }
  t.is(step.merge(good, { isDeliverable: true }), "added");
  step.end();
  t.is(step.merge(good, { isDeliverable: true }), "refused");
});

test("a bitmap survives encoding and rejects bytes that do not match its size", (t) => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 70 }),
      fc.array(fc.nat(80)),
      (size, indices) => {
        const bitmap = SampleBitmap.empty(size).with(indices);
        const wanted = new Set(indices.filter((index) => index < size));
        t.is(bitmap.count(), wanted.size);
        t.deepEqual(SampleBitmap.fromBytes(size, bitmap.toBytes()), bitmap);
      },
    ),
    { seed: 5, numRuns: 200 },
  );
  t.is(SampleBitmap.fromBytes(9, new Uint8Array([1])), undefined);
  t.is(SampleBitmap.fromBytes(9, new Uint8Array([0, 2])), undefined);
  t.not(SampleBitmap.fromBytes(9, new Uint8Array([0, 1])), undefined);
});
