import test from "ava";
import fc from "fast-check";
import { createRandomSource } from "../utilities/random_source.ts";
import { type ListedNode, orderAddresses } from "./address_order.ts";

const RANDOM_SEED = 20261206;
const DRAWS = 3000;

test("nodes of the caller's failure domain come first, leaving nodes are omitted, and each remaining node is listed exactly once", (t) => {
  const nodeArbitrary = fc.record({
    failureDomain: fc.constantFrom("cluj-a", "iasi-b"),
    leaving: fc.boolean(),
    loadPermille: fc.nat(1000),
  });
  fc.assert(
    fc.property(fc.array(nodeArbitrary), fc.nat(), (generated, seed) => {
      const nodes = generated.map((each, index) => ({
        ...each,
        node: `node-${index}`,
        address: "",
      }));
      const ordered = orderAddresses(nodes, {
        failureDomain: "iasi-b",
        random: createRandomSource(seed),
      });
      const staying = nodes.filter(({ leaving }) => !leaving);
      t.deepEqual(listNames(ordered).sort(), listNames(staying).sort());
      const firstOtherIndex = ordered.findIndex(({ failureDomain }) =>
        failureDomain !== "iasi-b"
      );
      const rest = firstOtherIndex < 0 ? [] : ordered.slice(firstOtherIndex);
      t.true(rest.every(({ failureDomain }) => failureDomain === "cluj-a"));
    }),
    { seed: RANDOM_SEED },
  );
});

test("a node is listed first with a probability proportional to its free capacity", (t) => {
  const nodes = [0, 500, 900].map((loadPermille, index) => ({
    node: `node-${index}`,
    address: "",
    failureDomain: "cluj-a",
    leaving: false,
    loadPermille,
  }));
  const random = createRandomSource(RANDOM_SEED);
  const firstPlaceCounts = new Map<string, number>();
  for (let draw = 0; draw < DRAWS; draw += 1) {
    const [chosen] = orderAddresses(nodes, { failureDomain: "", random });
    const name = chosen?.node ?? "";
    firstPlaceCounts.set(name, (firstPlaceCounts.get(name) ?? 0) + 1);
  }
  t.snapshot([...firstPlaceCounts].sort());
});

function listNames(nodes: ReadonlyArray<ListedNode>): string[] {
  return nodes.map(({ node }) => node);
}
