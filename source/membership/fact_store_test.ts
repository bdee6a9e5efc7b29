import test from "ava";
import fc from "fast-check";
import { create } from "@bufbuild/protobuf";
import {
  type FactBatch,
  FactBatchSchema,
  FactSchema,
  OriginRangeSchema,
} from "../../generated/snipepath/v1/peer_pb.ts";
import {
  applyPublication,
  createBatchAfter,
  createRevision,
  createStore,
  listFacts,
  type Publication,
} from "../../stand_ins/membership/fact_publications.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import type { FactKind } from "./replicated_facts.ts";

const SEED = 20261203;
const RUNS = 300;

const KINDS: ReadonlyArray<FactKind> = [
  "node",
  "backendServer",
  "keyWithdrawal",
  "configuration",
  "weightVersion",
  "usage",
  "step",
  "serviceReceived",
];

const publicationArbitrary: fc.Arbitrary<Publication> = fc.record({
  kind: fc.constantFrom(...KINDS),
  key: fc.nat(3),
  value: fc.nat(9),
});

const scheduleArbitrary = fc.record({
  publications: fc.array(
    fc.record({
      origin: fc.nat(2),
      publication: publicationArbitrary,
      from: fc.nat(8),
    }),
    { maxLength: 25 },
  ),
  order: fc.infiniteStream(fc.nat(1000)),
});

interface Schedule {
  readonly publications: ReadonlyArray<
    {
      readonly origin: number;
      readonly publication: Publication;
      readonly from: number;
    }
  >;
  readonly order: Iterable<number>;
}

/** Delivers the facts of three origins late, twice and reordered, then the whole log of each origin once. */
function deliver({ publications, order }: Schedule, shuffled: boolean): {
  readonly state: ReadonlyArray<string>;
  readonly hasRegressed: boolean;
} {
  const clock = new ManualClock();
  const origins = ["a", "b", "c"].map((name) => createStore(name, clock).store);
  const { store } = createStore("receiver", clock);
  const batches: FactBatch[] = [];
  for (const { origin, publication, from } of publications) {
    const publisher = origins[origin];
    if (publisher === undefined) continue;
    applyPublication(publisher, publication);
    batches.push(
      createBatchAfter(publisher, from),
      createBatchAfter(publisher, 0),
    );
  }
  const random = order[Symbol.iterator]();
  const ranked = batches.map((batch) => ({
    batch,
    rank: shuffled ? Number(random.next().value) : 0,
  }));
  ranked.sort((left, right) => left.rank - right.rank);
  let hasRegressed = false;
  let revision = 0n;
  let withdrawn = 0;
  for (const { batch } of [...ranked, ...ranked.slice(0, 5)]) {
    store.applyBatch(batch);
    const [held] = store.facts("configuration");
    const now = held?.value.record?.revision ?? 0n;
    const count = store.facts("keyWithdrawal").length;
    hasRegressed ||= now < revision || count < withdrawn;
    revision = now;
    withdrawn = count;
  }
  for (const origin of origins) store.applyBatch(createBatchAfter(origin, 0));
  return { state: listFacts(store), hasRegressed };
}

