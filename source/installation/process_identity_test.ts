import test from "ava";
import {
  readNodeName,
  readStart,
  toProcessIdentity,
} from "./process_identity.ts";

test("an identity contains the node's name and the start", (t) => {
  const identity = toProcessIdentity("front-1", "9c41");
  t.is(readNodeName(identity), "front-1");
  t.is(readStart(identity), "9c41");
});

test("two processes of a node have different identities with the same node name", (t) => {
  const [first, second] = ["a", "b"].map((start) =>
    toProcessIdentity("n", start)
  );
  t.not(first, second);
  t.is(readNodeName(first ?? ""), readNodeName(second ?? ""));
});

test("an identity without a separator is its own node name", (t) => {
  t.is(readNodeName("owner"), "owner");
  t.is(readStart("owner"), "");
});
