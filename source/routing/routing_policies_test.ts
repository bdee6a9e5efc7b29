import test from "ava";
import type { BackendServerState } from "../backends/backend_server_state.ts";
import { digestPrefixes } from "../backends/prefix_digest.ts";
import { createRandomSource } from "../utilities/random_source.ts";
import { createRoutingPolicy } from "./routing_policies.ts";
import type { RoutingPolicyName } from "./routing_policy.ts";
import type { Placement } from "./placement.ts";
import { RoutingStatistics } from "./routing_statistics.ts";

const POLICY_NAMES: ReadonlyArray<RoutingPolicyName> = [
  "roundRobin",
  "leastOutstanding",
  "rendezvous",
  "expectedFinish",
];
const CHOICES = 400;
const NOW = 10_000;
const PROMPT = "a prompt that is long enough to be cached in blocks ".repeat(
  40,
);

interface Bench {
  readonly servers: BackendServerState[];
  readonly statistics: RoutingStatistics;
  readonly placement: Placement;
}

interface Case {
  readonly name: string;
  readonly prepare: (bench: Bench) => void;
}

const CASES: ReadonlyArray<Case> = [
  { name: "equal servers", prepare: () => {} },
  {
    name: "server 1 has requests waiting",
    prepare: ({ servers }) =>
      changeServer(servers, 0, { running: 8, waiting: 9 }),
  },
  {
    name: "server 1 is five times slower",
    prepare: ({ statistics, servers }) => {
      servers.forEach(({ address }, index) =>
        finishCompletion(statistics, address, index === 0 ? 50 : 10)
      );
    },
  },
  {
    name: "server 1 responds fast with errors",
    prepare: ({ statistics, servers }) => {
      for (let count = 0; count < 5; count += 1) {
        const observer = statistics.start(servers[0]!.address, PLACEMENT, NOW);
        observer.end({ kind: "failed", serverFault: true }, NOW + 1);
      }
    },
  },
  {
    name: "all servers respond fast with errors",
    prepare: ({ statistics, servers }) => {
      for (const { address } of servers) {
        for (let count = 0; count < 5; count += 1) {
          const observer = statistics.start(address, PLACEMENT, NOW);
          observer.end({ kind: "failed", serverFault: true }, NOW + 1);
        }
      }
    },
  },
  {
    name: "this node has requests running on server 1",
    prepare: ({ statistics, servers }) => {
      for (let count = 0; count < 9; count += 1) {
        statistics.start(servers[0]!.address, PLACEMENT, NOW - 1);
      }
    },
  },
  {
    name: "peers report requests running on server 1",
    prepare: ({ servers }) =>
      changeServer(servers, 0, { dispatchedByPeers: 12 }),
  },
];

const PLACEMENT: Placement = {
  service: "dot-models",
  organisation: "school-3",
  classOfWork: "lookups",
  prefixDigests: digestPrefixes("school-3", PROMPT),
  promptTokens: PROMPT.length / 4,
  maximumTokens: 64,
};

function createBench(): Bench {
  const servers = [1, 2, 3, 4].map((index) => ({
    address: `127.0.0.${index}:8000`,
    service: "dot-models",
    failureDomain: "cluj-a",
    tier: "steady" as const,
    startIdentity: `start-${index}`,
    leaving: false,
    reachable: true,
    running: 4,
    waiting: 0,
    loadAgeMilliseconds: 100,
    cacheFreePermille: 1000,
    weightVersions: [1],
    dispatchedByPeers: 0,
    tokensPerSecond: 100,
    microsPerHour: 0,
  }));
  const statistics = new RoutingStatistics();
  statistics.service("dot-models").recordRunning(8);
  return { servers, statistics, placement: PLACEMENT };
}

function changeServer(
  servers: BackendServerState[],
  index: number,
  state: Partial<BackendServerState>,
): void {
  servers[index] = { ...servers[index]!, ...state };
}

function finishCompletion(
  statistics: RoutingStatistics,
  address: string,
  tokenMilliseconds: number,
): void {
  const observer = statistics.start(address, PLACEMENT, 0);
  observer.recordTokens(1, 100);
  observer.recordTokens(50, 100 + 50 * tokenMilliseconds);
  observer.end(
    { kind: "finished", generatedTokens: 51, cachedTokens: 0 },
    100 + 50 * tokenMilliseconds,
  );
}

function shareOfFirst(name: RoutingPolicyName, bench: Bench): number {
  const policy = createRoutingPolicy(name);
  const random = createRandomSource(3);
  let first = 0;
  for (let count = 0; count < CHOICES; count += 1) {
    const { server } = policy.choose(bench.servers, bench.placement, {
      failureDomain: "cluj-a",
      now: NOW,
      random,
      statistics: bench.statistics,
    });
    if (server === bench.servers[0]) first += 1;
  }
  return Math.round(100 * first / CHOICES);
}

test("share of the work that each policy sends to server 1 of 4", (t) => {
  const rows = CASES.map(({ name, prepare }) => {
    const shares = POLICY_NAMES.map((policy) => {
      const bench = createBench();
      prepare(bench);
      return `${policy} ${shareOfFirst(policy, bench)}%`;
    });
    return `${name}: ${shares.join(", ")}`;
  });
  t.snapshot(rows);
});

test("a server with the cached prefix is chosen until queueing there costs more", (t) => {
  const rows = [0, 4, 8, 12, 16].map((load) => {
    const bench = createBench();
    const { statistics, servers } = bench;
    const address = servers[0]!.address;
    const observer = statistics.start(address, PLACEMENT, 0);
    observer.recordTokens(1, 300);
    observer.recordTokens(63, 930);
    observer.end(
      { kind: "finished", generatedTokens: 64, cachedTokens: 0 },
      930,
    );
    changeServer(servers, 0, {
      running: Math.min(load, 8),
      waiting: Math.max(0, load - 8),
    });
    return `${load} requests at that server: ${
      shareOfFirst("expectedFinish", bench)
    }%`;
  });
  t.snapshot(rows);
});
