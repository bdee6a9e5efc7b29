import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { Clock } from "../utilities/clock.ts";

/** First pause of an engine that refused a request because it was full or loading; a load takes about 1 s. */
const REFUSED_PAUSE_MILLISECONDS = 60;
const LONGEST_REFUSED_PAUSE_MILLISECONDS = 250;
/** Requests beyond its places that an engine may be given, as others' use is known late. */
const ENGINE_QUEUE = 1;
const FAILED_PAUSE_MILLISECONDS = 500;
const LONGEST_PAUSE_MILLISECONDS = 4000;
const PACE_WEIGHT = 0.15;
/** An engine that takes this many times the usual time for an event counts as slow. */
const SLOW_FACTOR = 2;
/** How long a measured pace is believed after the last event. */
const PACE_LIFE_MILLISECONDS = 4000;

/** What a sample needs of an engine. */
export interface EngineNeed {
  readonly service: string;
  readonly model: string;
  /** Oldest weight version that may be used. */
  readonly minimumVersion: number;
  /** The only weight version that may be used; any from the oldest on when undefined. */
  readonly exactVersion: number | undefined;
  /** Smaller is served first. */
  readonly rank: number;
  /** An engine to be avoided while there is another. */
  readonly avoid: string | undefined;
}

interface Waiting {
  readonly need: EngineNeed;
  readonly resolve: (engine: BackendServerEntry | undefined) => void;
}

interface EngineUse {
  running: number;
  /** Requests of the running ones that the engine has not begun to answer. */
  unanswered: number;
  failures: number;
  refusals: number;
  restUntil: number;
  /** Milliseconds an event takes; undefined before the first. */
  pace: number | undefined;
  pacedAt: number;
  /** Weight versions seen in answers and orders since the entry was written. */
  readonly versions: Map<string, number>;
  /** Version that was ordered of a model and is believed for a while before it is seen. */
  expected: ExpectedVersion | undefined;
}

interface ExpectedVersion {
  readonly model: string;
  readonly version: number;
  readonly until: number;
}

/**
 * Gives engines to samples: as many to each engine as it runs at once, the first ranks first.
 */
export class EnginePool {
  readonly #clock: Clock;
  readonly #servers: ServerView;
  readonly #uses = new Map<string, EngineUse>();
  #waiting: Waiting[] = [];
  #others: ReadonlyMap<string, number> = new Map();
  #isPumpDue = false;

  /**
   * @param clock - Time.
   * @param servers - The registered engines.
   */
  constructor(clock: Clock, servers: ServerView) {
    this.#clock = clock;
    this.#servers = servers;
    servers.watch(() => {
      this.#forgetGone();
      this.#pump();
    });
  }

  /** Samples that wait for an engine. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /** Samples that run at an engine. */
  running(identifier: string): number {
    return this.#uses.get(identifier)?.running ?? 0;
  }

