import fc from "fast-check";
import test from "ava";
import {
  type AllowedRegions,
  decideAllowedRegions,
  mayProcess,
  type RegionList,
  type RegionNode,
  selectBodyReceivers,
  selectNamedNodes,
} from "./allowed_regions.ts";

const SEED = 23;
/** Two failure domains in the north, one in the east and one in the south; "x" is in none. */
const REGIONS: Readonly<Record<string, string>> = {
  n1: "north",
  n2: "north",
  e1: "east",
  s1: "south",
};
const DOMAINS = ["n1", "n2", "e1", "s1", "x"];
const NODES = DOMAINS.map((failureDomain) => ({ failureDomain }));

function regionOf(failureDomain: string): string | undefined {
  return REGIONS[failureDomain];
}

function list(names: string | undefined): RegionList {
  return names === undefined
    ? undefined
    : new Set(names.split(" ").filter((name) => name !== ""));
}

function decide(
  ...lists: ReadonlyArray<string | undefined>
): AllowedRegions | undefined {
  return decideAllowedRegions({ lists: lists.map(list), regionOf });
}

function describe(nodes: ReadonlyArray<RegionNode>): string {
  return nodes.map(({ failureDomain }) => failureDomain).join(" ") || "none";
}

const LISTS: ReadonlyArray<
  readonly [route: string | undefined, organisation: string | undefined]
> = [
  [undefined, undefined],
  ["north", undefined],
  [undefined, "south east"],
  ["north east", "east south"],
  ["north", "south"],
  ["nowhere", undefined],
];

test("regions by the lists of the route and the organisation", (t) => {
  const table = LISTS.map(([route, organisation]) => {
    const allowed = decide(route, organisation);
    const processed = NODES.filter((node) => mayProcess(allowed, node));
    const receivers = ["north", "east", undefined].map((callerRegion) =>
      `${callerRegion ?? "unknown"}: ${
        describe(selectBodyReceivers(NODES, { allowed, callerRegion }))
      }`
    );
    return [
      `route ${route ?? "any"}, organisation ${organisation ?? "any"}`,
      `  processed in ${describe(processed)}`,
      `  body from a caller of ${receivers.join("; ")}`,
      `  empty ${allowed?.isEmpty ?? false}`,
    ].join("\n");
  });
  t.snapshot(table.join("\n"));
});

test("without the nodes of allowed regions, those of the caller's region get the body", (t) => {
  const allowed = decide("south");
  const running = [{ failureDomain: "n1" }, { failureDomain: "e1" }];
  const select = (callerRegion: string | undefined): string =>
    describe(selectBodyReceivers(running, { allowed, callerRegion }));
  t.is(select("north"), "n1");
  t.is(select("east"), "e1");
  t.is(select("south"), "none");
  t.is(select(undefined), "none");
});

test("keys are equal for the same regions only", (t) => {
  t.is(decide("north south")?.key, decide("south north")?.key);
  t.not(decide("north south")?.key, decide("north")?.key);
  t.not(decide("a,b")?.key, decide("a b")?.key);
  t.true(decide("north")?.isWithin(decide("north east") as AllowedRegions));
  t.false(decide("north east")?.isWithin(decide("north") as AllowedRegions));
});

interface NamingCase {
  readonly title: string;
  readonly caller: string | undefined;
  readonly routes: ReadonlyArray<string | undefined>;
  readonly organisations: ReadonlyArray<string | undefined>;
  readonly running?: ReadonlyArray<string>;
  readonly named: string;
}

