import type { Declaration } from "../../generated/snipepath/v1/declaration_pb.ts";
import type { ApplyConfigurationResponse } from "../../generated/snipepath/v1/operator_pb.ts";
import type { CommandContext } from "./command_context.ts";
import { formatJson } from "./command_output.ts";
import { EXIT_STATUS, type ExitStatus } from "./exit_status.ts";

const POLL_MILLISECONDS = 200;

/** What is applied. */
export interface ApplyOptions {
  readonly declaration: Declaration;
  readonly note: string;
  /** Revision that the change was made against; undefined for the one in force now. */
  readonly expectedRevision: number | undefined;
  /** Milliseconds to wait until the change is in force on every listed node. */
  readonly waitMilliseconds: number;
}

type Outcome = ApplyConfigurationResponse["outcome"];

/**
 * Puts a declaration in force and waits until every listed node goes by it.
 * @param context - What the command works with.
 * @param options - What is applied.
 */
export async function runApply(
  context: CommandContext,
  options: ApplyOptions,
): Promise<ExitStatus> {
  const expected = options.expectedRevision ?? await readRevision(context);
  if (expected === undefined) return EXIT_STATUS.unavailable;
  const answer = await context.client.callOnce((node) =>
    node.applyConfiguration({
      declaration: options.declaration,
      expectedRevision: BigInt(expected),
      note: options.note,
    })
  );
  if (answer.kind === "unavailable") {
    context.output.note(
      `No answer (${answer.reason}); the change may have taken effect. ` +
        "Run the same command again: applying twice changes nothing",
    );
    return EXIT_STATUS.unavailable;
  }
  return await concludeApply(context, answer.value.outcome, options);
}

async function readRevision(
  context: CommandContext,
): Promise<number | undefined> {
  const answer = await context.client.call((node) => node.getConfiguration({}));
  if (answer.kind === "ok") return Number(answer.value.record?.revision ?? 0n);
  context.output.note(`No node answered: ${answer.reason}`);
  return undefined;
}

async function concludeApply(
  context: CommandContext,
  outcome: Outcome,
  options: ApplyOptions,
): Promise<ExitStatus> {
  switch (outcome.case) {
    case "accepted":
    case "unchanged":
      return await waitUntilInForce(context, {
        revision: Number(outcome.value.revision),
        isChanged: outcome.case === "accepted",
        waitMilliseconds: options.waitMilliseconds,
      });
    case "conflict":
      context.output.note(
        `Revision ${outcome.value.revision} won ("${outcome.value.note}"); nothing was changed. ` +
          "Compare with `snipepath diff`, then apply again",
      );
      return EXIT_STATUS.conflict;
    case "invalid":
      for (const fault of outcome.value.faults) {
        context.output.note(
          `${fault.field}: ${fault.problem}. ${fault.remedy}.`,
        );
      }
      return EXIT_STATUS.invalid;
    default:
      context.output.note(describeUnavailable(outcome));
      return EXIT_STATUS.unavailable;
  }
}

function describeUnavailable(outcome: Outcome): string {
  if (outcome.case !== "unavailable") return "The node sent no outcome";
  const effect = outcome.value.unknown
    ? "the change may have taken effect; run the same command again"
    : "nothing was changed; try again later";
  return `The platform's table did not answer (${outcome.value.reason}); ${effect}`;
}

interface InForceOptions {
  readonly revision: number;
  readonly isChanged: boolean;
  readonly waitMilliseconds: number;
}

async function waitUntilInForce(
  context: CommandContext,
  options: InForceOptions,
): Promise<ExitStatus> {
  const end = context.clock.monotonic() + options.waitMilliseconds;
  let lagging: ReadonlyArray<string> = [];
  for (;;) {
    lagging = await findLaggingNodes(context, options.revision);
    if (lagging.length === 0 || context.clock.monotonic() >= end) break;
    context.output.note(`Waiting for ${lagging.join(", ")}`);
    await context.clock.sleep(POLL_MILLISECONDS);
  }
  report(context, options, lagging);
  return lagging.length === 0 ? EXIT_STATUS.done : EXIT_STATUS.lagging;
}

async function findLaggingNodes(
  context: CommandContext,
  revision: number,
): Promise<ReadonlyArray<string>> {
  const answer = await context.client.call((node) => node.getStatus({}));
  if (answer.kind === "unavailable") return ["every node"];
  return answer.value.nodes
    .filter((node) => Number(node.configurationRevision) < revision)
    .map((node) => node.node);
}

function report(
  context: CommandContext,
  options: InForceOptions,
  lagging: ReadonlyArray<string>,
): void {
  const { revision, isChanged } = options;
  if (context.isJson) {
    context.output.line(formatJson({ revision, isChanged, lagging }));
    return;
  }
  const change = isChanged ? "accepted" : "in force already, unchanged";
  context.output.line(`Revision ${revision} ${change}`);
  context.output.line(
    lagging.length === 0
      ? "In force on every listed node"
      : `Not confirmed by ${lagging.join(", ")}`,
  );
}
