import type { ServiceDemands } from "../../source/installation/demand_claims.ts";
import { WarmUpLimits } from "../../source/installation/warm_up_limits.ts";
import { ManualClock } from "../../source/utilities/manual_clock.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../../source/utilities/random_source.ts";

const TICK_MILLISECONDS = 25;
/** Time at which the servers are lost, and at which all of them return in warm-up. */
const LOST_AT = 5000;
const RETURNED_AT = 6000;
const OUTAGE_MILLISECONDS = 5000;
/** Heartbeat intervals without a heartbeat after which a node counts as lost. */
const LOSS_HEARTBEATS = 3.4;
const WINDOW_MILLISECONDS = 1000;
const MAXIMUM_WAITING = 200;

/** Number of requests that arrive at a node in one tick. */
type Arrivals = (node: number, now: number, random: RandomSource) => number;

/** Load patterns by their description. */
export const WARM_UP_PATTERNS: Readonly<Record<string, Arrivals>> = {
  "samples wait at all nodes": () => 1,
  "calls at all nodes": (_node, _now, random) => Number(random.next() < 0.3),
  "few calls": (_node, _now, random) => Number(random.next() < 0.005),
  "a surge at all nodes": (_node, now) =>
    now >= RETURNED_AT + 500 && now < RETURNED_AT + 1500 ? 1 : 0,
  "steps of two nodes": (node, now) =>
    node < 2 && (now + 2000 * node) % 4000 === 0 ? 48 : 0,
  "steps of two nodes beside a few calls at all": (node, now, random) =>
    Number(random.next() < 0.01) +
    (node < 2 && (now + 2000 * node) % 4000 === 0 ? 48 : 0),
  "steps that move to another node": (node, now) =>
    node === Math.floor(now / 1000) % 4 && now % 500 === 0 ? 20 : 0,
  "steps of all nodes at once": (_node, now) => now % 3000 === 0 ? 24 : 0,
  "the first requests come with the return": (_node, now) =>
    now >= RETURNED_AT ? 1 : 0,
};

/** Nodes, servers and disturbances that are played. */
export interface WarmUpScenario {
  readonly pattern: string;
  readonly nodes: number;
  /** Number of servers that go into warm-up at the same moment. */
  readonly servers: number;
  readonly requestsPerSecond: number;
  readonly overageFactor: number;
  readonly slackRequests: number;
  readonly warmUpMilliseconds: number;
  /** Longest time after the return until a node reads the entries of the servers. */
  readonly entryMilliseconds: number;
  /** Longest heartbeat interval; those of some nodes are half as long. */
  readonly heartbeatMilliseconds: number;
  /** Longest time that the store needs to write a heartbeat. */
  readonly writeMilliseconds: number;
  /** Nodes that do not reach the store for 5 s. */
  readonly outage: "none" | "all" | "half";
  readonly outageAt: number;
  /** Part of the nodes that start shortly before or during the warm-up. */
  readonly joining: number;
  /** Part of the nodes that fail then. */
  readonly failing: number;
  /** Whether these nodes start or fail at the moment at which the servers return. */
  readonly changesAtOnce: boolean;
  readonly seed: number;
}

/** What the servers got. */
export interface PlayedWarmUp {
  /** Largest number of requests that one server in warm-up got within one second. */
  readonly busiest: number;
  /** Mean number of requests a second at the busiest server during the warm-up. */
  readonly usedPerSecond: number;
  /** Requests to the first server in each quarter of the first second after its warm-up. */
  readonly afterEnd: ReadonlyArray<number>;
}

interface Heartbeat {
  readonly demands: ServiceDemands;
  readonly writtenAt: number;
  readonly interval: number;
}

interface ModelNode {
  readonly name: string;
  readonly limits: WarmUpLimits;
  readonly interval: number;
  readonly startsAt: number;
  readonly endsAt: number;
  readonly isCutOff: (now: number) => boolean;
  /** Time at which it reads the entries of the servers after their return. */
  readonly readsEntriesAt: number;
  /** Last heartbeats that it read, by node, and the times at which they changed. */
  readonly heard: Map<string, { heartbeat: Heartbeat; changedAt: number }>;
  hasReadEntries: boolean;
  nextWriteAt: number;
  nextReadAt: number;
  writing:
    | { readonly heartbeat: Heartbeat; readonly doneAt: number }
    | undefined;
  waiting: number;
}