test("late, duplicated and reordered facts give the same state", (t) => {
  fc.assert(
    fc.property(scheduleArbitrary, (schedule) => {
      const inOrder = deliver(schedule, false);
      const shuffled = deliver(schedule, true);
      t.false(inOrder.hasRegressed || shuffled.hasRegressed);
      t.deepEqual(shuffled.state, inOrder.state);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test("a gap in an origin's log is requested and filled", (t) => {
  const clock = new ManualClock();
  const origin = createStore("a", clock).store;
  const { store } = createStore("receiver", clock);
  for (const key of [0, 1, 2, 3]) {
    applyPublication(origin, { kind: "node", key, value: 1 });
  }
  const missing = store.applyBatch(createBatchAfter(origin, 2));
  t.deepEqual(missing, [{ origin: "a", start: "a-start", through: 0 }]);
  t.deepEqual(store.applyBatch(createBatchAfter(origin, 0)), []);
  t.is(store.facts("node").length, 4);
});

test("an expired origin keeps only its usage, and an old batch does not reactivate it", async (t) => {
  const clock = new ManualClock();
  const origin = createStore("a", clock).store;
  const { store } = createStore("receiver", clock);
  applyPublication(origin, { kind: "node", key: 0, value: 1 });
  applyPublication(origin, { kind: "usage", key: 0, value: 7 });
  applyPublication(origin, { kind: "keyWithdrawal", key: 0, value: 1 });
  const old = createBatchAfter(origin, 0);
  store.applyBatch(old);
  await clock.advance(10_001);
  store.expireOrigins();
  const afterExpiry = listFacts(store);
  store.applyBatch(old);
  t.deepEqual(listFacts(store), afterExpiry);
  t.is(store.originAgeMilliseconds("a", "a-start"), Infinity);
  applyPublication(origin, { kind: "node", key: 1, value: 2 });
  const through = [...origin.logs()][0]?.through ?? 0;
  t.is(store.applyBatch(createBatchAfter(origin, through - 1)).length, 1);
  store.applyBatch(createBatchAfter(origin, 0));
  t.snapshot({ afterExpiry, afterReactivation: listFacts(store) });
});

test("a fact received with an age expires earlier by that age", async (t) => {
  const clock = new ManualClock();
  const origin = createStore("a", clock).store;
  const { store } = createStore("receiver", clock);
  applyPublication(origin, { kind: "node", key: 0, value: 1 });
  const batch = createBatchAfter(origin, 0);
  for (const range of batch.ranges) range.ageMilliseconds = 9000;
  store.applyBatch(batch);
  t.is(store.originAgeMilliseconds("a", "a-start"), 9000);
  await clock.advance(1001);
  store.expireOrigins();
  t.deepEqual(listFacts(store), []);
});

test("the remaining facts of an expired origin do not count as its whole log", (t) => {
  const clock = new ManualClock();
  const origin = createStore("a", clock).store;
  const { store } = createStore("receiver", clock);
  applyPublication(origin, { kind: "node", key: 0, value: 1 });
  applyPublication(origin, { kind: "usage", key: 0, value: 7 });
  const whole = createBatchAfter(origin, 0);
  const remaining = create(FactBatchSchema, {
    facts: whole.facts.filter(({ value }) => value.case === "usage"),
    ranges: whole.ranges.map((each) => ({ ...each, ended: true })),
  });
  store.applyBatch(remaining);
  t.is(store.facts("usage").length, 1);
  applyPublication(origin, { kind: "node", key: 1, value: 1 });
  t.is(store.applyBatch(createBatchAfter(origin, 2)).length, 1);
  store.applyBatch(remaining);
  t.is(store.applyBatch(createBatchAfter(origin, 2)).length, 1);
  store.applyBatch(createBatchAfter(origin, 0));
  t.is(store.facts("node").length, 2);
});

const range = create(OriginRangeSchema, {
  origin: "a",
  originStart: "s",
  from: 0n,
  through: 5n,
});

const INVALID_BATCHES: Readonly<Record<string, FactBatch>> = {
  "this node's own log": create(FactBatchSchema, {
    facts: [
      create(FactSchema, {
        origin: "receiver",
        originStart: "receiver-start",
        version: 9n,
        key: "k",
        value: { case: "node", value: {} },
      }),
    ],
    ranges: [
      { origin: "receiver", originStart: "receiver-start", through: 9n },
    ],
  }),
  "a fact of an origin without a range": create(FactBatchSchema, {
    facts: [fact("b", { case: "node", value: {} })],
  }),
  "a fact without a value": create(FactBatchSchema, {
    facts: [fact("a", { case: undefined })],
    ranges: [range],
  }),
  "a configuration that does not match its digest": create(FactBatchSchema, {
    facts: [
      fact("a", {
        case: "configuration",
        value: { record: { ...createRevision(3), digest: "00" } },
      }, "configuration"),
    ],
  }),
  "a configuration under another key": create(FactBatchSchema, {
    facts: [
      fact("a", {
        case: "configuration",
        value: { record: createRevision(3) },
      }, "other"),
    ],
  }),
  "a retracted withdrawal": create(FactBatchSchema, {
    facts: [
      fact("a", { case: "retraction", value: { kind: "keyWithdrawal" } }),
    ],
  }),
  "a retraction of an unknown kind": create(FactBatchSchema, {
    facts: [fact("a", { case: "retraction", value: { kind: "toString" } })],
    ranges: [range],
  }),
  "a version above the largest safe integer": create(FactBatchSchema, {
    facts: [
      { ...fact("a", { case: "node", value: {} }), version: 2n ** 64n - 1n },
    ],
    ranges: [{ ...range, through: 2n ** 64n - 1n }],
  }),
  "a key that is too long": create(FactBatchSchema, {
    facts: [fact("a", { case: "node", value: {} }, "k".repeat(100_000))],
    ranges: [range],
  }),
};

function fact(
  origin: string,
  value: Parameters<typeof create<typeof FactSchema>>[1] extends
    | { value?: infer Value }
    | undefined ? Value
    : never,
  key = "k",
): ReturnType<typeof create<typeof FactSchema>> {
  return create(FactSchema, {
    origin,
    originStart: "s",
    version: 1n,
    key,
    value: value as never,
  });
}

for (const [name, batch] of Object.entries(INVALID_BATCHES)) {
  test(`rejected: ${name}`, (t) => {
    const { store } = createStore("receiver", new ManualClock());
    applyPublication(store, { kind: "keyWithdrawal", key: 1, value: 1 });
    const before = listFacts(store);
    store.applyBatch(batch);
    t.deepEqual(listFacts(store), before);
  });
}
