import test from "ava";
import { createRandomSource } from "../utilities/random_source.ts";
import { choosePeer, type PeerCandidate } from "./peer_choice.ts";

const NODES: ReadonlyArray<PeerCandidate> = [
  { node: "a1", failureDomain: "a" },
  { node: "a2", failureDomain: "a" },
  { node: "b1", failureDomain: "b" },
  { node: "c1", failureDomain: "c" },
];

function listChoices(
  failureDomain: string,
  absent: ReadonlyArray<string> = [],
): ReadonlyArray<string> {
  const random = createRandomSource(1);
  const candidates = NODES.filter(({ node }) => !absent.includes(node));
  const chosen = Array.from(
    { length: 50 },
    () => choosePeer(candidates, { failureDomain, random })?.node,
  );
  return [...new Set(chosen)].map(String).sort();
}

test("nodes of the own failure domain come first", (t) => {
  t.deepEqual(listChoices("a"), ["a1", "a2"]);
});

test("without a node in the own failure domain, any other one is chosen", (t) => {
  t.deepEqual(listChoices("d"), ["a1", "a2", "b1", "c1"]);
  t.deepEqual(listChoices("a", ["a1", "a2"]), ["b1", "c1"]);
});

test("there may be no node", (t) => {
  t.deepEqual(listChoices("a", ["a1", "a2", "b1", "c1"]), ["undefined"]);
});

// All nodes of a failure domain are cut off and send each of their calls through another node.
test("replay: the calls of a failure domain that is cut off are spread over the other nodes", (t) => {
  const candidates = Array.from({ length: 20 }, (_, index) => ({
    node: `n${index}`,
    failureDomain: index % 2 === 0 ? "b" : "c",
  }));
  const counts = new Map<string, number>();
  for (let node = 0; node < 10; node += 1) {
    const random = createRandomSource(node);
    for (let call = 0; call < 200; call += 1) {
      const chosen = choosePeer(candidates, {
        failureDomain: "a",
        random,
      });
      const name = chosen?.node ?? "";
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
  }
  t.is(counts.size, 20);
  t.true(Math.max(...counts.values()) < 2 * (2000 / 20));
});