/** Plays nodes that send as soon as their limits allow and hear of each other with a delay. */
export async function playWarmUp(
  scenario: WarmUpScenario,
): Promise<PlayedWarmUp> {
  const clock = new ManualClock();
  const random = createRandomSource(scenario.seed);
  const servers = Array.from(
    { length: scenario.servers },
    (_unused, index) => `e${index}`,
  );
  const nodes = Array.from(
    { length: scenario.nodes },
    (_unused, index) => createNode(scenario, { clock, random, index }),
  );
  const store = new Map<string, Heartbeat>();
  const arrivals = new Map(servers.map((each) => [each, [] as number[]]));
  const arrive = WARM_UP_PATTERNS[scenario.pattern];
  const endsAt = RETURNED_AT + scenario.warmUpMilliseconds;
  const lastAt = endsAt + 2000;
  for (let now = 0; now < lastAt; now += TICK_MILLISECONDS) {
    for (const [index, node] of nodes.entries()) {
      if (now < node.startsAt || now >= node.endsAt) continue;
      write(node, { store, now, scenario, random });
      read(node, { store, now });
      node.waiting = Math.min(
        MAXIMUM_WAITING,
        node.waiting + (arrive?.(index, now, random) ?? 0),
      );
      const known = findServers(node, { servers, now, scenario });
      for (const server of send(node, known, random)) {
        arrivals.get(server)?.push(now);
      }
    }
    await clock.advance(TICK_MILLISECONDS);
  }
  const during = [...arrivals.values()].map((times) =>
    times.filter((time) => time >= RETURNED_AT && time < endsAt)
  );
  const most = Math.max(...during.map(({ length }) => length));
  const first = arrivals.get("e0") ?? [];
  return {
    busiest: Math.max(...during.map(findBusiest)),
    usedPerSecond: 1000 * most / scenario.warmUpMilliseconds,
    afterEnd: [0, 250, 500, 750].map((from) =>
      // The nodes count the remaining time from their read of the entry.
      first.filter((time) => {
        const since = time - endsAt - scenario.entryMilliseconds;
        return since >= from && since < from + 250;
      }).length
    ),
  };
}

function createNode(
  scenario: WarmUpScenario,
  { clock, random, index }: {
    readonly clock: ManualClock;
    readonly random: RandomSource;
    readonly index: number;
  },
): ModelNode {
  const { heartbeatMilliseconds: longest } = scenario;
  const changeDelay = 4000 * random.next() - 2000;
  const changeAt = RETURNED_AT + (scenario.changesAtOnce ? 0 : changeDelay);
  const draw = random.next();
  const isJoining = draw < scenario.joining;
  const isFailing = !isJoining && random.next() < scenario.failing;
  const isAffected = scenario.outage === "all" ||
    (scenario.outage === "half" && random.next() < 0.5);
  const name = `n${index}`;
  const startsAt = isJoining ? changeAt : 0;
  return {
    name,
    limits: new WarmUpLimits({
      node: name,
      clock,
      bounds: {
        warmUpOverageFactor: scenario.overageFactor,
        warmUpSlackRequests: scenario.slackRequests,
      },
      findService: () => "s",
      onMoreRoom: () => {},
    }),
    interval: random.next() < 0.3 ? longest / 2 : longest,
    startsAt,
    endsAt: isFailing ? changeAt : Infinity,
    isCutOff: (now) =>
      isAffected && now >= scenario.outageAt &&
      now < scenario.outageAt + OUTAGE_MILLISECONDS,
    readsEntriesAt: RETURNED_AT + scenario.entryMilliseconds * random.next(),
    heard: new Map(),
    hasReadEntries: false,
    nextWriteAt: startsAt + longest * random.next(),
    nextReadAt: startsAt + longest * random.next(),
    writing: undefined,
    waiting: 0,
  };
}

