import test from "ava";
import fc from "fast-check";
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import {
  HelloSchema,
  type PeerMessage,
  PeerMessageSchema,
} from "../../generated/snipepath/v1/peer_pb.ts";
import {
  applyPublication,
  createStore,
  listFacts,
} from "../../stand_ins/membership/fact_publications.ts";
import type { Clock } from "../utilities/clock.ts";
import { ManualClock } from "../utilities/manual_clock.ts";
import type { FactStore } from "./fact_store.ts";
import { FeedSelector } from "./feed_selector.ts";
import { KeyFreshnessTracker } from "./key_freshness_tracker.ts";
import { PeerSession } from "./peer_session.ts";

const SEED = 20261203;
const HEARTBEAT_MILLISECONDS = 500;

interface Side {
  readonly store: FactStore;
  readonly freshness: KeyFreshnessTracker;
  readonly session: PeerSession;
}

function createSide(node: string, clock: Clock): Side {
  const { store } = createStore(node, clock);
  const freshness = new KeyFreshnessTracker(clock);
  return { store, freshness, session: openSession(store, freshness, clock) };
}

function openSession(
  store: FactStore,
  freshness: KeyFreshnessTracker,
  clock: Clock,
): PeerSession {
  return new PeerSession({
    store,
    freshness,
    clock,
    feeds: new FeedSelector(),
    heartbeatMilliseconds: HEARTBEAT_MILLISECONDS,
    hello: () => create(HelloSchema, { node: "any" }),
    onHello: () => {},
  });
}

/** Delivers the messages of one side to the other with a delay until the session ends. */
async function deliver(from: Side, to: Side, channel: Channel): Promise<void> {
  for await (const message of from.session.messages()) {
    void channel.clock.sleep(channel.delay()).then(() =>
      to.session.receive(message)
    );
  }
}

interface Channel {
  readonly clock: Clock;
  readonly delay: () => number;
}

const small = fc.bigInt({ min: 0n, max: 20n });
const anyNumber = fc.oneof(small, fc.bigInt({ min: 0n, max: 2n ** 64n - 1n }));
const name = fc.constantFrom("a", "b", "receiver", "receiver-start", "s", "");
const count = fc.nat(0xffff_ffff);

const value = fc.oneof(
  fc.record({
    case: fc.constant("node" as const),
    value: fc.record({ address: name, leaving: fc.boolean() }),
  }),
  fc.record({
    case: fc.constant("backendServer" as const),
    value: fc.record({
      startIdentity: name,
      running: count,
      weightVersions: fc.array(anyNumber, { maxLength: 70 }),
      leaving: fc.boolean(),
    }),
  }),
  fc.record({
    case: fc.constant("configuration" as const),
    value: fc.record({
      record: fc.record({ revision: anyNumber, digest: name }),
    }),
  }),
  fc.record({
    case: fc.constant("usage" as const),
    value: fc.record({}),
  }),
  fc.record({
    case: fc.constant("retraction" as const),
    value: fc.record({ kind: fc.constantFrom("node", "x", "__proto__") }),
  }),
  fc.constant({ case: undefined }),
);

const fact = fc.record({
  origin: name,
  originStart: name,
  version: anyNumber,
  key: name,
  value,
});

const range = fc.record({
  origin: name,
  originStart: name,
  from: anyNumber,
  through: anyNumber,
  ageMilliseconds: count,
});

const message = fc.oneof(
  fc.record({ node: name, nodeStart: name }).map((hello) => ({
    content: { case: "hello" as const, value: hello },
  })),
  fc.record({
    facts: fc.array(fact, { maxLength: 5 }),
    ranges: fc.array(range, { maxLength: 5 }),
  }).map((batch) => ({ content: { case: "facts" as const, value: batch } })),
  fc.record({
    versions: fc.array(
      fc.record({ origin: name, originStart: name, version: anyNumber }),
    ),
    complete: fc.boolean(),
  }).map((summary) => ({
    content: { case: "summary" as const, value: summary },
  })),
  fc.record({
    sequence: anyNumber,
    echoSequence: anyNumber,
    tableAgeMilliseconds: anyNumber,
    sharedDigest: count,
  }).map((heartbeat) => ({
    content: { case: "heartbeat" as const, value: heartbeat },
  })),
  fc.constant({ content: { case: undefined } }),
);

