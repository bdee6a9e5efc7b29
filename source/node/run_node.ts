import { setMaxListeners } from "node:events";
import type { NodeSettings } from "../../generated/snipepath/v1/settings_pb.ts";
import { createNodeContext } from "./create_node_context.ts";
import { Node } from "./node.ts";
import type { NodeContext } from "../context/node_context.ts";

const START_FAILED_EXIT_STATUS = 1;
const FAULT_EXIT_STATUS = 70;

/**
 * Runs a node until a signal or an operator requests a drain, and writes a line to the standard
 * output when it serves.
 * @param settings - The node's validated settings.
 * @returns The exit status.
 */
export async function runNode(settings: NodeSettings): Promise<number> {
  const stopping = new AbortController();
  // Each waiting task adds a listener, so the default limit on listeners is removed.
  setMaxListeners(0, stopping.signal);
  const context = createNodeContext(settings, stopping.signal);
  exitOnUncaughtErrors(context);
  const draining = new AbortController();
  const node = await Node.create(context, () => draining.abort("drain"));
  const address = await startOrReport(context, node);
  if (address === undefined) {
    stopping.abort();
    await node.close();
    return START_FAILED_EXIT_STATUS;
  }
  console.log(`listening ${address}`);
  void node.ended.catch((error) => exitOnFault(context, error));
  await waitForDrainRequest(draining);
  await node.drain();
  stopping.abort();
  await node.close();
  context.log.emit("nodeStopped", { reason: String(draining.signal.reason) });
  return 0;
}

async function startOrReport(
  context: NodeContext,
  node: Node,
): Promise<string | undefined> {
  try {
    return await node.start();
  } catch (error) {
    if (!isSystemError(error)) throw error;
    context.log.emit("startFailed", { reason: error.message });
    return undefined;
  }
}

// System errors, such as an address in use, are not faults of the program.
function isSystemError(error: unknown): error is Error {
  return error instanceof Error && "syscall" in error;
}

function waitForDrainRequest(draining: AbortController): Promise<void> {
  for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.once(signal, () => draining.abort(signal));
  }
  return new Promise((resolve) => {
    draining.signal.addEventListener("abort", () => resolve(), { once: true });
    if (draining.signal.aborted) resolve();
  });
}

function exitOnUncaughtErrors(context: NodeContext): void {
  process.on("uncaughtException", (error) => exitOnFault(context, error));
  process.on("unhandledRejection", (error) => exitOnFault(context, error));
}

function exitOnFault(context: NodeContext, error: unknown): void {
  const detail = error instanceof Error ? error.stack ?? "" : String(error);
  context.log.emit("invariantBroken", { detail });
  process.exitCode = FAULT_EXIT_STATUS;
  setImmediate(() => process.exit(FAULT_EXIT_STATUS));
}
