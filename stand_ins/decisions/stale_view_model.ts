import {
  chooseEngine,
  type EngineCandidate,
  spread,
} from "../../source/decisions/engine_choice.ts";
import {
  BLOCKED_MILLISECONDS,
  isLent,
  isWithinShare,
  QUEUED_REQUESTS,
  VIEW_AGE_MILLISECONDS,
} from "../../source/decisions/slot_share.ts";
import type { Rendezvous } from "../../source/membership/rendezvous.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../../source/utilities/random_source.ts";

const TICK_MILLISECONDS = 10;
const DURATION_MILLISECONDS = 30_000;
/** Time after which queued requests and runs of the start no longer matter. */
const WARM_UP_MILLISECONDS = 3000;
const SLOTS = 6;
const EVENT_MILLISECONDS = 40;
const LARGEST_FACTOR = 2.4;
const SLOW_SHARE = 0.15;
const SLOW_FACTOR = 5;
const SLOW_MILLISECONDS = 8000;
const MEAN_EVENTS = 27;
/** Mean time of a run at an engine of average speed. */
const MEAN_RUN_MILLISECONDS = MEAN_EVENTS * EVENT_MILLISECONDS *
  (1 + LARGEST_FACTOR) / 2;
const REFUSAL_MILLISECONDS = 20;

/** What the model of a stale view varies. */
export interface StaleViewOptions {
  readonly seed: number;
  readonly nodes: number;
  readonly servers: number;
  /** Share of the slots that are in use on average. */
  readonly load: number;
  /** Number of samples that arrive together at one node. */
  readonly groupSize: number;
}

/** Figures of a run of the model. */
export interface StaleViewFigures {
  readonly sent: number;
  /** Requests that a server without slot and queue got while another one had a free slot. */
  readonly overfull: number;
  readonly refusedShare: number;
  readonly meanWaitMilliseconds: number;
  readonly meanRunMilliseconds: number;
  /** Pairs of a node and a server between which requests were sent. */
  readonly connections: number;
  /** Mean over time of the difference between the fullest and the emptiest server, in requests. */
  readonly spread: number;
}

interface Server {
  readonly name: string;
  readonly factor: number;
  readonly slowFrom: number;
  running: number;
  /** Requests in the queue, which start as slots become free. */
  readonly queue: (() => void)[];
}

interface Candidate extends EngineCandidate {
  readonly index: number;
  readonly isOwn: boolean;
  readonly isQueueOwn: boolean;
}

interface NodeState {
  readonly name: string;
  readonly queue: { readonly queuedAt: number; readonly events: number }[];
  /** Own requests at each server, by index. */
  readonly running: number[];
  readonly backoffUntil: number[];
  readonly refusals: number[];
  readonly unanswered: number[];
  readonly ranks: Map<number, number>;
  isPlacing: boolean;
}

/** Model of many nodes that choose servers from a view of each other that is 500 ms old. */
export class StaleViewModel {
  readonly #options: StaleViewOptions;
  readonly #rule: "before" | "now";
  readonly #rendezvous: Rendezvous;
  readonly #random: RandomSource;
  readonly #servers: ReadonlyArray<Server>;
  readonly #nodes: ReadonlyArray<NodeState>;
  /** Runs of each node at each server, at each tick. */
  readonly #history: (readonly number[])[][] = [];
  #viewTotals: number[] = [];
  #seen: (readonly number[])[] = [];
  #placing: ReadonlyArray<NodeState> = [];
  #actions = new Map<number, (() => void)[]>();
  #now = 0;
  #sent = 0;
  #refused = 0;
  #overfull = 0;
  #spread = 0;
  #waits: number[] = [];
  #runs: number[] = [];
  readonly #pairs = new Set<string>();

