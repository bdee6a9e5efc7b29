import { chooseEngine } from "../../source/decisions/engine_choice.ts";
import type { Rendezvous } from "../../source/membership/rendezvous.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../../source/utilities/random_source.ts";
import { Agenda } from "./agenda.ts";

const ENGINES = 24;
const SLOTS = 6;
const EVENT_MILLISECONDS = 40;
const LARGEST_FACTOR = 2.4;
const MEAN_EVENTS = 27;
const GROUP_SIZE = 16;
const PROMPT_TOKENS = 4000;
const TOKENS_PER_MILLISECOND = 330;
const DURATION_MILLISECONDS = 60_000;
const LOAD_INTERVAL_MILLISECONDS = 20_000;
const PROMPTS_PER_ENGINE = 48;

/** What the model of shared prompts varies. */
export interface PromptModelOptions {
  readonly seed: number;
  /** Nodes that place groups; each knows the prompts that it sent itself. */
  readonly nodes: number;
  /** Share of the slots that are in use on average. */
  readonly load: number;
  /** Number of prompts that are used again and again; each group has one. */
  readonly prompts: number;
}

/** Figures of a run of the model. */
export interface PromptFigures {
  readonly samples: number;
  /** Share of the samples whose shared prompt was read though some engine had read it. */
  readonly readAgainShare: number;
  /** Mean time from the arrival of a sample to the end of its text. */
  readonly meanMilliseconds: number;
}

interface Engine {
  readonly identifier: string;
  readonly factor: number;
  readonly prompts: Set<string>;
  running: number;
}

interface Sample {
  readonly node: number;
  readonly prompt: string;
  readonly events: number;
  readonly arrivedAt: number;
}

/** Model of nodes that place groups of samples with shared prompts on uneven engines. */
export class PromptModel {
  readonly #options: PromptModelOptions;
  readonly #rendezvous: Rendezvous | undefined;
  readonly #random: RandomSource;
  readonly #agenda = new Agenda();
  readonly #engines: ReadonlyArray<Engine>;
  /** Prompts that each node sent to each engine. */
  readonly #known: ReadonlyArray<Map<string, Set<string>>>;
  readonly #seen = new Set<string>();
  readonly #queue: Sample[] = [];
  readonly #times: number[] = [];
  #readAgain = 0;

  /**
   * @param options - The seed and the load.
   * @param rendezvous - Orders the engines of a prompt; undefined for the rule before.
   */
  constructor(options: PromptModelOptions, rendezvous?: Rendezvous) {
    this.#options = options;
    this.#rendezvous = rendezvous;
    this.#random = createRandomSource(options.seed);
    this.#engines = Array.from({ length: ENGINES }, (_unused, index) => ({
      identifier: `e${index}`,
      factor: 1 + (LARGEST_FACTOR - 1) * index / (ENGINES - 1),
      prompts: new Set(),
      running: 0,
    }));
    this.#known = Array.from({ length: options.nodes }, () => new Map());
  }

  /** Runs the model and returns its figures. */
  run(): PromptFigures {
    const meanRun = MEAN_EVENTS * EVENT_MILLISECONDS * (1 + LARGEST_FACTOR) / 2;
    const interval = GROUP_SIZE * meanRun /
      (this.#options.load * ENGINES * SLOTS);
    for (let at = 0; at < DURATION_MILLISECONDS;) {
      this.#planGroup(at);
      at += interval * (0.5 + this.#random.next());
    }
    for (
      let at = LOAD_INTERVAL_MILLISECONDS;
      at < DURATION_MILLISECONDS;
      at += LOAD_INTERVAL_MILLISECONDS
    ) {
      // New weights make all read prompts useless.
      this.#agenda.add(at, () => {
        for (const engine of this.#engines) this.#forget(engine);
        this.#seen.clear();
      });
    }
    this.#agenda.run();
    const total = this.#times.reduce((sum, each) => sum + each, 0);
    return {
      samples: this.#times.length,
      readAgainShare: Number((this.#readAgain / this.#times.length).toFixed(3)),
      meanMilliseconds: Math.round(total / this.#times.length),
    };
  }

  #planGroup(at: number): void {
    const prompt = `p${this.#random.nextBelow(this.#options.prompts)}`;
    const node = this.#random.nextBelow(this.#options.nodes);
    const samples = Array.from({ length: GROUP_SIZE }, () => ({
      node,
      prompt,
      events: 1 + Math.round(2 * (MEAN_EVENTS - 1) * this.#random.next()),
      arrivedAt: at,
    }));
    this.#agenda.add(at, () => {
      this.#queue.push(...samples);
      this.#place(at);
    });
  }

  #place(now: number): void {
    while (this.#queue.length > 0) {
      const [sample] = this.#queue;
      if (sample === undefined) return;
      const candidates = this.#engines
        .filter(({ running }) => running < SLOTS)
        .map((engine) => ({
          engine,
          identifier: engine.identifier,
          running: engine.running,
          eventMilliseconds: EVENT_MILLISECONDS * engine.factor,
          hasPrompt: this.#known[sample.node]?.get(engine.identifier)?.has(
            sample.prompt,
          ) ?? false,
          memoryShare: 0,
          isConnected: true,
          versionLead: 0,
          ...(this.#rendezvous === undefined ? {} : {
            slots: SLOTS,
            promptScore: this.#rendezvous.score(
              sample.prompt,
              engine.identifier,
            ) / 2 ** 32,
          }),
        }));
      const chosen = chooseEngine(candidates, {
        expectedEvents: sample.events,
        promptTokens: PROMPT_TOKENS,
        memoryShare: 0,
        usualEventMilliseconds: EVENT_MILLISECONDS,
        avoidedEngine: undefined,
      });
      if (chosen === undefined) return;
      this.#queue.shift();
      this.#run(chosen.engine, sample, now);
    }
  }

  #run(engine: Engine, sample: Sample, now: number): void {
    const isRead = !engine.prompts.has(sample.prompt);
    if (isRead && this.#seen.has(sample.prompt)) this.#readAgain += 1;
    this.#seen.add(sample.prompt);
    // Sets keep the order of insertion, so the oldest prompt is the first.
    engine.prompts.delete(sample.prompt);
    engine.prompts.add(sample.prompt);
    const [oldest] = engine.prompts;
    if (engine.prompts.size > PROMPTS_PER_ENGINE && oldest !== undefined) {
      engine.prompts.delete(oldest);
    }
    const known = this.#known[sample.node];
    const prompts = known?.get(engine.identifier) ?? new Set();
    known?.set(engine.identifier, prompts.add(sample.prompt));
    engine.running += 1;
    // Reading a prompt delays all runs of the engine.
    const reading = isRead
      ? PROMPT_TOKENS / TOKENS_PER_MILLISECOND * engine.running
      : 0;
    const took = reading + sample.events * EVENT_MILLISECONDS * engine.factor;
    this.#agenda.add(now + took, () => {
      engine.running -= 1;
      this.#times.push(now + took - sample.arrivedAt);
      this.#place(now + took);
    });
  }

  #forget(engine: Engine): void {
    engine.prompts.clear();
    for (const known of this.#known) known.delete(engine.identifier);
  }
}
