import type { TextLengthEstimate } from "../decisions/text_length.ts";
import type { RunningText } from "./engine_placement.ts";
import type { EngineRequest, EngineRequirements } from "./engine_request.ts";
import type { SampleText } from "./sample_text.ts";
import type { SampleRequest } from "./step_submission.ts";

/** Expected time from the end of a text until its result is scored and listed. */
const SCORING_MILLISECONDS = 300;
/** Least share of a text's events that are left, as estimates of its length are often exceeded. */
const EXCEEDED_SHARE = 0.5;

/** A sample and its text so far. */
export interface GeneratedSample {
  readonly sample: SampleRequest;
  readonly text: SampleText;
  /** Requirements of the sample for its engine. */
  readonly requirements: EngineRequirements;
  readonly textLengths: TextLengthEstimate;
}

/** What else decides when and where a sample runs. */
export interface EngineRequestOptions {
  /** Monotonic time, in milliseconds, at which the results of the step are due. */
  readonly dueAt: number;
  /** Identifies the sample's group among those of all steps. */
  readonly group: string;
  /** Whether the trainer waits for other groups instead of this sample's. */
  readonly isSpare: boolean;
  /** Usual time for one event, in milliseconds. */
  readonly eventMilliseconds: number;
  /** Identifier of an engine that is used only if no other is available. */
  readonly avoidedEngine: string | undefined;
  /** Monotonic time, in milliseconds, since which the sample waits. */
  readonly waitsSince: number;
  /** Whether the sample would ask otherwise now. */
  readonly isOutdated: () => boolean;
}

/**
 * Creates the request with which a sample waits for an engine.
 * @param generated - The sample and its text so far.
 * @param options - Its step and the engines' speed.
 * @example
 * ```ts
 * const engine = await pool.acquire(createEngineRequest(generated, options), signal);
 * ```
 */
export function createEngineRequest(
  { sample, text, requirements, textLengths }: GeneratedSample,
  options: EngineRequestOptions,
): EngineRequest {
  const { dueAt, group, isSpare, eventMilliseconds } = options;
  const { avoidedEngine, waitsSince, isOutdated } = options;
  const expectedEvents = textLengths.expectEvents({
    ...toLength(sample),
    madeEvents: text.parts.length,
  });
  const scoringMilliseconds = sample.scoring === undefined
    ? 0
    : SCORING_MILLISECONDS;
  const shared = sample.promptParts.slice(0, -1);
  return {
    requirements,
    urgency: {
      dueAt,
      expectedMilliseconds: expectedEvents * eventMilliseconds +
        scoringMilliseconds,
      group,
      trainer: requirements.model,
      isSpare,
    },
    expectedEvents,
    expectedTokens: countPromptTokens(sample) +
      textLengths.expectTokens({ ...toLength(sample), madeEvents: 0 }),
    prompt: shared.map(({ identifier }) => identifier).join("/"),
    promptTokens: shared.reduce((sum, { tokens }) => sum + tokens, 0),
    avoidedEngine,
    waitsSince,
    isOutdated,
  };
}

/**
 * Describes a text that runs on an engine, for the decision whether it leaves the engine.
 * @param generated - The sample and its text so far.
 * @param run - The engine and the number of moves so far.
 * @example
 * ```ts
 * if (pool.shouldMove(createRunningText(generated, { engine: "e1", moves: 0 }))) return "retry";
 * ```
 */
export function createRunningText(
  { sample, text, requirements, textLengths }: GeneratedSample,
  { engine, moves }: Pick<RunningText, "engine" | "moves">,
): RunningText {
  const length = toLength(sample);
  const madeEvents = text.parts.length;
  const remainingEvents = Math.max(
    textLengths.expectEvents({ ...length, madeEvents }),
    EXCEEDED_SHARE * madeEvents,
  );
  const totalEvents = textLengths.expectEvents({ ...length, madeEvents: 0 });
  const textTokens = textLengths.expectTokens({ ...length, madeEvents: 0 });
  return {
    engine,
    requirements,
    remainingEvents,
    tokens: countPromptTokens(sample) +
      textTokens * Math.min(1, madeEvents / totalEvents),
    moves,
  };
}

function toLength(
  { expectedTokens, maximumTokens }: SampleRequest,
): Pick<SampleRequest, "expectedTokens" | "maximumTokens"> {
  return { expectedTokens, maximumTokens };
}

function countPromptTokens({ promptParts }: SampleRequest): number {
  return promptParts.reduce((sum, { tokens }) => sum + tokens, 0);
}
