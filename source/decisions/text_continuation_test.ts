import test from "ava";
import { toContinuationPatience } from "./text_continuation.ts";

const TEXT = {
  events: 40,
  eventMilliseconds: 35,
  isVersionServing: true,
  isOtherServing: true,
};

test("a text waits for its software version as long as its events took", (t) => {
  t.is(toContinuationPatience(TEXT), 1400);
  t.is(toContinuationPatience({ ...TEXT, events: 1 }), 35);
});

test("a text is generated again at once when its software version has gone", (t) => {
  t.is(toContinuationPatience({ ...TEXT, isVersionServing: false }), 0);
});

test("a text waits while no other software version could generate it", (t) => {
  t.is(toContinuationPatience({ ...TEXT, isOtherServing: false }), Infinity);
  const none = { ...TEXT, isVersionServing: false, isOtherServing: false };
  t.is(toContinuationPatience(none), Infinity);
});

// Replays a release in which the version's last engine returns after a while or never.
test("waiting and generating again cost at most twice the better choice", (t) => {
  for (const events of [1, 10, 80, 200]) {
    for (const returnsAfter of [0, 100, 700, 2500, 6000, Infinity]) {
      const patience = toContinuationPatience({ ...TEXT, events });
      const again = events * TEXT.eventMilliseconds;
      const cost = returnsAfter <= patience ? returnsAfter : patience + again;
      t.true(cost <= 2 * Math.min(returnsAfter, again));
    }
  }
});
