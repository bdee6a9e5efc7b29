import {
  addCrash,
  addTrial,
  type CrashRecord,
  decideSuspect,
  type SuspectDecision,
} from "../../source/decisions/crash_suspicion.ts";
import { createRandomSource } from "../../source/utilities/random_source.ts";
import { Agenda } from "./agenda.ts";

/** Nodes, servers and load of the model; times in milliseconds. */
export interface CrashModelOptions {
  readonly seed: number;
  readonly nodes: number;
  readonly servers: number;
  readonly durationMilliseconds: number;
  /** Interval at which a crashing request comes; undefined for a load without any. */
  readonly crashingInterval: number | undefined;
  /** Interval at which a harmless request with one content comes. */
  readonly popularInterval: number;
  readonly attempts: number;
  readonly runMilliseconds: number;
  readonly restartMilliseconds: number;
  /** Time until other nodes know of a change of a record. */
  readonly newsMilliseconds: number;
  /** Time at which all servers end together; undefined if they do not. */
  readonly powerLossAt?: number;
  /** Decides on a request; `decideSuspect` if absent. */
  readonly decide?: typeof decideSuspect;
}

/** The outcome of a modelled load. */
export interface CrashModelOutcome {
  /** Number of servers that ended under the crashing request. */
  readonly crashes: number;
  /** Number of runs of the crashing request that began 3 s after its third crash or later. */
  readonly lateRuns: number;
  /** Share of the harmless requests that were served. */
  readonly servedShare: number;
  /** Time from the power loss to the first harmless request that was served after it. */
  readonly popularOutage: number;
}

const GRACE_MILLISECONDS = 3000;
const CRASHING = "crashing";
const POPULAR = "popular";

interface ModelServer {
  /** Number of the start that runs; a run ends without an answer when this changes. */
  starts: number;
  upAt: number;
}

/** Runs nodes that share crash records late, in front of servers that one request crashes. */
export function runCrashModel(options: CrashModelOptions): CrashModelOutcome {
  return new CrashModel(options).run();
}

class CrashModel {
  readonly #options: CrashModelOptions;
  readonly #random: ReturnType<typeof createRandomSource>;
  readonly #agenda = new Agenda();
  readonly #servers: ModelServer[];
  /** Records by content, as the store has them. */
  readonly #stored = new Map<string, CrashRecord>();
  /** Records by content, as each node knows them. */
  readonly #known: Map<string, CrashRecord>[];
  readonly #crashTimes: number[] = [];
  readonly #crashingRuns: number[] = [];
  #sent = 0;
  #served = 0;
  #servedAfterLoss = Infinity;

