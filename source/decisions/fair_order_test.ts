import test from "ava";
import fc from "fast-check";
import {
  countAhead,
  type FairRequest,
  NO_USE,
  orderFairly,
  RecentUse,
} from "./fair_order.ts";

const SEED = 11;
const COST_MILLISECONDS = 40;

interface NamedRequest extends FairRequest {
  readonly name: string;
}

function createRequest(
  name: string,
  organisation: string,
  arrivedAt: number,
): NamedRequest {
  return { name, organisation, arrivedAt };
}

test("use decays, so that an organisation is not put behind for long", (t) => {
  const use = new RecentUse();
  use.add("a", { milliseconds: 1000, now: 0 });
  t.is(use.get("a", 0), 1000);
  t.true(use.get("a", 10_000) < 400);
  t.is(use.get("b", 0), 0);
  use.add("b", { milliseconds: -50, now: 0 });
  t.is(use.get("b", 0), 0);
  t.deepEqual([...use.list(0).keys()], ["a"]);
  t.is(use.list(1_000_000).size, 0);
});

// Guards against a backlog that a small organisation has to wait for.
test("a single request goes before the backlog of a large organisation", (t) => {
  const backlog = Array.from(
    { length: 5 },
    (_unused, index) => createRequest(`large ${index}`, "large", index),
  );
  const ordered = orderFairly(
    [...backlog, createRequest("small", "small", 100)],
    { useOf: () => 0, costMilliseconds: COST_MILLISECONDS },
  );
  t.deepEqual(ordered.map(({ name }) => name), [
    "large 0",
    "small",
    "large 1",
    "large 2",
    "large 3",
    "large 4",
  ]);
});

test("with one organisation, the order is that of age", (t) => {
  const times = fc.array(fc.integer({ min: 0, max: 50 }), { maxLength: 30 });
  fc.assert(
    fc.property(times, (arrivals) => {
      const requests = arrivals.map((at, index) =>
        createRequest(String(index), "a", at)
      );
      const byAge = [...requests].sort((left, right) =>
        left.arrivedAt - right.arrivedAt
      );
      t.deepEqual(orderFairly(requests, { ...NO_USE, useOf: () => 7 }), byAge);
    }),
    { seed: SEED },
  );
});

test("more urgent requests at other nodes go before, and those of organisations with less use until it is equal", (t) => {
  const own = { level: 1, organisation: "a", use: 1000 };
  const use = {
    useOf: (name: string) => (name === "b" ? 400 : 900),
    costMilliseconds: COST_MILLISECONDS,
  };
  const count = (
    level: number,
    organisation: string,
    waiting: number,
  ): number => countAhead(own, [{ level, organisation, waiting }], use);
  t.is(count(0, "a", 7), 7);
  t.is(count(2, "b", 7), 0);
  t.is(count(1, "a", 7), 0);
  t.is(count(1, "b", 7), 7);
  // (1000 - 1.25 * 400 - 40) / 40 requests are let through before the uses are about the same.
  t.is(count(1, "b", 70), 11);
  // Uses that differ by less than the age of the heartbeats explains put nobody behind.
  t.is(count(1, "c", 7), 0);
});
