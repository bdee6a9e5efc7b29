import type { ExplainResponse } from "../../generated/snipepath/v1/operator_pb.ts";
import type { CommandContext } from "./command_context.ts";
import { formatJson, formatTable } from "./command_output.ts";
import { EXIT_STATUS, type ExitStatus } from "./exit_status.ts";

const PERMILLE = 1000;
// Time in generation is expected, so it is never reported as the condition.
const GENERATION_CAUSE = "generation";

/** Kind, identifier and maximum age of the ledger entries that are explained. */
export interface ExplainOptions {
  readonly subject: string;
  readonly identifier: string;
  readonly withinSeconds: number;
}

/** Time by cause, in milliseconds, summed over all nodes that responded. */
export interface Explanation {
  readonly causes: ReadonlyArray<
    { readonly cause: string; readonly milliseconds: number }
  >;
  /** Number of requests and steps in the sums. */
  readonly subjects: number;
  /** Number of these requests and steps that missed their target. */
  readonly targetsMissed: number;
  /** Cause with the largest share other than generation; empty when there is none. */
  readonly condition: string;
  /** Addresses of nodes that did not respond. */
  readonly silentNodes: ReadonlyArray<string>;
}

/**
 * Shows the main cause of missed targets, from the cause ledgers of all nodes.
 * @param context - Dependencies of the command.
 * @param options - What to explain.
 */
export async function runExplain(
  context: CommandContext,
  options: ExplainOptions,
): Promise<ExitStatus> {
  const status = await context.client.call((node) => node.getStatus({}));
  if (status.kind === "unavailable") {
    context.output.writeDiagnostic(`No node answered: ${status.reason}`);
    return EXIT_STATUS.unavailable;
  }
  const addresses = status.value.nodes.map((node) => node.address);
  const answers = await Promise.all(
    addresses.map((address) => requestExplanation(context, address, options)),
  );
  const explanation = combineExplanations(
    answers.filter((answer) => answer !== undefined),
    addresses.filter((_, index) => answers[index] === undefined),
  );
  context.output.writeLine(
    context.isJson ? formatJson(explanation) : formatExplanation(explanation),
  );
  return EXIT_STATUS.done;
}

async function requestExplanation(
  context: CommandContext,
  address: string,
  options: ExplainOptions,
): Promise<ExplainResponse | undefined> {
  const sinceUnixMilliseconds = context.clock.wall() -
    options.withinSeconds * 1000;
  const answer = await context.client.callNode(address, (node) =>
    node.explain({
      subject: options.subject,
      identifier: options.identifier,
      sinceUnixMilliseconds: BigInt(Math.floor(sinceUnixMilliseconds)),
    }));
  return answer.kind === "ok" ? answer.value : undefined;
}

/**
 * Sums the responses of several nodes.
 * @param answers - Responses of the nodes.
 * @param silentNodes - Addresses of nodes that did not respond.
 */
export function combineExplanations(
  answers: ReadonlyArray<ExplainResponse>,
  silentNodes: ReadonlyArray<string>,
): Explanation {
  const sums = new Map<string, number>();
  for (const share of answers.flatMap((answer) => answer.causes)) {
    const sum = sums.get(share.cause) ?? 0;
    sums.set(share.cause, sum + Number(share.milliseconds));
  }
  const causes = [...sums].map(([cause, milliseconds]) => ({
    cause,
    milliseconds,
  })).sort((left, right) => right.milliseconds - left.milliseconds);
  const condition = causes.find((each) => each.cause !== GENERATION_CAUSE);
  return {
    causes,
    subjects: sumBy(answers, (answer) => answer.subjects),
    targetsMissed: sumBy(answers, (answer) => answer.targetsMissed),
    condition: condition?.cause ?? "",
    silentNodes,
  };
}

function sumBy(
  answers: ReadonlyArray<ExplainResponse>,
  pick: (answer: ExplainResponse) => number,
): number {
  return answers.reduce((sum, answer) => sum + pick(answer), 0);
}

function formatExplanation(explanation: Explanation): string {
  const totalMilliseconds = explanation.causes.reduce(
    (sum, each) => sum + each.milliseconds,
    0,
  );
  const table = formatTable(
    ["condition", "time", "share"],
    explanation.causes.map((each) => [
      each.cause,
      `${each.milliseconds} ms`,
      `${
        Math.round(
          PERMILLE * each.milliseconds / Math.max(totalMilliseconds, 1),
        ) / 10
      } %`,
    ]),
  );
  const unreachable = explanation.silentNodes.length === 0
    ? ""
    : `\nNo answer from ${explanation.silentNodes.join(", ")}`;
  return `${explanation.targetsMissed} of ${explanation.subjects} missed their target` +
    `\nCondition: ${explanation.condition || "none"}\n${table}${unreachable}`;
}