  constructor(options: CrashModelOptions) {
    this.#options = options;
    this.#random = createRandomSource(options.seed);
    this.#servers = Array.from(
      { length: options.servers },
      () => ({ starts: 0, upAt: 0 }),
    );
    this.#known = Array.from({ length: options.nodes }, () => new Map());
  }

  run(): CrashModelOutcome {
    const { crashingInterval, popularInterval, powerLossAt } = this.#options;
    this.#planLoad(POPULAR, popularInterval);
    if (crashingInterval !== undefined) {
      this.#planLoad(CRASHING, crashingInterval);
    }
    if (powerLossAt !== undefined) {
      this.#agenda.add(powerLossAt, () => {
        for (let index = 0; index < this.#servers.length; index += 1) {
          this.#end(index, powerLossAt);
        }
      });
    }
    this.#agenda.run();
    const third = this.#crashTimes[2] ?? Infinity;
    return {
      crashes: this.#crashTimes.length,
      lateRuns:
        this.#crashingRuns.filter((time) => time >= third + GRACE_MILLISECONDS)
          .length,
      servedShare: this.#served / this.#sent,
      popularOutage: this.#servedAfterLoss - (powerLossAt ?? 0),
    };
  }

  #planLoad(content: string, interval: number): void {
    const { durationMilliseconds, nodes } = this.#options;
    for (let at = 0; at < durationMilliseconds; at += interval) {
      const time = at + this.#random.next() * interval;
      const node = this.#random.nextBelow(nodes);
      this.#agenda.add(time, () => this.#call(time, { node, content }));
    }
  }

  #call(
    now: number,
    call: { readonly node: number; readonly content: string },
  ): void {
    if (call.content === POPULAR) this.#sent += 1;
    const record = this.#known[call.node]?.get(call.content);
    const { kind } = this.#decide(record, now);
    if (kind === "reject") return;
    if (kind === "try") {
      const stored = this.#stored.get(call.content);
      // The claim fails when another node has changed the record.
      if (stored === undefined || stored !== record) return;
      this.#publish(now, call, addTrial(stored, now));
    }
    this.#send(now, { ...call, isOnTrial: kind === "try", attempt: 1 });
  }

  #decide(record: CrashRecord | undefined, now: number): SuspectDecision {
    const decide = this.#options.decide ?? decideSuspect;
    const servers = this.#servers.flatMap(({ starts, upAt }, index) =>
      upAt <= now ? [{ identifier: `s${index}`, startedAt: starts }] : []
    );
    return decide(record, { now, servers });
  }

  #send(
    now: number,
    call: {
      readonly node: number;
      readonly content: string;
      readonly isOnTrial: boolean;
      readonly attempt: number;
    },
  ): void {
    const up = this.#servers.flatMap((server, index) =>
      server.upAt <= now ? [index] : []
    );
    const index = up[this.#random.nextBelow(Math.max(1, up.length))];
    const server = index === undefined ? undefined : this.#servers[index];
    if (index === undefined || server === undefined) return;
    const start = server.starts;
    if (call.content === CRASHING) this.#crashingRuns.push(now);
    const endsAt = now +
      this.#options.runMilliseconds * (0.5 + this.#random.next());
    this.#agenda.add(endsAt, () => {
      if (call.content === CRASHING && server.starts === start) {
        this.#crashTimes.push(endsAt);
        this.#end(index, endsAt);
      }
      if (server.starts === start) return this.#serve(endsAt, call);
      const at = endsAt;
      const crash = { server: `s${index}`, startedAt: start, at };
      const record = addCrash(this.#stored.get(call.content), crash);
      this.#publish(at, call, record);
      const decision = this.#decide(record, at);
      const mayRepeat = !call.isOnTrial && decision.kind === "send" &&
        call.attempt < this.#options.attempts;
      if (mayRepeat) this.#send(at, { ...call, attempt: call.attempt + 1 });
    });
  }

  #serve(
    now: number,
    call: { readonly node: number; readonly content: string },
  ): void {
    const { powerLossAt } = this.#options;
    this.#served += 1;
    if (powerLossAt !== undefined && now > powerLossAt) {
      this.#servedAfterLoss = Math.min(this.#servedAfterLoss, now);
    }
    if (this.#known[call.node]?.has(call.content) === true) {
      this.#publish(now, call, undefined);
    }
  }

  // Changes a record at a node and in the store at once, and at the other nodes later.
  #publish(
    now: number,
    { node, content }: { readonly node: number; readonly content: string },
    record: CrashRecord | undefined,
  ): void {
    const set = (records: Map<string, CrashRecord> | undefined): void => {
      if (record === undefined) records?.delete(content);
      else records?.set(content, record);
    };
    set(this.#stored);
    set(this.#known[node]);
    this.#agenda.add(now + this.#options.newsMilliseconds, () => {
      const latest = this.#stored.get(content);
      for (const known of this.#known) {
        if (latest === undefined) known.delete(content);
        else known.set(content, latest);
      }
    });
  }

  #end(index: number, now: number): void {
    const server = this.#servers[index];
    if (server === undefined) return;
    server.starts += 1;
    server.upAt = now + this.#options.restartMilliseconds;
  }
}
