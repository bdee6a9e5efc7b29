import type { TrainerClient } from "../../clients/trainer_client.ts";
import type { Journal } from "../journal.ts";

const GROUPS = 4;
const SAMPLES_PER_GROUP = 8;
const TOKENS_PER_SAMPLE = 32;
const STEP_LIMIT_MILLISECONDS = 120_000;
const PUBLISH_INTERVAL_MILLISECONDS = 3000;

/** Options of a trainer in a soak test. */
export interface TrainerOptions {
  readonly trainer: TrainerClient;
  readonly journal: Journal;
  /** When aborted, the trainer starts no further step and publishes no further version. */
  readonly signal: AbortSignal;
}

/**
 * Runs one step after another until aborted.
 * @param options - Options of the trainer.
 */
export async function runSteps(options: TrainerOptions): Promise<void> {
  for (let number = 1; !options.signal.aborted; number += 1) {
    const step = `step-${number}`;
    const prompts = Array.from(
      { length: GROUPS },
      (_, group) => `Transcribe page ${number}, line ${group}`,
    );
    const result = await options.trainer.runStep(
      step,
      prompts.map((prompt) => ({
        prompt,
        samples: SAMPLES_PER_GROUP,
        maximumTokens: TOKENS_PER_SAMPLE,
      })),
      STEP_LIMIT_MILLISECONDS,
    );
    const wanted = GROUPS * SAMPLES_PER_GROUP;
    options.journal.steps.push({ step, prompts, wanted, result });
  }
}

/**
 * Publishes one version after another until aborted.
 * @param options - Options of the trainer.
 */
export async function runPublications(options: TrainerOptions): Promise<void> {
  let version = 2;
  while (!options.signal.aborted) {
    await new Promise((resolve) =>
      setTimeout(resolve, PUBLISH_INTERVAL_MILLISECONDS)
    );
    if (options.signal.aborted) return;
    if (await options.trainer.publish(version)) version += 1;
  }
}
