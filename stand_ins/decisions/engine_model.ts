import { Agenda } from "./agenda.ts";
import type { ModelSample } from "./step_load.ts";

/** An engine of the model. */
export interface ModelEngine {
  readonly identifier: string;
  readonly slots: number;
  /** Returns the time for one event that starts at a given time, in milliseconds. */
  readonly eventMilliseconds: (now: number) => number;
}

/** Decides which sample a free slot runs, and in which order samples wait. */
export interface ModelPolicy {
  /** Called when a sample is submitted. */
  add(sample: ModelSample, now: number): void;
  /** Removes and returns the next sample to run; undefined when none waits. */
  take(now: number): ModelSample | undefined;
}

/** The outcome of a modelled load. */
export interface ModelOutcome {
  /**
   * Share of the groups that trainers wait for which were complete by their deadline; a step counts
   * at most its number of target groups.
   */
  readonly shareInTime: number;
  /** The smallest share of a trainer. */
  readonly lowestTrainerShare: number;
}

/** Time between the last event of a text and its listed result. */
const SCORING_MILLISECONDS = 250;
const PROMPT_TOKENS_PER_MILLISECOND = 341;

/**
 * Runs a load on engines without sockets or timers: every slot runs one sample at a time, and a run
 * takes the time of its prompt and of its events.
 */
export function runEngineModel(
  samples: ReadonlyArray<ModelSample>,
  engines: ReadonlyArray<ModelEngine>,
  policy: ModelPolicy,
): ModelOutcome {
  const agenda = new Agenda();
  const endedAt = new Map<string, number>();
  const freeSlots = engines.flatMap((engine) =>
    Array.from({ length: engine.slots }, () => engine)
  );
  const assign = (now: number): void => {
    while (freeSlots.length > 0) {
      const sample = policy.take(now);
      const engine = sample === undefined ? undefined : freeSlots.shift();
      if (sample === undefined || engine === undefined) return;
      const duration = sample.promptTokens / PROMPT_TOKENS_PER_MILLISECOND +
        sample.events * engine.eventMilliseconds(now);
      agenda.add(now + duration, () => {
        endedAt.set(sample.identifier, now + duration + SCORING_MILLISECONDS);
        freeSlots.push(engine);
        assign(now + duration);
      });
    }
  };
  for (const sample of samples) {
    agenda.add(sample.submittedAt, () => {
      policy.add(sample, sample.submittedAt);
      // The samples of one step arrive together.
      agenda.add(sample.submittedAt, () => assign(sample.submittedAt));
    });
  }
  agenda.run();
  return summarise(samples, endedAt);
}

function summarise(
  samples: ReadonlyArray<ModelSample>,
  endedAt: ReadonlyMap<string, number>,
): ModelOutcome {
  const late = new Set<string>();
  const steps = new Map<
    string,
    { trainer: number; target: number; groups: Set<string> }
  >();
  for (const sample of samples) {
    const name = `${sample.trainer}/${sample.step}`;
    const step = steps.get(name) ??
      {
        trainer: sample.trainer,
        target: sample.targetGroups,
        groups: new Set(),
      };
    step.groups.add(sample.group);
    steps.set(name, step);
    const end = endedAt.get(sample.identifier) ?? Infinity;
    if (end > sample.dueAt) late.add(sample.group);
  }
  const share = (trainer?: number): number => {
    let inTime = 0;
    let wanted = 0;
    for (const step of steps.values()) {
      if (trainer !== undefined && step.trainer !== trainer) continue;
      const whole = [...step.groups].filter((group) => !late.has(group)).length;
      inTime += Math.min(whole, step.target);
      wanted += step.target;
    }
    return inTime / wanted;
  };
  const trainers = new Set(samples.map(({ trainer }) => trainer));
  return {
    shareInTime: share(),
    lowestTrainerShare: Math.min(...[...trainers].map(share)),
  };
}
