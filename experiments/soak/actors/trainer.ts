import type { TrainerClient } from "../../clients/trainer_client.ts";
import type { Journal } from "../journal.ts";

const GROUPS = 4;
const SAMPLES_OF_A_GROUP = 8;
const TOKENS_OF_A_SAMPLE = 32;
const STEP_LIMIT_MILLISECONDS = 120_000;
const PUBLISH_INTERVAL_MILLISECONDS = 3000;

/** How a trainer of a soak works. */
export interface TrainerOptions {
  readonly trainer: TrainerClient;
  readonly journal: Journal;
  /** No step is begun and no version published after it is aborted. */
  readonly signal: AbortSignal;
}

/**
 * Runs one step after the other until stopped.
 * @param options - How the trainer works.
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
        samples: SAMPLES_OF_A_GROUP,
        maximumTokens: TOKENS_OF_A_SAMPLE,
      })),
      STEP_LIMIT_MILLISECONDS,
    );
    const wanted = GROUPS * SAMPLES_OF_A_GROUP;
    options.journal.steps.push({ step, prompts, wanted, result });
  }
}

/**
 * Publishes one version after the other until stopped.
 * @param options - How the trainer works.
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
