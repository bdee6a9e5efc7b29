import test from "ava";
import { ManualClock } from "../utilities/manual_clock.ts";
import { SharedClock } from "./shared_clock.ts";

const START = 1_800_000_000_000;

interface Fixture {
  readonly own: ManualClock;
  readonly shared: SharedClock;
  readonly others: number[];
}

function createFixture(): Fixture {
  const own = new ManualClock(START);
  // The store's time is 5000 ms at the start.
  const others = [START - 5000, START - 5010, START - 4990, START - 5000];
  const shared = new SharedClock({ clock: own, otherOffsets: () => others });
  return { own, shared, others };
}

test("before the store has answered, the node's own clock is used", (t) => {
  t.is(createFixture().shared.wall(), START);
});

for (const step of [-2400, 2400, 3_600_000]) {
  test(`a step of the node's clock by ${step} ms does not change the agreed time`, async (t) => {
    const { own, shared } = createFixture();
    shared.recordStoreTime(5000);
    await own.advance(1000);
    own.stepWall(step);
    t.is(shared.wall(), START + 1000);
    t.is(shared.ownOffset, START - 5000 + step);
  });
}

test("steps of fewer than half of the nodes' clocks do not change the agreed time", (t) => {
  const { shared, others } = createFixture();
  shared.recordStoreTime(5000);
  others.push(START - 5000 + 2400, START - 5000 + 2400);
  t.is(shared.wall(), START);
});

test("delayed answers of the store do not set the time back", async (t) => {
  const { own, shared } = createFixture();
  shared.recordStoreTime(5000);
  await own.advance(1000);
  shared.recordStoreTime(5400);
  t.is(shared.wall(), START + 1000);
});

test("a suspension that the monotonic clock did not count is corrected by the next answer", async (t) => {
  const { own, shared } = createFixture();
  shared.recordStoreTime(5000);
  await own.advance(1000);
  // The node was suspended for 4 s.
  own.stepWall(4000);
  shared.recordStoreTime(10_000);
  t.is(shared.wall(), START + 5000);
});

test("with fewer than three known clocks, the node's own clock is used", (t) => {
  const { own, shared, others } = createFixture();
  others.length = 1;
  shared.recordStoreTime(5000);
  own.stepWall(700);
  t.is(shared.wall(), START + 700);
});

for (const offset of [9e15, -9e15, Infinity]) {
  // Guards against a time that is no date: counting from it, loops do not end.
  test(`an offset of ${offset} ms in the rows of most nodes does not change the time`, (t) => {
    const { shared, others } = createFixture();
    others.splice(0, others.length, offset, offset, offset);
    shared.recordStoreTime(5000);
    t.is(shared.wall(), START);
  });
}
