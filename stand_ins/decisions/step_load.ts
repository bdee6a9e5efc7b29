import { selectSpareGroups } from "../../source/decisions/spare_groups.ts";
import { createRandomSource } from "../../source/utilities/random_source.ts";

/** Number of output tokens in one event of the modelled engines. */
export const TOKENS_PER_EVENT = 52;

/** One sample of a modelled load. */
export interface ModelSample {
  readonly identifier: string;
  readonly trainer: number;
  readonly step: number;
  readonly group: string;
  /** Time at which the step is submitted, in milliseconds. */
  readonly submittedAt: number;
  readonly dueAt: number;
  readonly events: number;
  /** The trainer's estimate of the output tokens. */
  readonly expectedTokens: number;
  /** The trainer's limit of the output tokens. */
  readonly maximumTokens: number;
  readonly promptTokens: number;
  /** Number of the step's groups that the trainer waits for. */
  readonly targetGroups: number;
  /** Whether the trainer waits for fewer groups than the step has and this one is the longest. */
  readonly isSpare: boolean;
}

/** Parameters of the steps that trainers submit. */
export interface StepLoadOptions {
  readonly seed: number;
  readonly trainers: number;
  /** Number of steps of each trainer. */
  readonly steps: number;
  readonly groups: number;
  readonly groupSize: number;
  /** Number of groups that the trainer waits for. */
  readonly targetGroups: number;
  /** Mean number of events of a text, before the tail of long texts. */
  readonly meanEvents: number;
  readonly maximumEvents: number;
}

const STEP_INTERVAL_MILLISECONDS = 4000;
const DEADLINE_MILLISECONDS = 7500;
const LENGTH_SPREAD = 0.9;
const TAIL_SHARE = 0.08;
const TAIL_FACTOR = 5;
const HINT_SPREAD = 0.5;
const PROMPT_TOKENS = 276;

/** Creates the samples of all steps, in the order of submission. */
export function createStepLoad(
  options: StepLoadOptions,
): ReadonlyArray<ModelSample> {
  const random = createRandomSource(options.seed);
  const normal = (): number =>
    Math.sqrt(-2 * Math.log(1 - random.next())) *
    Math.cos(2 * Math.PI * random.next());
  const samples: ModelSample[] = [];
  for (let step = 0; step < options.steps; step += 1) {
    for (let trainer = 0; trainer < options.trainers; trainer += 1) {
      const submittedAt = step * STEP_INTERVAL_MILLISECONDS + 30 * trainer;
      const groups = Array.from(
        { length: options.groups },
        (_unused, group) =>
          Array.from({ length: options.groupSize }, (_each, index) => {
            const factor = random.next() < TAIL_SHARE ? TAIL_FACTOR : 1;
            const length = options.meanEvents * factor *
              Math.exp(LENGTH_SPREAD * normal() - LENGTH_SPREAD ** 2 / 2);
            const events = Math.max(
              1,
              Math.min(options.maximumEvents, Math.round(length)),
            );
            return {
              identifier: `${trainer}/${step}/${group}/${index}`,
              trainer,
              step,
              group: `${trainer}/${step}/${group}`,
              submittedAt,
              dueAt: submittedAt + DEADLINE_MILLISECONDS,
              events,
              expectedTokens: events * TOKENS_PER_EVENT *
                Math.exp(HINT_SPREAD * normal()),
              maximumTokens: options.maximumEvents * TOKENS_PER_EVENT,
              promptTokens: PROMPT_TOKENS,
              targetGroups: options.targetGroups,
            };
          }),
      );
      const spare = selectSpareGroups(
        groups.flat().map((each) => ({
          group: each.group,
          expectedEvents: each.expectedTokens / TOKENS_PER_EVENT,
          isOpen: true,
        })),
        { targetGroups: options.targetGroups, requiredGroups: new Set() },
      );
      samples.push(
        ...groups.flat().map((each) => ({
          ...each,
          isSpare: spare.has(each.group),
        })),
      );
    }
  }
  return samples;
}