  /**
   * Waits for a free place at an engine; it must be given back with `release`.
   * @returns The engine; undefined when the signal was aborted first.
   */
  acquire(
    need: EngineNeed,
    signal: AbortSignal,
  ): Promise<BackendServerEntry | undefined> {
    if (signal.aborted) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      const waiting: Waiting = {
        need,
        resolve: (engine) => {
          signal.removeEventListener("abort", onAbort);
          resolve(engine);
        },
      };
      const onAbort = (): void => {
        this.#waiting = this.#waiting.filter((other) => other !== waiting);
        resolve(undefined);
      };
      signal.addEventListener("abort", onAbort, { once: true });
      const index = this.#waiting.findIndex((other) =>
        other.need.rank > need.rank
      );
      if (index < 0) this.#waiting.push(waiting);
      else this.#waiting.splice(index, 0, waiting);
      this.#pump();
    });
  }

  /** Notes that an engine has begun to answer a request, or refused it. */
  noteAnswered(identifier: string): void {
    this.#use(identifier).unanswered -= 1;
  }

  /** Notes that an engine runs a request. */
  noteStarted(identifier: string): void {
    const use = this.#use(identifier);
    if (use.refusals === 0) return;
    use.refusals = 0;
    this.#pump();
  }

  /** Gives a place back. */
  release(identifier: string): void {
    this.#use(identifier).running -= 1;
    this.#pump();
  }

  /** Notes that an engine refused a request without running it. */
  noteRefused(identifier: string): void {
    const use = this.#use(identifier);
    // Requests that were sent together are refused together.
    if (use.restUntil > this.#clock.monotonic()) return;
    const pause = REFUSED_PAUSE_MILLISECONDS * 2 ** use.refusals;
    use.refusals += 1;
    this.#rest(
      identifier,
      Math.min(pause, LONGEST_REFUSED_PAUSE_MILLISECONDS),
    );
  }

  /** Notes that an engine failed; it rests, longer each time in a row. */
  noteFailure(identifier: string): void {
    const use = this.#use(identifier);
    const pause = FAILED_PAUSE_MILLISECONDS * 2 ** use.failures;
    use.failures += 1;
    this.#rest(identifier, Math.min(pause, LONGEST_PAUSE_MILLISECONDS));
  }

  /** Notes events and the time that they took each. */
  notePace(identifier: string, milliseconds: number): void {
    const use = this.#use(identifier);
    use.failures = 0;
    use.refusals = 0;
    const pace = use.pace ?? milliseconds;
    use.pace = pace + PACE_WEIGHT * (milliseconds - pace);
    use.pacedAt = this.#clock.monotonic();
  }

  /** Notes the weight version that an engine was seen to use. */
  noteVersion(identifier: string, model: string, version: number): void {
    const { versions } = this.#use(identifier);
    versions.set(model, Math.max(version, versions.get(model) ?? 0));
  }

  /** Notes that an engine was ordered to load a version, which is believed for a while. */
  expectVersion(
    load: {
      readonly engine: string;
      readonly model: string;
      readonly version: number;
    },
    milliseconds: number,
  ): void {
    const use = this.#use(load.engine);
    const { model, version } = load;
    const { expected } = use;
    if (expected?.model === model && expected.version >= version) return;
    const until = this.#clock.monotonic() + milliseconds;
    use.expected = { model, version, until };
    this.#pump();
  }

  /** Notes how many samples other nodes run at each engine. */
  setOthers(others: ReadonlyMap<string, number>): void {
    this.#others = others;
    this.#pump();
  }

  /** Running samples of this node by engine, engines without any left out. */
  runningByEngine(): Readonly<Record<string, number>> {
    const running = [...this.#uses].filter(([, use]) => use.running > 0);
    return Object.fromEntries(
      running.map(([identifier, use]) => [identifier, use.running]),
    );
  }

  /** Returns the weight version of a model at an engine, as far as it is known. */
  versionOf(engine: BackendServerEntry, model: string): number | undefined {
    const told = engine.weightVersions.get(model);
    const seen = this.#uses.get(engine.identifier)?.versions.get(model);
    if (told === undefined) return undefined;
    return Math.max(told, seen ?? 0);
  }

  /** Whether an engine is much slower than a free one that could go on with the sample. */
  hasFasterFree(identifier: string, need: EngineNeed): boolean {
    const pace = this.#pace(identifier);
    if (pace === undefined) return false;
    return this.#candidates(need).some((engine) => {
      if (engine.identifier === identifier) return false;
      const other = this.#pace(engine.identifier);
      return other !== undefined && pace > SLOW_FACTOR * other;
    });
  }

  #pace(identifier: string): number | undefined {
    const use = this.#uses.get(identifier);
    if (use?.pace === undefined) return undefined;
    const age = this.#clock.monotonic() - use.pacedAt;
    return age < PACE_LIFE_MILLISECONDS ? use.pace : undefined;
  }

  #pump(): void {
    const left: Waiting[] = [];
    for (const waiting of this.#waiting) {
      const engine = this.#choose(waiting.need);
      if (engine === undefined) {
        left.push(waiting);
        continue;
      }
      const use = this.#use(engine.identifier);
      use.running += 1;
      use.unanswered += 1;
      waiting.resolve(engine);
    }
    this.#waiting = left;
  }

  #choose(need: EngineNeed): BackendServerEntry | undefined {
    let best: BackendServerEntry | undefined;
    let lowest = Infinity;
    for (const engine of this.#candidates(need)) {
      const cost = this.#cost(engine, need);
      if (cost < lowest) [best, lowest] = [engine, cost];
    }
    return best;
  }

  #candidates(need: EngineNeed): ReadonlyArray<BackendServerEntry> {
    const now = this.#clock.monotonic();
    return this.#servers.ofService(need.service).filter((engine) => {
      const version = this.#likelyVersion(engine, need.model);
      if (version === undefined || version < need.minimumVersion) return false;
      if (need.exactVersion !== undefined && version !== need.exactVersion) {
        return false;
      }
      const use = this.#uses.get(engine.identifier);
      if (use === undefined) return this.#taken(engine) < engine.slots;
      // After a refusal one request finds out whether the engine takes more.
      const isTried = use.refusals > 0 && use.unanswered > 0;
      return !isTried && use.running < engine.slots && use.restUntil <= now &&
        this.#taken(engine) < engine.slots + ENGINE_QUEUE;
    });
  }

  // The places taken count most, then the pace; an old version will need a load sooner.
  #cost(engine: BackendServerEntry, need: EngineNeed): number {
    const taken = this.#taken(engine) / engine.slots;
    const pace = this.#pace(engine.identifier);
    const version = this.versionOf(engine, need.model) ?? 0;
    const isAvoided = engine.identifier === need.avoid;
    return (1 + taken) * (pace ?? 1) + (isAvoided ? 1e6 : 0) -
      0.01 * Math.min(50, version - need.minimumVersion);
  }

  // Places taken by all nodes, as far as it is known.
  #taken({ identifier }: BackendServerEntry): number {
    return this.running(identifier) + (this.#others.get(identifier) ?? 0);
  }

  #likelyVersion(
    engine: BackendServerEntry,
    model: string,
  ): number | undefined {
    const version = this.versionOf(engine, model);
    const expected = this.#uses.get(engine.identifier)?.expected;
    const isBelieved = version !== undefined && expected?.model === model &&
      expected.until > this.#clock.monotonic();
    return isBelieved ? Math.max(version, expected.version) : version;
  }

  #rest(identifier: string, milliseconds: number): void {
    const use = this.#use(identifier);
    const until = this.#clock.monotonic() + milliseconds;
    use.restUntil = Math.max(use.restUntil, until);
    if (this.#isPumpDue) return;
    this.#isPumpDue = true;
    void this.#clock.sleep(milliseconds + 1).then(() => {
      this.#isPumpDue = false;
      this.#pump();
    });
  }

  #forgetGone(): void {
    for (const [identifier, use] of this.#uses) {
      const isGone = !this.#servers.servers.has(identifier);
      if (isGone && use.running === 0) this.#uses.delete(identifier);
    }
  }

  #use(identifier: string): EngineUse {
    let use = this.#uses.get(identifier);
    if (use === undefined) {
      use = {
        running: 0,
        unanswered: 0,
        failures: 0,
        refusals: 0,
        restUntil: 0,
        pace: undefined,
        pacedAt: 0,
        versions: new Map(),
        expected: undefined,
      };
      this.#uses.set(identifier, use);
    }
    return use;
  }
}