function write(
  node: ModelNode,
  { store, now, scenario, random }: {
    readonly store: Map<string, Heartbeat>;
    readonly now: number;
    readonly scenario: WarmUpScenario;
    readonly random: RandomSource;
  },
): void {
  if (node.isCutOff(now)) return;
  const { writing, limits, interval } = node;
  if (writing !== undefined && now >= writing.doneAt) {
    store.set(node.name, writing.heartbeat);
    node.writing = undefined;
    node.nextWriteAt = now + interval;
  }
  if (node.writing !== undefined || now < node.nextWriteAt) return;
  const isLate = random.next() < 0.2;
  const milliseconds = isLate ? scenario.writeMilliseconds : 20;
  node.writing = {
    heartbeat: { demands: limits.toDemands(), writtenAt: now, interval },
    doneAt: now + milliseconds * random.next(),
  };
}

function read(
  node: ModelNode,
  { store, now }: {
    readonly store: ReadonlyMap<string, Heartbeat>;
    readonly now: number;
  },
): void {
  if (node.isCutOff(now) || now < node.nextReadAt) return;
  node.nextReadAt = now + Math.min(node.interval, 300);
  for (const [name, heartbeat] of store) {
    if (node.heard.get(name)?.heartbeat === heartbeat) continue;
    // Nodes follow the heartbeats from their start on and do not read older ones.
    if (heartbeat.writtenAt < node.startsAt) continue;
    node.heard.set(name, { heartbeat, changedAt: now });
  }
  const own = node.heard.get(node.name);
  const others = [...node.heard].filter(([name, { heartbeat, changedAt }]) =>
    name !== node.name &&
    now - changedAt < LOSS_HEARTBEATS * heartbeat.interval
  );
  node.limits.apply({
    own: own === undefined ? undefined : {
      demands: own.heartbeat.demands,
      heartbeatMilliseconds: own.heartbeat.interval,
      readAt: own.changedAt,
    },
    others: new Map(
      others.map(([name, { heartbeat }]) => [name, heartbeat.demands]),
    ),
    nodes: [node.name, ...others.map(([name]) => name)],
    heartbeatMilliseconds: Math.max(
      node.interval,
      ...others.map(([, { heartbeat }]) => heartbeat.interval),
    ),
  });
}

// Returns the servers that a node knows of, and starts their warm-up when it reads their entries.
function findServers(
  node: ModelNode,
  { servers, now, scenario }: {
    readonly servers: ReadonlyArray<string>;
    readonly now: number;
    readonly scenario: WarmUpScenario;
  },
): ReadonlyArray<string> {
  if (now < LOST_AT) return servers;
  if (now < node.readsEntriesAt) return [];
  if (!node.hasReadEntries) {
    node.hasReadEntries = true;
    const { requestsPerSecond, warmUpMilliseconds } = scenario;
    const endsAt = now + warmUpMilliseconds;
    for (const server of servers) {
      node.limits.set(server, { service: "s", requestsPerSecond, endsAt });
    }
  }
  return servers;
}

function send(
  node: ModelNode,
  servers: ReadonlyArray<string>,
  random: RandomSource,
): ReadonlyArray<string> {
  const { limits } = node;
  const sent: string[] = [];
  while (node.waiting > 0 && servers.length > 0) {
    const open = servers.filter((server) => limits.getWait(server) === 0);
    const server = open[random.nextBelow(Math.max(1, open.length))];
    if (server === undefined) break;
    limits.recordRequest(server);
    node.waiting -= 1;
    sent.push(server);
  }
  if (node.waiting > 0) {
    for (const server of servers) limits.recordNeed(server, node.waiting);
  }
  return sent;
}

function findBusiest(times: ReadonlyArray<number>): number {
  let busiest = 0;
  let first = 0;
  for (let last = 0; last < times.length; last += 1) {
    while ((times[last] ?? 0) - (times[first] ?? 0) >= WINDOW_MILLISECONDS) {
      first += 1;
    }
    busiest = Math.max(busiest, last - first + 1);
  }
  return busiest;
}
