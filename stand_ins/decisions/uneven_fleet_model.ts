import { chooseEngine } from "../../source/decisions/engine_choice.ts";
import { shouldMove } from "../../source/decisions/engine_move.ts";
import { EngineSpeed } from "../../source/decisions/engine_speed.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../../source/utilities/random_source.ts";
import { Agenda } from "./agenda.ts";

const ENGINES = 24;
const SLOTS = 6;
const EVENT_MILLISECONDS = 40;
/** Largest factor by which an engine is slower than the fastest one for good. */
const LARGEST_FACTOR = 2.4;
const SLOW_SHARE = 0.15;
const SLOW_MILLISECONDS = 15_000;
const DURATION_MILLISECONDS = 60_000;
const STEP_INTERVAL_MILLISECONDS = 4000;
const PROMPT_TOKENS = 4000;
const TOKENS_PER_EVENT = 50;
const TOKENS_PER_MILLISECOND = 330;
const REQUEST_MILLISECONDS = 15;
const EVENTS_BETWEEN_CHECKS = 4;
const LOAD_INTERVAL_MILLISECONDS = 10_000;
const LOAD_MILLISECONDS = 900;
const LONG_EVENTS = 90;

/** What the model of an uneven fleet varies. */
export interface UnevenFleetOptions {
  readonly seed: number;
  /** Samples of a step, one of which starts each 4 s. */
  readonly samplesPerStep: number;
  /** Whether some engines are 4 to 8 times slower for 15 s. */
  readonly hasSlowPeriods: boolean;
}

/** Figures of a run of the model. */
export interface UnevenFleetFigures {
  readonly texts: number;
  readonly moves: number;
  readonly movedTexts: number;
  readonly repeatedTokens: number;
  readonly meanMilliseconds: number;
  readonly meanLongMilliseconds: number;
  readonly largestMilliseconds: number;
}

interface Engine {
  readonly identifier: string;
  readonly factor: number;
  readonly slowFrom: number;
  readonly slowFactor: number;
  readonly loadAt: number;
  running: number;
  speed: EngineSpeed;
  // Measurement of the rule before.
  average: number | undefined;
  measuredAt: number;
}

interface Text {
  readonly createdAt: number;
  readonly events: number;
  readonly estimate: number;
  made: number;
  moves: number;
  avoided: string | undefined;
}

/**
 * Model of one node that runs texts on engines of different speed. The rule before moved a text
 * whenever its engine was usually slower than another one by a factor of 2, and forgot measurements
 * after 4 s.
 */
export class UnevenFleetModel {
  readonly #options: UnevenFleetOptions;
  readonly #rule: "before" | "now";
  readonly #random: RandomSource;
  readonly #agenda = new Agenda();
  readonly #engines: ReadonlyArray<Engine>;
  readonly #queue: Text[] = [];
  readonly #done: { readonly text: Text; readonly milliseconds: number }[] = [];
  #moves = 0;
  #repeatedTokens = 0;
  #movedAt = -Infinity;

