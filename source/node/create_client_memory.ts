import { ClientMemory } from "../client_memory/client_memory.ts";
import {
  findCollections,
  GarbageCollection,
} from "../client_memory/garbage_collection.ts";
import { MemoryWatch } from "../client_memory/memory_watch.ts";
import {
  type ClientMemoryLimits,
  toClientMemoryLimits,
} from "../decisions/client_memory.ts";
import type { InstallationNodeOptions } from "./installation_node_options.ts";

/** What limits the memory that clients hold. */
export interface ClientMemoryParts {
  readonly clientMemory: ClientMemory;
  readonly clientLimits: ClientMemoryLimits;
  readonly memoryWatch: MemoryWatch;
}

/** Creates the account of the memory that clients hold, and the watch of the whole process. */
export function createClientMemory(
  { settings, clock, log, metrics, stopping }: InstallationNodeOptions,
): ClientMemoryParts {
  const { memoryBytes } = settings;
  const clientLimits = toClientMemoryLimits(settings);
  const garbage = new GarbageCollection(findCollections());
  const memoryWatch = new MemoryWatch({
    clock,
    log,
    metrics,
    memoryBytes,
    stopping,
    garbage,
  });
  const clientMemory = new ClientMemory({
    clock,
    log,
    metrics,
    limits: clientLimits,
    isPressed: () => memoryWatch.isPressed,
    garbage,
  });
  return { clientMemory, clientLimits, memoryWatch };
}
