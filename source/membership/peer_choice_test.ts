import test from "ava";
import fc from "fast-check";
import { choosePeers, type PeerCandidate } from "./peer_choice.ts";
import { quantise } from "./load_quantisation.ts";
import { createRendezvous } from "./rendezvous.ts";

const SEED = 20261203;

function createNodes(count: number, domainCount: number): PeerCandidate[] {
  return Array.from({ length: count }, (_none, index) => ({
    node: `node-${index}`,
    failureDomain: `domain-${index % domainCount}`,
    peerAddress: `10.0.0.${index}:7000`,
  }));
}

function countNodesReachedFromFirst(
  edges: ReadonlyMap<string, ReadonlySet<string>>,
): number {
  const reached = new Set(["node-0"]);
  const queue = ["node-0"];
  for (let node = queue.pop(); node !== undefined; node = queue.pop()) {
    for (const next of edges.get(node) ?? []) {
      if (reached.has(next)) continue;
      reached.add(next);
      queue.push(next);
    }
  }
  return reached.size;
}

test("each node chooses at most 6 peers, at least one in each failure domain, and the choices connect all nodes", async (t) => {
  const rendezvous = await createRendezvous();
  fc.assert(
    fc.property(
      fc.integer({ min: 2, max: 120 }),
      fc.integer({ min: 1, max: 5 }),
      (count, domainCount) => {
        const nodes = createNodes(count, domainCount);
        const edges = new Map(
          nodes.map(({ node }) => [node, new Set<string>()]),
        );
        for (const { node } of nodes) {
          const others = nodes.filter((other) => other.node !== node);
          const chosen = choosePeers(others, { node, streams: 6, rendezvous });
          t.true(chosen.length <= 6);
          t.is(chosen.length, Math.min(6, others.length));
          const reached = new Set(chosen.map((peer) => peer.failureDomain));
          const wanted = new Set(others.map((peer) => peer.failureDomain));
          t.is(reached.size, wanted.size);
          for (const peer of chosen) {
            edges.get(node)?.add(peer.node);
            edges.get(peer.node)?.add(node);
          }
        }
        t.is(countNodesReachedFromFirst(edges), count);
      },
    ),
    { seed: SEED, numRuns: 30 },
  );
});

test("the removal of a node changes few of the other nodes' choices", async (t) => {
  const rendezvous = await createRendezvous();
  const nodes = createNodes(100, 3);
  let changedCount = 0;
  for (const { node } of nodes.slice(1)) {
    const options = { node, streams: 6, rendezvous };
    const others = nodes.filter((other) => other.node !== node);
    const before = choosePeers(others, options).map((peer) => peer.node);
    const remaining = others.filter((other) => other.node !== "node-0");
    const after = choosePeers(remaining, options).map((peer) => peer.node);
    changedCount += after.filter((name) => !before.includes(name)).length;
  }
  t.true(changedCount < 20, `${changedCount} streams changed`);
});

test("quantise rounds large figures to steps and keeps small figures exact", (t) => {
  const values = [0, 1, 7, 8, 9, 10, 12, 50, 100, 1000, -3, Number.NaN];
  t.snapshot(values.map((value) => [value, quantise(value)]));
});
