import test from "ava";
import type { BackendServerState } from "../backends/backend_server_state.ts";
import { digestPrefixes } from "../backends/prefix_digest.ts";
import { createRandomSource } from "../utilities/random_source.ts";
import { createRoutingPolicy } from "./routing_policies.ts";
import type { RoutingPolicyName } from "./routing_policy.ts";
import type { Placement } from "./placement.ts";
import { ServerExperience } from "./server_experience.ts";

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
  readonly experience: ServerExperience;
  readonly placement: Placement;
}

interface Case {
  readonly name: string;
  readonly arrange: (bench: Bench) => void;
}

const CASES: ReadonlyArray<Case> = [
  { name: "equal servers", arrange: () => {} },
  {
    name: "server 1 has requests waiting",
    arrange: ({ servers }) => change(servers, 0, { running: 8, waiting: 9 }),
  },
  {
    name: "server 1 is five times slower",
    arrange: ({ experience, servers }) => {
      servers.forEach(({ address }, index) =>
        finish(experience, address, index === 0 ? 50 : 10)
      );
    },
  },
  {
    name: "server 1 answers fast with errors",
    arrange: ({ experience, servers }) => {
      for (let count = 0; count < 5; count += 1) {
        const record = experience.start(servers[0]!.address, PLACEMENT, NOW);
        record.end({ kind: "failed", serverFault: true }, NOW + 1);
      }
    },
  },
  {
    name: "all servers answer fast with errors",
    arrange: ({ experience, servers }) => {
      for (const { address } of servers) {
        for (let count = 0; count < 5; count += 1) {
          const record = experience.start(address, PLACEMENT, NOW);
          record.end({ kind: "failed", serverFault: true }, NOW + 1);
        }
      }
    },
  },
  {
    name: "this node has requests running on server 1",
    arrange: ({ experience, servers }) => {
      for (let count = 0; count < 9; count += 1) {
        experience.start(servers[0]!.address, PLACEMENT, NOW - 1);
      }
    },
  },
  {
    name: "peers tell of requests running on server 1",
    arrange: ({ servers }) => change(servers, 0, { dispatchedByPeers: 12 }),
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
  const experience = new ServerExperience();
  experience.service("dot-models").noteRunning(8);
  return { servers, experience, placement: PLACEMENT };
}

function change(
  servers: BackendServerState[],
  index: number,
  state: Partial<BackendServerState>,
): void {
  servers[index] = { ...servers[index]!, ...state };
}

function finish(
  experience: ServerExperience,
  address: string,
  tokenMilliseconds: number,
): void {
  const record = experience.start(address, PLACEMENT, 0);
  record.noteTokens(1, 100);
  record.noteTokens(50, 100 + 50 * tokenMilliseconds);
  record.end(
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
      experience: bench.experience,
    });
    if (server === bench.servers[0]) first += 1;
  }
  return Math.round(100 * first / CHOICES);
}

test("share of the work that server 1 of 4 gets", (t) => {
  const rows = CASES.map(({ name, arrange }) => {
    const shares = POLICY_NAMES.map((policy) => {
      const bench = createBench();
      arrange(bench);
      return `${policy} ${shareOfFirst(policy, bench)}%`;
    });
    return `${name}: ${shares.join(", ")}`;
  });
  t.snapshot(rows);
});

test("a cached prefix draws its prompt until a queue costs more", (t) => {
  const rows = [0, 4, 8, 12, 16].map((load) => {
    const bench = createBench();
    const { experience, servers } = bench;
    const address = servers[0]!.address;
    const record = experience.start(address, PLACEMENT, 0);
    record.noteTokens(1, 300);
    record.noteTokens(63, 930);
    record.end(
      { kind: "finished", generatedTokens: 64, cachedTokens: 0 },
      930,
    );
    change(servers, 0, {
      running: Math.min(load, 8),
      waiting: Math.max(0, load - 8),
    });
    return `${load} requests there: ${shareOfFirst("expectedFinish", bench)}%`;
  });
  t.snapshot(rows);
});
