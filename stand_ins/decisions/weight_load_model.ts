import type { EngineRequest } from "../../source/durable_steps/engine_request.ts";
import { EngineLoads } from "../../source/durable_steps/engine_loads.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../../source/utilities/random_source.ts";

const TICK_MILLISECONDS = 10;
const DURATION_MILLISECONDS = 60_000;
const ENGINES = 12;
const SLOTS = 6;
const ROUND_MILLISECONDS = 6000;
/** Number of engines that are ordered to load at once. */
const LOADS_AT_ONCE = 3;
const RUN_MILLISECONDS = 1200;
/** Time from a request until its refusal or its first event. */
const ANSWER_MILLISECONDS = 20;
const EVENT_MILLISECONDS = 40;
const HEARTBEAT_MILLISECONDS = 500;
const LATE_MILLISECONDS = 3000;
const MODEL = "m";

/** What the model of weight loads varies. */
export interface WeightLoadModelOptions {
  readonly seed: number;
  readonly loadMilliseconds?: number;
  /** Whether the node that places samples has ordered the loads itself. */
  readonly isOwnOrder?: boolean;
  /** Whether runs go on during a load and report its version from its end on. */
  readonly isEndReported?: boolean;
  readonly lostShare?: number;
  readonly lateShare?: number;
  readonly samplesPerSecond?: number;
}

/** Figures of a run of the model. */
export interface WeightLoadFigures {
  readonly sent: number;
  readonly refusedShare: number;
  readonly meanWaitMilliseconds: number;
  readonly largestWaitMilliseconds: number;
}

interface Engine {
  readonly name: string;
  running: number;
  loadsFrom: number;
  loadsUntil: number;
  version: number;
  nextVersion: number;
  refusals: number;
  backoffUntil: number;
  avoidedUntil: number;
  unanswered: number;
}

interface Action {
  readonly at: number;
  readonly run: () => void;
}

/**
 * Model of one node that places samples of any version on engines that load weights in rounds. The
 * rule before placed samples regardless of loads and paused after a refusal.
 */
export class WeightLoadModel {
  readonly #options: Required<WeightLoadModelOptions>;
  readonly #random: RandomSource;
  #now = 0;
  readonly #engines: ReadonlyArray<Engine>;
  readonly #loads: EngineLoads;
  readonly #waits: number[] = [];
  readonly #known = new Map<string, number>();
  #rule: "before" | "now" = "now";
  #actions: Action[] = [];
  #queue: number[] = [];
  #sent = 0;
  #refused = 0;

