import type { Declaration } from "../../generated/snipepath/v1/declaration_pb.ts";
import type { ApplyConfigurationResponse } from "../../generated/snipepath/v1/operator_pb.ts";
import type { CommandContext } from "./command_context.ts";
import { formatJson } from "./command_output.ts";
import { EXIT_STATUS, type ExitStatus } from "./exit_status.ts";

const POLL_MILLISECONDS = 200;

/** Options of `snipepath apply`. */
export interface ApplyOptions {
  readonly declaration: Declaration;
  readonly note: string;
  /** Revision that the change replaces; undefined for the one in force now. */
  readonly expectedRevision: number | undefined;
  /** Maximum wait until the change is in force on every listed node, in milliseconds. */
  readonly waitMilliseconds: number;
}

type Outcome = ApplyConfigurationResponse["outcome"];

/**
 * Applies a declaration and waits until it is in force on every listed node.
 * @param context - Dependencies of the command.
 * @param options - The declaration, and how it is applied.
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
    context.output.writeDiagnostic(
      `No answer (${answer.reason}); the change may have been applied. ` +
        "Run the same command again: applying a declaration twice has no further effect",
    );
    return EXIT_STATUS.unavailable;
  }
  return await handleOutcome(context, answer.value.outcome, options);
}

async function readRevision(
  context: CommandContext,
): Promise<number | undefined> {
  const answer = await context.client.call((node) => node.getConfiguration({}));
  if (answer.kind === "ok") return Number(answer.value.record?.revision ?? 0n);
  context.output.writeDiagnostic(`No node answered: ${answer.reason}`);
  return undefined;
}

type DefinedOutcome = Extract<Outcome, { readonly case: string }>;
type OutcomeHandler<Case extends DefinedOutcome["case"]> = (
  context: CommandContext,
  value: Extract<DefinedOutcome, { readonly case: Case }>["value"],
  options: ApplyOptions,
) => Promise<ExitStatus>;

const OUTCOME_HANDLERS: {
  readonly [Case in DefinedOutcome["case"]]: OutcomeHandler<Case>;
} = {
  accepted: (context, { revision }, { waitMilliseconds }) =>
    waitUntilInForce(context, {
      revision: Number(revision),
      isChanged: true,
      waitMilliseconds,
    }),
  unchanged: (context, { revision }, { waitMilliseconds }) =>
    waitUntilInForce(context, {
      revision: Number(revision),
      isChanged: false,
      waitMilliseconds,
    }),
  conflict: (context, { revision, note }) => {
    context.output.writeDiagnostic(
      `Conflict: revision ${revision} ("${note}") was applied first; nothing was changed. ` +
        "Compare with `snipepath diff`, then apply again",
    );
    return Promise.resolve(EXIT_STATUS.conflict);
  },
  invalid: (context, { faults }) => {
    for (const { field, problem, remedy } of faults) {
      context.output.writeDiagnostic(`${field}: ${problem}. ${remedy}.`);
    }
    return Promise.resolve(EXIT_STATUS.invalid);
  },
  unavailable: (context, { reason, unknown }) => {
    const effect = unknown
      ? "the change may have been applied; run the same command again"
      : "nothing was changed; try again later";
    context.output.writeDiagnostic(
      `The platform's table did not answer (${reason}); ${effect}`,
    );
    return Promise.resolve(EXIT_STATUS.unavailable);
  },
};

async function handleOutcome(
  context: CommandContext,
  outcome: Outcome,
  options: ApplyOptions,
): Promise<ExitStatus> {
  if (outcome.case === undefined) {
    context.output.writeDiagnostic("The node's response contains no outcome");
    return EXIT_STATUS.unavailable;
  }
  const conclude = OUTCOME_HANDLERS[outcome.case] as OutcomeHandler<
    typeof outcome.case
  >;
  return await conclude(context, outcome.value as never, options);
}

interface WaitOptions {
  readonly revision: number;
  readonly isChanged: boolean;
  readonly waitMilliseconds: number;
}

async function waitUntilInForce(
  context: CommandContext,
  options: WaitOptions,
): Promise<ExitStatus> {
  const end = context.clock.monotonic() + options.waitMilliseconds;
  let lagging: ReadonlyArray<string> = [];
  for (;;) {
    lagging = await findLaggingNodes(context, options.revision);
    if (lagging.length === 0 || context.clock.monotonic() >= end) break;
    context.output.writeDiagnostic(`Waiting for ${lagging.join(", ")}`);
    await context.clock.sleep(POLL_MILLISECONDS);
  }
  writeResult(context, options, lagging);
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

function writeResult(
  context: CommandContext,
  options: WaitOptions,
  lagging: ReadonlyArray<string>,
): void {
  const { revision, isChanged } = options;
  if (context.isJson) {
    context.output.writeLine(formatJson({ revision, isChanged, lagging }));
    return;
  }
  const change = isChanged ? "accepted" : "is already in force, unchanged";
  context.output.writeLine(`Revision ${revision} ${change}`);
  context.output.writeLine(
    lagging.length === 0
      ? "In force on every listed node"
      : `Not confirmed by ${lagging.join(", ")}`,
  );
}