function toMessage(plain: unknown): PeerMessage {
  const shape = plain as MessageInitShape<typeof PeerMessageSchema>;
  return create(PeerMessageSchema, shape);
}

test("random messages neither stop a node nor change its own facts", async (t) => {
  await fc.assert(
    fc.asyncProperty(fc.array(message, { maxLength: 20 }), async (plain) => {
      const clock = new ManualClock();
      const { store, freshness, session } = createSide("receiver", clock);
      applyPublication(store, { kind: "node", key: 1, value: 1 });
      applyPublication(store, { kind: "keyWithdrawal", key: 1, value: 1 });
      const own = listFacts(store);
      const messages = session.messages();
      for (const each of plain) {
        session.receive(toMessage(each));
        const next = messages.next();
        await clock.advance(HEARTBEAT_MILLISECONDS + 200);
        await next;
        store.expireOrigins();
      }
      session.end();
      await messages.return(undefined);
      for (const line of own) t.true(listFacts(store).includes(line));
      t.deepEqual(store.facts("configuration"), []);
      t.true(freshness.ageMilliseconds() >= 0);
    }),
    { seed: SEED, numRuns: 100 },
  );
});

test("the ages of views of keys add up over peers and are never underestimated", async (t) => {
  const clock = new ManualClock();
  const [first, middle, last] = ["first", "middle", "last"].map((node) =>
    createSide(node, clock)
  );
  if (first === undefined || middle === undefined || last === undefined) return;
  const channel = { clock, delay: () => 700 };
  const second = {
    ...middle,
    session: openSession(middle.store, middle.freshness, clock),
  };
  const pairs: ReadonlyArray<readonly [Side, Side]> = [
    [first, middle],
    [middle, first],
    [second, last],
    [last, second],
  ];
  const deliveries = pairs.map(([from, to]) => deliver(from, to, channel));
  let tableReadAt = 0;
  let checks = 0;
  for (let step = 0; step < 60; step += 1) {
    if (step < 20) {
      tableReadAt = clock.monotonic();
      first.freshness.recordTableRead(tableReadAt);
    }
    await clock.advance(250);
    const age = clock.monotonic() - tableReadAt;
    for (const side of [middle, last]) {
      t.true(side.freshness.ageMilliseconds() >= age);
      if (side.freshness.ageMilliseconds() < age + 8000) checks += 1;
    }
  }
  t.true(checks > 40);
  for (const { session } of [first, middle, second, last]) session.end();
  await clock.advance(1000);
  await Promise.all(deliveries);
});

test("a delayed heartbeat does not confirm a view newer than its time of sending", async (t) => {
  const clock = new ManualClock();
  const [left, right] = ["left", "right"].map((node) =>
    createSide(node, clock)
  );
  if (left === undefined || right === undefined) return;
  let delay = 10;
  const channel = { clock, delay: () => delay };
  const deliveries = [
    deliver(left, right, channel),
    deliver(right, left, channel),
  ];
  left.freshness.recordTableRead(clock.monotonic());
  await clock.advance(2000);
  delay = 20_000;
  left.freshness.recordTableRead(clock.monotonic());
  await clock.advance(600);
  const before = right.freshness.ageMilliseconds();
  await clock.advance(20_000);
  t.true(right.freshness.ageMilliseconds() >= 20_000);
  t.true(before < 4000);
  left.session.end();
  right.session.end();
  await clock.advance(30_000);
  await Promise.all(deliveries);
});

test("a withdrawal is sent before the heartbeat that confirms it", async (t) => {
  const clock = new ManualClock();
  const { store, session } = createSide("publisher", clock);
  const cases: string[] = [];
  const reading = (async () => {
    for await (const { content } of session.messages()) {
      cases.push(content.case ?? "");
    }
  })();
  await clock.advance(HEARTBEAT_MILLISECONDS - 50);
  applyPublication(store, { kind: "keyWithdrawal", key: 1, value: 1 });
  await clock.advance(HEARTBEAT_MILLISECONDS);
  session.end();
  await clock.advance(HEARTBEAT_MILLISECONDS);
  await reading;
  t.snapshot(cases);
});
