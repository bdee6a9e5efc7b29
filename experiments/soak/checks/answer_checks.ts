import { generateToken } from "../../../stand_ins/engine/generated_text.ts";
import { SOAK_TOKENS, soakPrompt } from "../actors/caller.ts";
import type { Attempt } from "../journal.ts";
import type { Check } from "./check.ts";

const ENGINE_SEED = 1;
const HIGHEST_VERSION = 2000;

/** A caller gets the whole answer to its own request. */
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

/** Every refusal has a type, says whether the request ran, and comes from the interface. */
export const checkTypedRefusals: Check = ({ journal }) =>
  journal.attempts.flatMap(({ call, node, outcome }) =>
    outcome.kind === "refused" && outcome.error.startsWith("untyped")
      ? [`${call} through ${node}: ${outcome.error}`]
      : []
  );

function findCompletionProblem(attempt: Attempt): string | undefined {
  if (attempt.outcome.kind !== "answered") return undefined;
  const { text, finishReason } = attempt.outcome;
  const prompt = soakPrompt(attempt.organisation, attempt.marker);
  const tokens = splitTokens(text);
  if (tokens.length !== SOAK_TOKENS) {
    return `${tokens.length} of ${SOAK_TOKENS} tokens as a whole answer`;
  }
  if (finishReason !== "length") return `finish reason "${finishReason}"`;
  const wrong = tokens.findIndex((token, position) =>
    !isTokenOfAnyVersion(prompt, position, token)
  );
  return wrong < 0 ? undefined : `token ${wrong} belongs to another answer`;
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
    : `the answer to ${text}`;
}

/**
 * Splits a generated text into its tokens.
 * @param text - The text.
 */
export function splitTokens(text: string): ReadonlyArray<string> {
  return text.split(" ").slice(0, -1).map((token) => `${token} `);
}
