import { generateToken } from "../../../stand_ins/engine/generated_text.ts";
import { createSoakPrompt, SOAK_TOKENS } from "../actors/caller.ts";
import type { Attempt } from "../journal.ts";
import type { Check } from "./check.ts";

const ENGINE_SEED = 1;
const HIGHEST_VERSION = 2000;

/** Checks that each caller receives the complete response to its own request. */
export const checkWholeAnswers: Check = ({ journal }) =>
  journal.attempts.flatMap((attempt) => {
    if (attempt.outcome.kind !== "answered") return [];
    const problem = attempt.kind === "completion" || attempt.kind === "stream"
      ? findCompletionProblem(attempt)
      : findPlainProblem(attempt);
    return problem === undefined
      ? []
      : [`${attempt.call} through ${attempt.node}: ${problem}`];
  });

/** Checks that the body of every refusal is JSON, as the interface demands. */
export const checkTypedRefusals: Check = ({ journal }) =>
  journal.attempts.flatMap(({ call, node, outcome }) =>
    outcome.kind === "refused" && outcome.error.startsWith("untyped")
      ? [`${call} through ${node}: ${outcome.error}`]
      : []
  );

function findCompletionProblem(attempt: Attempt): string | undefined {
  if (attempt.outcome.kind !== "answered") return undefined;
  const { text, finishReason } = attempt.outcome;
  const prompt = createSoakPrompt(attempt.organisation, attempt.marker);
  const tokens = splitTokens(text);
  if (tokens.length !== SOAK_TOKENS) {
    return `the response has ${tokens.length} of ${SOAK_TOKENS} tokens`;
  }
  if (finishReason !== "length") return `finish reason "${finishReason}"`;
  const wrong = tokens.findIndex((token, position) =>
    !isTokenOfAnyVersion(prompt, position, token)
  );
  return wrong < 0 ? undefined : `token ${wrong} belongs to another response`;
}

function isTokenOfAnyVersion(
  prompt: string,
  position: number,
  token: string,
): boolean {
  for (let version = 0; version <= HIGHEST_VERSION; version += 1) {
    const wanted = generateToken(prompt, {
      seed: ENGINE_SEED,
      position,
      weightVersion: version,
    });
    if (wanted === token) return true;
  }
  return false;
}

function findPlainProblem(attempt: Attempt): string | undefined {
  if (attempt.outcome.kind !== "answered") return undefined;
  const { text } = attempt.outcome;
  return text.endsWith(`/${attempt.marker}`)
    ? undefined
    : `received the response to ${text}`;
}

/**
 * Splits a generated text into its tokens.
 * @param text - Text to split.
 */
export function splitTokens(text: string): ReadonlyArray<string> {
  return text.split(" ").slice(0, -1).map((token) => `${token} `);
}
