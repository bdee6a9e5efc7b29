import { generateToken } from "../../../stand_ins/engine/generated_text.ts";
import type { ReceivedSample } from "../../clients/trainer_client.ts";
import { judgeSamples } from "../../demo/judge_samples.ts";
import type { SeenStep } from "../journal.ts";
import { splitTokens } from "./answer_checks.ts";
import type { Check } from "./check.ts";

const ENGINE_SEED = 1;

/** Each sample is delivered once, and none is lost. */
export const checkDeliveredOnce: Check = ({ journal, stalenessBound }) =>
  journal.steps.flatMap(({ step, wanted, result }) => {
    const verdict = judgeSamples(result.samples, { wanted, stalenessBound });
    const problems: string[] = [];
    if (verdict.doubled > 0) problems.push(`${verdict.doubled} doubled`);
    if (verdict.missing > 0) {
      problems.push(
        `${verdict.missing} of ${wanted} not delivered in ${
          Math.round(result.milliseconds)
        } ms, on the way ${JSON.stringify(result.troubles)}`,
      );
    }
    return problems.map((problem) => `${step}: ${problem}`);
  });

/** No sample is older than the staleness bound. */
export const checkStaleness: Check = ({ journal, stalenessBound }) =>
  journal.steps.flatMap(({ step, wanted, result }) => {
    const verdict = judgeSamples(result.samples, { wanted, stalenessBound });
    return verdict.tooOld === 0
      ? []
      : [`${step}: ${verdict.tooOld} samples past the bound`];
  });

/** Each sample names the weight versions that made its tokens. */
export const checkTrueVersions: Check = ({ journal }) =>
  journal.steps.flatMap((seen) =>
    seen.result.samples.flatMap((sample) => {
      const problem = findVersionProblem(seen, sample);
      return problem === undefined
        ? []
        : [`${seen.step} sample ${sample.index}: ${problem}`];
    })
  );

function findVersionProblem(
  seen: SeenStep,
  sample: ReceivedSample,
): string | undefined {
  const prompt = seen.prompts[sample.group] ?? "";
  const tokens = splitTokens(sample.text);
  const versions = sample.stretches.flatMap((stretch) =>
    Array<number>(stretch.tokens).fill(stretch.weightVersion)
  );
  if (versions.length !== tokens.length) {
    return `${versions.length} tokens in stretches, ${tokens.length} in the text`;
  }
  const wrong = tokens.findIndex((token, position) =>
    token !== generateToken(prompt, {
      seed: ENGINE_SEED,
      position,
      weightVersion: versions[position] ?? 0,
    })
  );
  return wrong < 0
    ? undefined
    : `token ${wrong} was not made by version ${versions[wrong]}`;
}