  /** @param options - The seed and what differs from usual loads. */
  constructor(options: WeightLoadModelOptions) {
    this.#options = {
      loadMilliseconds: 900,
      isOwnOrder: true,
      isEndReported: true,
      lostShare: 0,
      lateShare: 0,
      samplesPerSecond: 45,
      ...options,
    };
    this.#random = createRandomSource(options.seed);
    this.#engines = Array.from({ length: ENGINES }, (_unused, index) => ({
      name: `e${index}`,
      running: 0,
      loadsFrom: -1,
      loadsUntil: -1,
      version: 1,
      nextVersion: 1,
      refusals: 0,
      backoffUntil: 0,
      avoidedUntil: 0,
      unanswered: 0,
    }));
    this.#loads = new EngineLoads({
      clock: { monotonic: () => this.#now },
      getKnownVersion: (name) => this.#known.get(name) ?? 1,
    });
  }

  /** Runs the model with a rule and returns its figures. */
  run(rule: "before" | "now"): WeightLoadFigures {
    this.#rule = rule;
    this.#planLoads();
    for (let at = 0; at < DURATION_MILLISECONDS; at += TICK_MILLISECONDS) {
      this.#now = at;
      this.#runDue(at);
      const expected = this.#options.samplesPerSecond * TICK_MILLISECONDS /
        1000;
      if (this.#random.next() < expected) this.#queue.push(at);
      this.#place();
    }
    const total = this.#waits.reduce((sum, each) => sum + each, 0);
    return {
      sent: this.#sent,
      refusedShare: Number((this.#refused / this.#sent).toFixed(4)),
      meanWaitMilliseconds: Number((total / this.#waits.length).toFixed(1)),
      largestWaitMilliseconds: Math.max(...this.#waits),
    };
  }

  #planLoads(): void {
    const rounds = Math.floor(DURATION_MILLISECONDS / ROUND_MILLISECONDS);
    for (let round = 0; round < rounds; round += 1) {
      const at = 1000 + round * ROUND_MILLISECONDS;
      const version = round + 2;
      this.#engines.forEach((engine, index) => {
        const wave = Math.floor(index / LOADS_AT_ONCE);
        this.#planLoad(engine, { at: at + wave * 1300, version });
      });
    }
  }

  #planLoad(
    engine: Engine,
    { at, version }: { readonly at: number; readonly version: number },
  ): void {
    const { lostShare, lateShare, loadMilliseconds, isOwnOrder } =
      this.#options;
    const chance = this.#random.next();
    const duration = loadMilliseconds * (0.85 + 0.3 * this.#random.next());
    const delay = chance < lateShare ? LATE_MILLISECONDS : 0;
    if (chance >= lostShare) {
      this.#plan(at + delay, () => {
        engine.loadsFrom = at + delay;
        engine.loadsUntil = at + delay + duration;
        engine.nextVersion = version;
      });
    }
    const ageMilliseconds = isOwnOrder ? 0 : HEARTBEAT_MILLISECONDS;
    this.#plan(at + ageMilliseconds, () => {
      this.#loads.expect(
        { engine: engine.name, model: MODEL, version, ageMilliseconds },
        {
          shareOfService: 1 / ENGINES,
          isFinishingRuns: false,
          runningElsewhere: 0,
        },
      );
    });
  }

  #place(): void {
    const now = this.#now;
    for (const engine of this.#engines) {
      if (now < engine.loadsUntil) continue;
      const isNew = engine.version < engine.nextVersion;
      engine.version = engine.nextVersion;
      if (!isNew || !this.#options.isEndReported || engine.running === 0) {
        continue;
      }
      this.#plan(now + EVENT_MILLISECONDS, () => this.#reportVersion(engine));
    }
    while (this.#queue.length > 0) {
      const [engine] = [
        ...this.#findFree(false),
        ...(this.#rule === "now" ? this.#findFree(true) : []),
      ];
      if (engine === undefined) return;
      this.#send(engine, this.#queue.shift() ?? now);
    }
  }

  #findFree(isScarce: boolean): ReadonlyArray<Engine> {
    return this.#engines
      .filter((each) => each.running < SLOTS && this.#isFree(each, isScarce))
      .sort((left, right) => left.running - right.running);
  }

  #isFree(engine: Engine, isScarce: boolean): boolean {
    const now = this.#now;
    const isProbed = engine.refusals > 0 && engine.unanswered > 0;
    const isAvoided = this.#rule === "now" && !isScarce &&
      engine.refusals > 0 && now < engine.avoidedUntil;
    return !isProbed && !isAvoided && engine.backoffUntil <= now &&
      (this.#rule === "before" ||
        this.#loads.decide(engine.name, MODEL, isScarce).kind !== "wait");
  }

  #send(engine: Engine, queuedAt: number): void {
    const now = this.#now;
    const request = createRequest();
    this.#sent += 1;
    engine.running += 1;
    engine.unanswered += 1;
    this.#loads.recordRequest(engine.name, request);
    const isRefused = now >= engine.loadsFrom && now < engine.loadsUntil;
    this.#plan(now + ANSWER_MILLISECONDS, () => {
      engine.unanswered -= 1;
      if (isRefused) this.#refuse(engine, { request, queuedAt });
      else this.#start(engine, { request, waited: now - queuedAt });
    });
  }

  #refuse(
    engine: Engine,
    { request, queuedAt }: {
      readonly request: EngineRequest;
      readonly queuedAt: number;
    },
  ): void {
    const now = this.#now;
    this.#refused += 1;
    engine.running -= 1;
    this.#queue.unshift(queuedAt);
    const isLoad = this.#loads.recordRefusal(engine.name, MODEL);
    this.#loads.recordEnd(engine.name, request);
    if (this.#rule === "now" && isLoad) return;
    if (engine.backoffUntil > now) return;
    engine.backoffUntil = now + Math.min(60 * 2 ** engine.refusals, 250);
    engine.refusals += 1;
    engine.avoidedUntil = now + 500;
  }

  #start(
    engine: Engine,
    { request, waited }: {
      readonly request: EngineRequest;
      readonly waited: number;
    },
  ): void {
    this.#waits.push(waited);
    engine.refusals = 0;
    this.#loads.recordRun(engine.name, MODEL);
    this.#reportVersion(engine);
    this.#plan(this.#now + RUN_MILLISECONDS, () => {
      engine.running -= 1;
      this.#loads.recordEnd(engine.name, request);
    });
  }

  #reportVersion(engine: Engine): void {
    this.#loads.recordVersion(engine.name, MODEL, engine.version);
    this.#known.set(engine.name, engine.version);
  }

  #plan(at: number, run: () => void): void {
    this.#actions.push({ at, run });
  }

  #runDue(at: number): void {
    const due = this.#actions.filter((action) => action.at <= at);
    this.#actions = this.#actions.filter((action) => action.at > at);
    for (const { run } of due) run();
  }
}

function createRequest(): EngineRequest {
  return {
    requirements: {
      service: "s",
      model: MODEL,
      minimumVersion: 1,
      exactVersion: undefined,
      softwareVersion: undefined,
    },
    urgency: {
      dueAt: Infinity,
      expectedMilliseconds: RUN_MILLISECONDS,
      group: "g",
      trainer: MODEL,
      isSpare: false,
    },
    expectedEvents: 20,
    expectedTokens: 1000,
    prompt: "",
    promptTokens: 0,
    avoidedEngine: undefined,
  };
}
