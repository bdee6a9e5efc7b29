import test from "ava";
import { readOperatorRow } from "../../platform/operator_rows.ts";
import { RecordingEventLog } from "../observability/event_log.ts";
import type { Configuration } from "./configuration.ts";
import type { NodeRecord } from "./node_record.ts";
import { RegionRules } from "./region_rules.ts";

interface Lists {
  readonly route?: ReadonlyArray<string>;
  readonly organisation?: ReadonlyArray<string>;
  readonly publicRoute?: ReadonlyArray<string>;
}

function configure(version: number, lists: Lists): Configuration {
  const route = { kind: "idempotent", service: "s" };
  const value = {
    version,
    routes: [
      {
        ...route,
        name: "a",
        host: "h",
        prefix: "/a/",
        "allowed_regions": lists.route,
      },
      { ...route, name: "b", host: "h", prefix: "/a/b/" },
      {
        ...route,
        name: "c",
        host: "public",
        prefix: "/",
        public: true,
        "allowed_regions": lists.publicRoute,
      },
    ],
    services: [{ name: "s", "health_path": "/health", "max_conns": 5 }],
    limits: {
      "max_header_bytes": 1,
      "max_body_bytes": 1,
      "header_timeout_ms": 1,
      "idle_timeout_ms": 1,
    },
    tenants: [
      { name: "o", "api_keys": ["k1"], "allowed_regions": lists.organisation },
      { name: "p", "api_keys": ["k2"] },
    ],
  };
  const row = readOperatorRow("config", Buffer.from(JSON.stringify(value)));
  if (row.kind !== "configuration") throw new Error(row.kind);
  return row.configuration;
}

function createFixture(): {
  readonly rules: RegionRules;
  readonly log: RecordingEventLog;
  readonly adopt: (lists: Lists) => void;
} {
  const log = new RecordingEventLog();
  let configuration: Configuration | undefined;
  const rules = new RegionRules({
    log,
    settings: {
      failureDomain: "own",
      region: "north",
      regions: new Map([["n1", "north"], ["s1", "south"]]),
    },
    configuration: () => configuration,
  });
  const adopt = (lists: Lists): void => {
    configuration = configure((configuration?.version ?? 0) + 1, lists);
  };
  return { rules, log, adopt };
}

const NODES = ["n1", "s1", "own", "x"].map((failureDomain) =>
  ({ failureDomain, isServing: true }) as NodeRecord
);

function nameNodes(rules: RegionRules, host: string, region: string): string {
  const failureDomain = undefined;
  return rules.selectNamed(NODES, { host, region, failureDomain })
    .map((node) => node.failureDomain).join(" ");
}

test("without lists nothing is restricted, logged or left out", (t) => {
  const { rules, log, adopt } = createFixture();
  t.is(rules.find({ host: "h", path: "/a/1", organisation: "o" }), undefined);
  adopt({});
  t.is(rules.find({ host: "h", path: "/a/1", organisation: "o" }), undefined);
  t.is(rules.listCount, 0);
  t.is(nameNodes(rules, "h", "south"), "n1 s1 own x");
  t.deepEqual(log.events, []);
});

test("the lists of the longest matching route and of the organisation apply", (t) => {
  const { rules, adopt } = createFixture();
  adopt({ route: ["north", "south"], organisation: ["south"] });
  const find = (path: string, organisation?: string): string | undefined =>
    rules.find({ host: "h", path, organisation })?.key;
  t.is(find("/a/1", "o"), '["south"]');
  t.is(find("/a/1", "p"), '["north","south"]');
  t.is(find("/a/1"), '["north","south"]');
  t.is(find("/a/b/1", "o"), '["south"]');
  t.is(find("/a/b/1", "p"), undefined);
  t.is(find("/unknown", "o"), '["south"]');
});

test("a new configuration applies at once, and a change of lists is reported once", (t) => {
  const { rules, log, adopt } = createFixture();
  adopt({ route: ["north"] });
  const request = { host: "h", path: "/a/1", organisation: undefined };
  t.is(rules.find(request)?.key, '["north"]');
  t.is(log.events.length, 1);
  t.is(rules.find(request)?.key, '["north"]');
  t.is(log.events.length, 1);
  adopt({ route: ["north"] });
  t.is(rules.find(request)?.key, '["north"]');
  t.is(log.events.length, 1, "the lists are the same");
  adopt({ route: ["south"] });
  t.is(rules.find(request)?.key, '["south"]', "though it was found before");
  t.is(log.events.length, 2);
  adopt({});
  t.is(rules.find(request), undefined);
  t.is(log.events.length, 3);
  t.deepEqual(
    log.events.map(({ name, fields }) => [name, fields["version"]]),
    [
      ["allowedRegionsInForce", 1],
      ["allowedRegionsInForce", 3],
      ["allowedRegionsInForce", 4],
    ],
  );
});

test("an unknown failure domain is in no region and is logged once; the own one is in the own region", (t) => {
  const { rules, log, adopt } = createFixture();
  adopt({ route: ["north"] });
  const allowed = rules.find({
    host: "h",
    path: "/a/1",
    organisation: undefined,
  });
  t.deepEqual(
    ["n1", "own", "s1", "x", "x"].map((domain) => allowed?.allows(domain)),
    [true, true, false, false, false],
  );
  const unknown = log.events.filter(({ name }) =>
    name === "failureDomainWithoutRegion"
  );
  t.is(unknown.length, 1);
});

test("the directory's answer depends on the lists of the host only", (t) => {
  const { rules, adopt } = createFixture();
  adopt({ organisation: ["south"] });
  t.is(nameNodes(rules, "h", "north"), "n1 own");
  t.is(nameNodes(rules, "h", "west"), "s1");
  t.is(nameNodes(rules, "public", "west"), "n1 s1 own x", "no key is needed");
  t.is(nameNodes(rules, "unknown", "west"), "n1 s1 own x");
  adopt({ publicRoute: ["north"] });
  t.is(nameNodes(rules, "public", "west"), "n1 own");
  t.is(nameNodes(rules, "h", "west"), "n1 s1 own x");
});

test("a caller that names its failure domain only is in the region of that", (t) => {
  const { rules, adopt } = createFixture();
  adopt({ route: ["north"] });
  const named = rules.selectNamed(NODES, {
    host: "h",
    region: undefined,
    failureDomain: "s1",
  });
  t.is(named.map((node) => node.failureDomain).join(" "), "s1");
});
