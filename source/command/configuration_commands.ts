import type { Declaration } from "../../generated/snipepath/v1/declaration_pb.ts";
import { diffDeclarations } from "../declarations/diff_declarations.ts";
import type { CommandContext } from "./command_context.ts";
import { formatJson, formatTable } from "./command_output.ts";
import { EXIT_STATUS, type ExitStatus } from "./exit_status.ts";

/**
 * Shows the changes that a declaration would make to the one in force.
 * @param context - Dependencies of the command.
 * @param wanted - Declaration to compare with the one in force.
 */
export async function runDiff(
  context: CommandContext,
  wanted: Declaration,
): Promise<ExitStatus> {
  const answer = await context.client.call((node) => node.getConfiguration({}));
  if (answer.kind === "unavailable") {
    context.output.writeDiagnostic(`No node answered: ${answer.reason}`);
    return EXIT_STATUS.unavailable;
  }
  const record = answer.value.record;
  const changes = diffDeclarations(record?.declaration, wanted);
  if (context.isJson) {
    context.output.writeLine(
      formatJson({ revision: record?.revision ?? 0n, changes }),
    );
    return EXIT_STATUS.done;
  }
  context.output.writeLine(`Against revision ${record?.revision ?? 0n}:`);
  if (changes.length === 0) context.output.writeLine("no change");
  for (const change of changes) {
    context.output.writeLine(
      `${change.kind} ${change.field}: ${change.before} -> ${change.after}`,
    );
  }
  return EXIT_STATUS.done;
}

/**
 * Shows the newest revisions.
 * @param context - Dependencies of the command.
 * @param maximum - Largest number of revisions to show.
 */
export async function runHistory(
  context: CommandContext,
  maximum: number,
): Promise<ExitStatus> {
  const answer = await context.client.call((node) =>
    node.getHistory({ maximum })
  );
  if (answer.kind === "unavailable") {
    context.output.writeDiagnostic(`No node answered: ${answer.reason}`);
    return EXIT_STATUS.unavailable;
  }
  const rows = answer.value.records.map((record) => [
    record.revision.toString(),
    new Date(Number(record.appliedAtUnixMilliseconds)).toISOString(),
    record.digest.slice(0, 12),
    record.note,
  ]);
  context.output.writeLine(
    context.isJson
      ? formatJson(answer.value.records)
      : formatTable(["revision", "applied", "digest", "note"], rows),
  );
  return EXIT_STATUS.done;
}
