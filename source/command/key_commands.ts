import type { CommandContext } from "./command_context.ts";
import { formatJson } from "./command_output.ts";
import { EXIT_STATUS, type ExitStatus } from "./exit_status.ts";

/** Owner and kind of a key to issue. */
export interface GiveKeyOptions {
  readonly organisation: string;
  readonly isTrainer: boolean;
}

/**
 * Issues a key and shows it; the key can't be shown again.
 * @param context - Dependencies of the command.
 * @param options - Owner and kind of the key.
 */
export async function runGiveKey(
  context: CommandContext,
  options: GiveKeyOptions,
): Promise<ExitStatus> {
  const answer = await context.client.callOnce((node) =>
    node.giveKey({
      organisation: options.organisation,
      trainer: options.isTrainer,
    })
  );
  if (answer.kind === "unavailable") {
    context.output.writeDiagnostic(
      `No answer (${answer.reason}); a key may have been issued without being shown. ` +
        "Run the command again; a key that was not shown can't be used without its secret",
    );
    return EXIT_STATUS.unavailable;
  }
  const { outcome, keyIdentifier } = answer.value;
  if (outcome.case === "invalid") {
    context.output.writeDiagnostic(
      `${outcome.value.problem}. ${outcome.value.remedy}.`,
    );
    return EXIT_STATUS.invalid;
  }
  if (outcome.case !== "key") {
    context.output.writeDiagnostic(
      `The platform's table did not answer (${
        outcome.value?.reason ?? "no outcome"
      }); try again later`,
    );
    return EXIT_STATUS.unavailable;
  }
  context.output.writeLine(
    context.isJson
      ? formatJson({ key: outcome.value, keyIdentifier })
      : outcome.value,
  );
  context.output.writeDiagnostic(
    `Key ${keyIdentifier} issued to ${options.organisation}; it is not shown again`,
  );
  return EXIT_STATUS.done;
}

/**
 * Withdraws a key and shows which nodes confirmed the withdrawal.
 * @param context - Dependencies of the command.
 * @param keyIdentifier - Part of the key between its first and last underscore.
 */
export async function runWithdrawKey(
  context: CommandContext,
  keyIdentifier: string,
): Promise<ExitStatus> {
  const answer = await context.client.call((node) =>
    node.withdrawKey({ keyIdentifier })
  );
  if (answer.kind === "unavailable") {
    context.output.writeDiagnostic(
      `No node answered (${answer.reason}); the key may still work. Run the command again`,
    );
    return EXIT_STATUS.unavailable;
  }
  if (answer.value.unknownKey) {
    context.output.writeDiagnostic(
      `No key "${keyIdentifier}"; give the part between the key's underscores`,
    );
    return EXIT_STATUS.invalid;
  }
  const { confirmedNodes, silentNodes, saved, streamsCut } = answer.value;
  if (context.isJson) {
    context.output.writeLine(
      formatJson({ confirmedNodes, silentNodes, saved, streamsCut }),
    );
  } else {
    context.output.writeLine(
      `Confirmed by ${confirmedNodes.join(", ") || "none"}`,
    );
    context.output.writeLine(`Streams closed: ${streamsCut}`);
    if (silentNodes.length > 0) {
      context.output.writeLine(
        `Silent: ${
          silentNodes.join(", ")
        }; these nodes refuse every key once their key data is older than --key-freshness-milliseconds`,
      );
    }
    if (!saved) {
      context.output.writeLine(
        "The withdrawal is not in the platform's table yet; the nodes retry until it is saved",
      );
    }
  }
  return silentNodes.length === 0 && saved
    ? EXIT_STATUS.done
    : EXIT_STATUS.lagging;
}
