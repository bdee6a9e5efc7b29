import test from "ava";
import {
  readNodeName,
  readStart,
  toProcessIdentity,
} from "./process_identity.ts";

test("an identity gives back the node and the start", (t) => {
  const identity = toProcessIdentity("front-1", "9c41");
  t.is(readNodeName(identity), "front-1");
  t.is(readStart(identity), "9c41");
});

test("two processes of a node differ and name the same node", (t) => {
  const [first, second] = ["a", "b"].map((start) =>
    toProcessIdentity("n", start)
  );
  t.not(first, second);
  t.is(readNodeName(first ?? ""), readNodeName(second ?? ""));
});

test("what names no node is its own name", (t) => {
  t.is(readNodeName("owner"), "owner");
  t.is(readStart("owner"), "");
});
