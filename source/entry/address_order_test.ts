import test from "ava";
import fc from "fast-check";
import { createRandomSource } from "../utilities/random_source.ts";
import { type ListedNode, orderAddresses } from "./address_order.ts";

const RANDOM_SEED = 20261206;
const DRAWS = 3000;

test("nearby nodes come first, leaving ones not at all, and each other one once", (t) => {
  const node = fc.record({
    failureDomain: fc.constantFrom("cluj-a", "iasi-b"),
    leaving: fc.boolean(),
    loadPermille: fc.nat(1000),
  });
  fc.assert(
    fc.property(fc.array(node), fc.nat(), (described, seed) => {
      const nodes = described.map((each, index) => ({
        ...each,
        node: `node-${index}`,
        address: "",
      }));
      const ordered = orderAddresses(nodes, {
        failureDomain: "iasi-b",
        random: createRandomSource(seed),
      });
      const staying = nodes.filter(({ leaving }) => !leaving);
      t.deepEqual(names(ordered).sort(), names(staying).sort());
      const far = ordered.findIndex(({ failureDomain }) =>
        failureDomain !== "iasi-b"
      );
      const afterFar = far < 0 ? [] : ordered.slice(far);
      t.true(afterFar.every(({ failureDomain }) => failureDomain === "cluj-a"));
    }),
    { seed: RANDOM_SEED },
  );
});

test("callers are spread by what nodes have free", (t) => {
  const nodes = [0, 500, 900].map((loadPermille, index) => ({
    node: `node-${index}`,
    address: "",
    failureDomain: "cluj-a",
    leaving: false,
    loadPermille,
  }));
  const random = createRandomSource(RANDOM_SEED);
  const first = new Map<string, number>();
  for (let draw = 0; draw < DRAWS; draw += 1) {
    const [chosen] = orderAddresses(nodes, { failureDomain: "", random });
    const name = chosen?.node ?? "";
    first.set(name, (first.get(name) ?? 0) + 1);
  }
  t.snapshot([...first].sort());
});

function names(nodes: ReadonlyArray<ListedNode>): string[] {
  return nodes.map(({ node }) => node);
}
