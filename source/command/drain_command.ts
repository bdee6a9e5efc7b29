import type { CommandContext } from "./command_context.ts";
import { EXIT_STATUS, type ExitStatus } from "./exit_status.ts";

/**
 * Starts to drain a node, so that it directs clients to other nodes and lets running requests
 * complete; returns without waiting for them.
 * @param context - Dependencies of the command.
 * @param node - Name of the node.
 */
export async function runDrain(
  context: CommandContext,
  node: string,
): Promise<ExitStatus> {
  const status = await context.client.call((each) => each.getStatus({}));
  if (status.kind === "unavailable") {
    context.output.writeDiagnostic(`No node answered: ${status.reason}`);
    return EXIT_STATUS.unavailable;
  }
  const found = status.value.nodes.find((each) => each.node === node);
  if (found === undefined) {
    const names = status.value.nodes.map((each) => each.node).join(", ");
    context.output.writeDiagnostic(
      `No node "${node}"; live nodes are ${names}`,
    );
    return EXIT_STATUS.invalid;
  }
  const answer = await context.client.callNode(
    found.address,
    (each) => each.drain({ node }),
  );
  if (answer.kind === "unavailable") {
    context.output.writeDiagnostic(
      `${node} did not answer (${answer.reason}); check \`snipepath status\`, then run the command again`,
    );
    return EXIT_STATUS.unavailable;
  }
  context.output.writeLine(
    `${node} is draining; ${answer.value.runningRequests} requests are still running`,
  );
  return EXIT_STATUS.done;
}
