import { type StepEntry, toStepRowPlace } from "./step_registry.ts";
import type { StepTools } from "./step_tools.ts";

/**
 * Makes a process the owner of a step, unless the owner has changed since the entry was read.
 * @param tools - The store and the registry of steps.
 * @param change - The step as it was read, and the identity of the new owner.
 * @returns The outcome, for the log.
 * @example
 * ```ts
 * const outcome = await writeStepOwner(tools, { entry, owner: nodeStart });
 * ```
 */
export async function writeStepOwner(
  tools: Pick<StepTools, "table" | "stepRegistry">,
  { entry, owner }: { readonly entry: StepEntry; readonly owner: string },
): Promise<string> {
  const place = toStepRowPlace(entry.manifest.identifier, "owner");
  const value = Buffer.from(owner);
  const outcome = await tools.table.commit({
    conditions: [{ ...place, version: entry.ownerVersion }],
    puts: [{ ...place, value }],
  });
  if (outcome.kind !== "ok") return outcome.kind;
  if (outcome.value.kind === "committed") {
    const { version } = outcome.value;
    tools.stepRegistry.applyWrittenRow({ ...place, value, version });
  }
  return outcome.value.kind;
}
