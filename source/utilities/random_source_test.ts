import test from "ava";
import { createRandomSource } from "./random_source.ts";

test("the same seed gives the same numbers", (t) => {
  const random = createRandomSource(7);
  t.snapshot(Array.from({ length: 5 }, () => random.nextBelow(1000)));
});
