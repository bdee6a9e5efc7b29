import test from "ava";
import { createRandomSource } from "../utilities/random_source.ts";
import {
  type CheckableServer,
  type ConnectionCheck,
  isCutOff,
  selectCheckedServers,
} from "./server_reach.ts";

const DOMAINS = ["a", "b", "c"];

function createServers(
  services: Readonly<Record<string, number>>,
): ReadonlyArray<CheckableServer> {
  return Object.entries(services).flatMap(([service, count]) =>
    Array.from({ length: count }, (_, index) => ({
      service,
      failureDomain: DOMAINS[index % DOMAINS.length] ?? "",
    }))
  );
}

const CASES: ReadonlyArray<{
  readonly title: string;
  readonly checks: ReadonlyArray<ConnectionCheck>;
  readonly isNodeCutOff: boolean;
}> = [
  { title: "without a server", checks: [], isNodeCutOff: false },
  {
    title: "whose only server refuses",
    checks: ["refused"],
    isNodeCutOff: false,
  },
  {
    title: "that all servers refuse",
    checks: ["refused", "refused"],
    isNodeCutOff: true,
  },
  {
    title: "that reaches no server in time",
    checks: ["unreachable", "unreachable"],
    isNodeCutOff: true,
  },
  {
    title: "that one server of several accepts",
    checks: ["refused", "unreachable", "accepted"],
    isNodeCutOff: false,
  },
];

for (const { title, checks, isNodeCutOff } of CASES) {
  test(`a node ${title} is ${isNodeCutOff ? "" : "not "}cut off`, (t) => {
    t.is(isCutOff(checks), isNodeCutOff);
  });
}

test("the checked servers are of all services and failure domains", (t) => {
  const servers = createServers({ engines: 27, plain: 3 });
  for (let seed = 1; seed <= 50; seed += 1) {
    const selected = selectCheckedServers(servers, createRandomSource(seed));
    t.is(selected.length, 6);
    t.is(new Set(selected).size, 6);
    t.is(new Set(selected.map(({ service }) => service)).size, 2);
    t.is(new Set(selected.map((each) => each.failureDomain)).size, 3);
  }
});

// Servers of one service, or of one failure domain, are lost together.
test("replay: a node does not count as cut off when a service or a failure domain is lost", (t) => {
  const servers = createServers({ engines: 6, plain: 3 });
  const losses: ReadonlyArray<(server: CheckableServer) => boolean> = [
    ({ service }) => service === "engines",
    ({ service }) => service === "plain",
    ...DOMAINS.map((domain) => (server: CheckableServer) =>
      server.failureDomain === domain
    ),
  ];
  for (let seed = 1; seed <= 200; seed += 1) {
    const selected = selectCheckedServers(servers, createRandomSource(seed));
    for (const isLost of losses) {
      const checks = selected.map((server) =>
        isLost(server) ? "refused" as const : "accepted" as const
      );
      t.false(isCutOff(checks));
    }
  }
});
