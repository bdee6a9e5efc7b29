import type { GetStatusResponse } from "../../generated/snipepath/v1/operator_pb.ts";
import type { CommandContext } from "./command_context.ts";
import { formatJson, formatTable } from "./command_output.ts";
import { EXIT_STATUS, type ExitStatus } from "./exit_status.ts";

/**
 * Shows the nodes, leases, services and trainers that one node reports.
 * @param context - Dependencies of the command.
 */
export async function runStatus(context: CommandContext): Promise<ExitStatus> {
  const answer = await context.client.call((node) => node.getStatus({}));
  if (answer.kind === "unavailable") {
    context.output.writeDiagnostic(`No node answered: ${answer.reason}`);
    return EXIT_STATUS.unavailable;
  }
  context.output.writeLine(
    context.isJson ? formatJson(answer.value) : formatStatus(answer.value),
  );
  return EXIT_STATUS.done;
}

/**
 * Formats a status as tables.
 * @param status - Status that a node reported.
 */
export function formatStatus(status: GetStatusResponse): string {
  return [
    `Reported by ${status.answeredBy}; its view of the platform's table was confirmed ${status.tableAgeSeconds} s ago`,
    formatNodes(status),
    formatLeases(status),
    formatServers(status),
    formatTrainers(status),
  ].join("\n\n");
}

function formatNodes(status: GetStatusResponse): string {
  return formatTable(
    ["node", "failure domain", "address", "state", "revision", "heard"],
    status.nodes.map((node) => [
      node.node,
      node.failureDomain,
      node.address,
      node.leaving ? "leaving" : "live",
      node.configurationRevision.toString(),
      `${node.ageMilliseconds} ms ago`,
    ]),
  );
}

function formatLeases(status: GetStatusResponse): string {
  return formatTable(
    ["lease", "holder", "fencing number"],
    status.leases.map((lease) => [
      lease.name,
      lease.holder,
      lease.fencingNumber.toString(),
    ]),
  );
}

function formatServers(status: GetStatusResponse): string {
  return formatTable(
    [
      "service",
      "backend server",
      "failure domain",
      "tier",
      "state",
      "running",
      "waiting",
      "weight versions",
    ],
    status.services.flatMap((service) =>
      service.servers.map((server) => [
        service.service,
        server.address,
        server.failureDomain,
        server.tier,
        describeState(server),
        String(server.running),
        String(server.waiting),
        server.weightVersions.join(" "),
      ])
    ),
  );
}

function describeState(
  server: { readonly leaving: boolean; readonly reachable: boolean },
): string {
  if (server.leaving) return "leaving";
  return server.reachable ? "live" : "unreachable";
}

function formatTrainers(status: GetStatusResponse): string {
  return formatTable(
    ["trainer", "newest version", "steps running"],
    status.trainers.map((trainer) => [
      trainer.trainer,
      trainer.newestVersion.toString(),
      String(trainer.stepsRunning),
    ]),
  );
}