  /**
   * @param options - The seed, the load and the sizes.
   * @param more - The rule by which servers are chosen, and the order of the nodes at each server.
   */
  constructor(
    options: StaleViewOptions,
    more: { readonly rule: "before" | "now"; readonly rendezvous: Rendezvous },
  ) {
    this.#options = options;
    this.#rule = more.rule;
    this.#rendezvous = more.rendezvous;
    this.#random = createRandomSource(options.seed);
    this.#servers = Array.from(
      { length: options.servers },
      (_unused, index) => ({
        name: `e${index}`,
        factor: 1 + (LARGEST_FACTOR - 1) * index / (options.servers - 1),
        slowFrom: this.#random.next() < SLOW_SHARE
          ? this.#random.next() * DURATION_MILLISECONDS
          : Infinity,
        running: 0,
        queue: [],
      }),
    );
    this.#nodes = Array.from({ length: options.nodes }, (_unused, index) => ({
      name: `n${index}`,
      queue: [],
      running: this.#servers.map(() => 0),
      backoffUntil: this.#servers.map(() => 0),
      refusals: this.#servers.map(() => 0),
      unanswered: this.#servers.map(() => 0),
      ranks: new Map(),
      isPlacing: false,
    }));
  }

  /** Runs the model and returns its figures. */
  run(): StaleViewFigures {
    const { servers, load, groupSize } = this.#options;
    const perMillisecond = load * servers * SLOTS / MEAN_RUN_MILLISECONDS;
    const groupChance = perMillisecond * TICK_MILLISECONDS / groupSize;
    for (let now = 0; now < DURATION_MILLISECONDS; now += TICK_MILLISECONDS) {
      this.#now = now;
      for (const run of this.#actions.get(now) ?? []) run();
      this.#actions.delete(now);
      this.#updateView();
      for (let chance = groupChance; chance > 0; chance -= 1) {
        if (this.#random.next() < chance) this.#addGroup();
      }
      for (const node of this.#nodes) this.#place(node);
      this.#measureSpread();
    }
    return {
      sent: this.#sent,
      overfull: this.#overfull,
      refusedShare: Number((this.#refused / this.#sent).toFixed(4)),
      meanWaitMilliseconds: Number(getMean(this.#waits).toFixed(1)),
      meanRunMilliseconds: Math.round(getMean(this.#runs)),
      connections: this.#pairs.size,
      spread: Number(
        (this.#spread / (DURATION_MILLISECONDS / TICK_MILLISECONDS)).toFixed(2),
      ),
    };
  }

  #addGroup(): void {
    const node = this.#nodes[this.#random.nextBelow(this.#nodes.length)];
    for (let sample = 0; sample < this.#options.groupSize; sample += 1) {
      const events = 1 +
        Math.round(2 * (MEAN_EVENTS - 1) * this.#random.next());
      node?.queue.push({ queuedAt: this.#now, events });
    }
  }

  // Keeps the view of the nodes that all others have now.
  #updateView(): void {
    this.#history.push(this.#nodes.map(({ running }) => [...running]));
    const age = VIEW_AGE_MILLISECONDS / TICK_MILLISECONDS;
    if (this.#history.length <= age) {
      this.#viewTotals = this.#servers.map(() => 0);
      return;
    }
    const seen = this.#history.shift() ?? [];
    this.#seen = seen;
    this.#viewTotals = this.#servers.map((_server, index) =>
      seen.reduce((sum, running) => sum + (running[index] ?? 0), 0)
    );
    const placing = this.#nodes.filter((_node, index) =>
      seen[index]?.some((count) => count > 0)
    );
    const hasChanged = placing.length !== this.#placing.length ||
      placing.some((node, index) => node !== this.#placing[index]);
    if (!hasChanged) return;
    this.#placing = placing;
    for (const node of this.#nodes) node.ranks.clear();
  }

  #countElsewhere(node: NodeState, server: number): number {
    const own = this.#seen[this.#nodes.indexOf(node)]?.[server] ?? 0;
    return Math.max(0, (this.#viewTotals[server] ?? 0) - own);
  }

  #place(node: NodeState): void {
    while (node.queue.length > 0) {
      const [sample] = node.queue;
      if (sample === undefined) return;
      const candidates = this.#findCandidates(node);
      const chosen = chooseEngine(candidates, {
        expectedEvents: sample.events,
        promptTokens: 0,
        memoryShare: 0,
        usualEventMilliseconds: EVENT_MILLISECONDS,
        avoidedEngine: undefined,
      });
      if (chosen === undefined) return;
      node.queue.shift();
      this.#send(node, chosen.index, sample);
    }
  }

  #findCandidates(node: NodeState): ReadonlyArray<Candidate> {
    const all = this.#servers.flatMap((_server, index) =>
      this.#toCandidate(node, index)
    );
    if (this.#rule === "before") return all;
    const own = all.filter(({ isOwn }) => isOwn);
    if (own.length > 0) return own;
    const requestsPerSlot = this.#countRequestsPerSlot();
    const lent = all.filter(({ running }) =>
      isLent(SLOTS - running, requestsPerSlot)
    );
    if (lent.length > 0) return lent.map(spread);
    const queued = all.filter(({ isQueueOwn }) => isQueueOwn);
    if (queued.length > 0) return queued;
    const waited = this.#now - (node.queue[0]?.queuedAt ?? 0);
    return waited >= BLOCKED_MILLISECONDS ? all.map(spread) : [];
  }

  #countRequestsPerSlot(): number {
    const running = this.#viewTotals.reduce((sum, each) => sum + each, 0);
    const free = Math.max(1, SLOTS * this.#servers.length - running);
    return running * VIEW_AGE_MILLISECONDS / MEAN_RUN_MILLISECONDS / free;
  }

  #toCandidate(node: NodeState, index: number): ReadonlyArray<Candidate> {
    const server = this.#servers[index];
    if (server === undefined) return [];
    const own = node.running[index] ?? 0;
    const occupied = own + this.#countElsewhere(node, index);
    const isProbed = (node.refusals[index] ?? 0) > 0 &&
      (node.unanswered[index] ?? 0) > 0;
    if (own >= SLOTS || occupied >= SLOTS + QUEUED_REQUESTS || isProbed) {
      return [];
    }
    if ((node.backoffUntil[index] ?? 0) > this.#now) return [];
    return [{
      index,
      identifier: server.name,
      running: occupied,
      eventMilliseconds: EVENT_MILLISECONDS * this.#factor(server),
      hasPrompt: false,
      memoryShare: 0,
      isConnected: this.#pairs.has(`${node.name}/${server.name}`),
      versionLead: 0,
      ...this.#toShare(node, index),
    }];
  }

  #toShare(
    node: NodeState,
    index: number,
  ): Pick<Candidate, "isOwn" | "isQueueOwn" | "tieBreak"> {
    if (this.#rule === "before") {
      return { isOwn: false, isQueueOwn: false, tieBreak: 0 };
    }
    const name = this.#servers[index]?.name ?? "";
    const known = {
      slots: SLOTS,
      running: node.running[index] ?? 0,
      published: this.#seen[this.#nodes.indexOf(node)]?.[index] ?? 0,
      elsewhere: this.#countElsewhere(node, index),
    };
    const nodes = {
      count: Math.max(1, this.#placing.length),
      rank: this.#rankOf(node, index),
    };
    return {
      isOwn: isWithinShare(known, nodes),
      isQueueOwn: isWithinShare(
        { ...known, slots: SLOTS + QUEUED_REQUESTS },
        nodes,
      ),
      tieBreak: this.#rendezvous.score(node.name, name) / 2 ** 32,
    };
  }

  #rankOf(node: NodeState, index: number): number {
    let rank = node.ranks.get(index);
    if (rank === undefined) {
      const name = this.#servers[index]?.name ?? "";
      const own = this.#rendezvous.score(name, node.name);
      rank = this.#placing.filter((other) =>
        other !== node && this.#rendezvous.score(name, other.name) > own
      ).length;
      node.ranks.set(index, rank);
    }
    return rank;
  }

  #factor({ factor, slowFrom }: Server): number {
    const isSlow = this.#now >= slowFrom &&
      this.#now < slowFrom + SLOW_MILLISECONDS;
    return isSlow ? factor * SLOW_FACTOR : factor;
  }

  #send(
    node: NodeState,
    index: number,
    sample: { readonly queuedAt: number; readonly events: number },
  ): void {
    const server = this.#servers[index];
    if (server === undefined) return;
    if (this.#now > WARM_UP_MILLISECONDS) this.#sent += 1;
    this.#pairs.add(`${node.name}/${server.name}`);
    node.running[index] = (node.running[index] ?? 0) + 1;
    node.unanswered[index] = (node.unanswered[index] ?? 0) + 1;
    const isFull =
      server.running + server.queue.length >= SLOTS + QUEUED_REQUESTS;
    if (!isFull) return this.#accept(node, { index, sample });
    const isAvoidable = this.#servers.some(({ running }) => running < SLOTS);
    if (isAvoidable && this.#now > WARM_UP_MILLISECONDS) this.#overfull += 1;
    if (this.#now > WARM_UP_MILLISECONDS) this.#refused += 1;
    this.#after(
      REFUSAL_MILLISECONDS,
      () => this.#refuse(node, { index, sample }),
    );
  }

  #refuse(
    node: NodeState,
    { index, sample }: {
      readonly index: number;
      readonly sample: NodeState["queue"][number];
    },
  ): void {
    node.running[index] = (node.running[index] ?? 0) - 1;
    node.unanswered[index] = (node.unanswered[index] ?? 0) - 1;
    node.queue.unshift(sample);
    if ((node.backoffUntil[index] ?? 0) > this.#now) return;
    const refusals = node.refusals[index] ?? 0;
    node.backoffUntil[index] = this.#now + Math.min(60 * 2 ** refusals, 250);
    node.refusals[index] = refusals + 1;
  }

  #accept(
    node: NodeState,
    { index, sample }: {
      readonly index: number;
      readonly sample: NodeState["queue"][number];
    },
  ): void {
    const server = this.#servers[index];
    if (server === undefined) return;
    const start = (): void => {
      server.running += 1;
      node.refusals[index] = 0;
      if (this.#now > WARM_UP_MILLISECONDS) {
        this.#waits.push(this.#now - sample.queuedAt);
      }
      const took = sample.events * EVENT_MILLISECONDS * this.#factor(server);
      this.#runs.push(took);
      this.#after(took, () => {
        server.running -= 1;
        node.running[index] = (node.running[index] ?? 0) - 1;
        server.queue.shift()?.();
      });
    };
    this.#after(REFUSAL_MILLISECONDS, () => {
      node.unanswered[index] = (node.unanswered[index] ?? 0) - 1;
    });
    if (server.running < SLOTS) start();
    else server.queue.push(start);
  }

  #measureSpread(): void {
    const loads = this.#servers.map(({ running, queue }) =>
      running + queue.length
    );
    this.#spread += Math.max(...loads) - Math.min(...loads);
  }

  #after(milliseconds: number, run: () => void): void {
    const ticks = Math.max(1, Math.round(milliseconds / TICK_MILLISECONDS));
    const at = this.#now + ticks * TICK_MILLISECONDS;
    const actions = this.#actions.get(at) ?? [];
    actions.push(run);
    this.#actions.set(at, actions);
  }
}

function getMean(values: ReadonlyArray<number>): number {
  return values.reduce((sum, each) => sum + each, 0) / values.length;
}