  /**
   * @param options - The seed, the load and the engines.
   * @param rule - The rules by which texts are placed and moved.
   */
  constructor(options: UnevenFleetOptions, rule: "before" | "now") {
    this.#options = options;
    this.#rule = rule;
    this.#random = createRandomSource(options.seed);
    this.#engines = Array.from(
      { length: ENGINES },
      (_unused, index) => this.#createEngine(index),
    );
  }

  /** Runs the model and returns its figures. */
  run(): UnevenFleetFigures {
    const steps = DURATION_MILLISECONDS / STEP_INTERVAL_MILLISECONDS;
    for (let step = 0; step < steps; step += 1) {
      const at = step * STEP_INTERVAL_MILLISECONDS;
      const texts = Array.from(
        { length: this.#options.samplesPerStep },
        () => this.#createText(at),
      ).sort((left, right) => right.estimate - left.estimate);
      this.#agenda.add(at, () => {
        this.#queue.push(...texts);
        this.#place(at);
      });
    }
    this.#agenda.run();
    return this.#summarise();
  }

  #createEngine(index: number): Engine {
    const isSlow = this.#random.next() < SLOW_SHARE;
    const slowFrom = this.#random.next() *
      (DURATION_MILLISECONDS - SLOW_MILLISECONDS);
    return {
      identifier: `e${index}`,
      factor: 1 + (LARGEST_FACTOR - 1) * index / (ENGINES - 1),
      slowFrom: isSlow && this.#options.hasSlowPeriods ? slowFrom : Infinity,
      slowFactor: 4 + 4 * this.#random.next(),
      loadAt: Math.floor(index / 6) * 1500,
      running: 0,
      speed: new EngineSpeed(),
      average: undefined,
      measuredAt: -Infinity,
    };
  }

  #createText(createdAt: number): Text {
    const spread = this.#random.next() + this.#random.next() +
      this.#random.next() - 1.5;
    const events = Math.max(3, Math.round(20 * Math.exp(1.4 * spread)));
    const error = Math.exp(1.2 * (this.#random.next() - 0.5));
    const estimate = Math.max(1, events * error);
    return {
      createdAt,
      events,
      estimate,
      made: 0,
      moves: 0,
      avoided: undefined,
    };
  }

  #place(now: number): void {
    for (;;) {
      const [text] = this.#queue;
      if (text === undefined) return;
      const free = this.#engines.filter(({ running }) => running < SLOTS);
      const chosen = chooseEngine(
        free.map((engine) => ({
          engine,
          identifier: engine.identifier,
          running: engine.running,
          eventMilliseconds: this.#expect(engine, now),
          hasPrompt: false,
          memoryShare: 0,
          isConnected: true,
          versionLead: 0,
        })),
        {
          expectedEvents: Math.max(1, text.estimate - text.made),
          promptTokens: PROMPT_TOKENS,
          memoryShare: 0,
          usualEventMilliseconds: this.#usual(now),
          avoidedEngine: text.avoided,
        },
      );
      if (chosen === undefined) return;
      this.#queue.shift();
      this.#start(chosen.engine, text, now);
    }
  }

  #start(engine: Engine, text: Text, now: number): void {
    engine.running += 1;
    const tokens = PROMPT_TOKENS + TOKENS_PER_EVENT * text.made;
    if (text.moves > 0) this.#repeatedTokens += tokens;
    const readAt = now + REQUEST_MILLISECONDS + tokens / TOKENS_PER_MILLISECOND;
    this.#planEvent(engine, text, { now: readAt, events: 0 });
  }

  #planEvent(
    engine: Engine,
    text: Text,
    { now, events }: { readonly now: number; readonly events: number },
  ): void {
    const isSlow = now >= engine.slowFrom &&
      now < engine.slowFrom + SLOW_MILLISECONDS;
    const usual = EVENT_MILLISECONDS * engine.factor *
      (0.9 + 0.2 * this.#random.next());
    const phase = (now - engine.loadAt) % LOAD_INTERVAL_MILLISECONDS;
    const isLoading = phase >= 0 && phase < LOAD_MILLISECONDS;
    const took = usual * (isSlow ? engine.slowFactor : 1) +
      (isLoading ? LOAD_MILLISECONDS - phase : 0);
    this.#agenda.add(now + took, () => {
      if (events > 0) {
        this.#measure(engine, { took, now: now + took, isLoading });
      }
      this.#handleEvent(engine, text, { now: now + took, events: events + 1 });
    });
  }

  #handleEvent(
    engine: Engine,
    text: Text,
    { now, events }: { readonly now: number; readonly events: number },
  ): void {
    text.made += 1;
    const isDone = text.made >= text.events;
    const isMoved = !isDone && events % EVENTS_BETWEEN_CHECKS === 0 &&
      this.#isMoved(engine, text, now);
    if (!isDone && !isMoved) {
      return this.#planEvent(engine, text, { now, events });
    }
    engine.running -= 1;
    if (isDone) {
      this.#done.push({ text, milliseconds: now - text.createdAt });
    } else {
      this.#moves += 1;
      text.moves += 1;
      text.avoided = engine.identifier;
      // A text that goes on is more urgent than those that have not started.
      this.#queue.unshift(text);
    }
    this.#place(now);
  }

  #isMoved(engine: Engine, text: Text, now: number): boolean {
    const others = this.#engines.filter((each) =>
      each !== engine && each.running < SLOTS
    );
    if (this.#rule === "before") {
      const own = this.#measured(engine, now);
      if (own === undefined || own <= this.#usual(now)) return false;
      return others.some((each) => {
        const other = this.#measured(each, now);
        return other !== undefined && own > 2 * other;
      });
    }
    const isMoved = shouldMove(
      {
        remainingEvents: Math.max(1, text.estimate - text.made, text.made / 2),
        tokens: PROMPT_TOKENS + TOKENS_PER_EVENT * text.made,
        moves: text.moves,
        recentMilliseconds: engine.speed.recent(now),
        usualMilliseconds: engine.speed.usual,
        sinceLastMove: now - this.#movedAt,
      },
      others.map(({ speed }) => ({
        eventMilliseconds: speed.recent(now),
        isConnected: true,
      })),
    );
    if (isMoved) this.#movedAt = now;
    return isMoved;
  }

  #measure(
    engine: Engine,
    { took, now, isLoading }: {
      readonly took: number;
      readonly now: number;
      readonly isLoading: boolean;
    },
  ): void {
    if (!isLoading) engine.speed.record(took, now);
    const average = engine.average ?? took;
    engine.average = average + 0.15 * (took - average);
    engine.measuredAt = now;
  }

  #measured(engine: Engine, now: number): number | undefined {
    return now - engine.measuredAt < 4000 ? engine.average : undefined;
  }

  #expect(engine: Engine, now: number): number | undefined {
    return this.#rule === "before"
      ? this.#measured(engine, now)
      : engine.speed.expect(now, this.#usual(now));
  }

  #usual(now: number): number {
    const measured = this.#engines.flatMap((engine) =>
      (this.#rule === "before"
        ? this.#measured(engine, now)
        : engine.speed.recent(now)) ?? []
    ).sort((left, right) => left - right);
    return measured[measured.length >> 1] ?? EVENT_MILLISECONDS;
  }

  #summarise(): UnevenFleetFigures {
    const times = this.#done.map(({ milliseconds }) => milliseconds);
    const long = this.#done.filter(({ text }) => text.events >= LONG_EVENTS)
      .map(({ milliseconds }) => milliseconds);
    return {
      texts: this.#done.length,
      moves: this.#moves,
      movedTexts: this.#done.filter(({ text }) => text.moves > 0).length,
      repeatedTokens: this.#repeatedTokens,
      meanMilliseconds: Math.round(getMean(times)),
      meanLongMilliseconds: Math.round(getMean(long)),
      largestMilliseconds: Math.round(Math.max(...times)),
    };
  }
}

function getMean(values: ReadonlyArray<number>): number {
  return values.reduce((sum, each) => sum + each, 0) / values.length;
}