const NAMING_CASES: ReadonlyArray<NamingCase> = [
  {
    title: "no list: all nodes, also those in no region",
    caller: "north",
    routes: [undefined],
    organisations: [undefined],
    named: "n1 n2 e1 s1 x",
  },
  {
    title: "a list: the caller's region, though it is not allowed",
    caller: "north",
    routes: ["south"],
    organisations: [],
    named: "n1 n2",
  },
  {
    title: "no node in the caller's region: the regions that each route allows",
    caller: "north",
    routes: ["south east", undefined, "south"],
    organisations: [],
    running: ["e1", "s1", "x"],
    named: "s1",
  },
  {
    title: "a caller of an unknown region",
    caller: undefined,
    routes: ["north"],
    organisations: [],
    named: "n1 n2",
  },
  {
    title: "a caller of a region without nodes, and no node in an allowed one",
    caller: "west",
    routes: ["north"],
    organisations: [],
    running: ["e1", "s1", "x"],
    named: "none",
  },
  {
    title: "the lists of organisations narrow those of the routes",
    caller: "west",
    routes: ["north east"],
    organisations: ["east south", undefined],
    named: "e1",
  },
  {
    title: "only organisations have lists",
    caller: "west",
    routes: [undefined],
    organisations: ["south"],
    named: "s1",
  },
  {
    title: "organisations without a common region: what most of them allow",
    caller: "west",
    routes: [undefined],
    organisations: ["south", "north", "north east"],
    named: "n1 n2",
  },
  {
    title: "routes without a common region: no node",
    caller: "west",
    routes: ["south", "north"],
    organisations: [],
    named: "none",
  },
];

for (const { title, caller, routes, organisations, ...more } of NAMING_CASES) {
  test(`nodes that the directory names: ${title}`, (t) => {
    const running = more.running ?? DOMAINS;
    const named = selectNamedNodes(
      running.map((failureDomain) => ({ failureDomain })),
      {
        callerRegion: caller,
        routeLists: routes.map(list),
        organisationLists: organisations.map(list),
        regionOf,
      },
    );
    t.is(describe(named), more.named);
  });
}

const listArbitrary = fc.option(
  fc.uniqueArray(fc.constantFrom("north", "east", "south", "west")),
  { nil: undefined },
);

// Guards against a list that is left out when several apply.
test("a server or a receiver is never outside a list that applies", (t) => {
  t.notThrows(() =>
    fc.assert(
      fc.property(
        fc.array(listArbitrary, { maxLength: 3 }),
        fc.constantFrom(...DOMAINS),
        fc.option(fc.constantFrom("north", "east"), { nil: undefined }),
        (names, failureDomain, callerRegion) => {
          const lists = names.map((each): RegionList =>
            each === undefined ? undefined : new Set<string>(each)
          );
          const allowed = decideAllowedRegions({ lists, regionOf });
          const region = regionOf(failureDomain);
          const isInAll = lists.every((each) =>
            each === undefined || (region !== undefined && each.has(region))
          );
          const node = { failureDomain };
          const receivers = selectBodyReceivers([node], {
            allowed,
            callerRegion,
          });
          const isNear = region !== undefined && region === callerRegion;
          return mayProcess(allowed, node) === isInAll &&
            (receivers.length === 1) === (isInAll || isNear);
        },
      ),
      { seed: SEED, numRuns: 500 },
    )
  );
});

// The load that the decision is made for: callers of three regions with lists of their own, while
// the nodes of one region after another are lost. Guards against requests that leave their regions
// because the directory or a relay moved them.
test("replay: while regions are lost, requests stay within their lists and their callers' region", (t) => {
  const lists = ["north", "east south", "south north", undefined];
  const regions = ["north", "east", "south"];
  let relayed = 0;
  for (const lost of [undefined, ...regions]) {
    const running = NODES.filter(({ failureDomain }) =>
      regionOf(failureDomain) !== lost
    );
    for (const callerRegion of regions) {
      for (const names of lists) {
        const allowed = decide(names);
        const [node] = selectNamedNodes(running, {
          callerRegion,
          routeLists: [list(names)],
          organisationLists: [],
          regionOf,
        });
        if (node === undefined) {
          t.is(names, lost, "only without a node that may be named");
          continue;
        }
        const permitted = new Set([...list(names) ?? regions, callerRegion]);
        const receivers = selectBodyReceivers(running, {
          allowed,
          callerRegion: regionOf(node.failureDomain),
        });
        relayed += receivers.length;
        if (names === undefined) continue;
        for (const each of [node, ...receivers]) {
          t.true(permitted.has(regionOf(each.failureDomain) ?? ""));
        }
      }
    }
  }
  t.true(relayed > 40, `${relayed} receivers`);
});
