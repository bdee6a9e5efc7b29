import { readdirSync, readFileSync } from "node:fs";
import type { InstallationNode, MachineOptions } from "./test_installation.ts";

const KILOBYTES_PER_MEGABYTE = 1024;
const WATCH_MILLISECONDS = 50;

/** The smallest memory of an installation's instances and the command of the deploy file. */
export const SMALL_MACHINE: MachineOptions = {
  memoryMegabytes: 210,
  descriptors: 400,
  nodeArguments: ["--max-old-space-size=230"],
  ip: "127.0.0.77",
};

/** What a process has used so far. */
export interface ProcessUse {
  /** Largest resident memory since its start, in MB. */
  readonly peakMegabytes: number;
  /** Number of descriptors that are open now. */
  readonly descriptors: number;
}

/** Reads what a running process uses; undefined when it has ended. */
export function readProcessUse(pid: number): ProcessUse | undefined {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const kilobytes = Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]);
    return {
      peakMegabytes: Math.round(kilobytes / KILOBYTES_PER_MEGABYTE),
      descriptors: readdirSync(`/proc/${pid}/fd`).length,
    };
  } catch {
    return undefined;
  }
}

/**
 * Watches what the process of a node uses.
 * @returns A function that ends the watch and returns the largest use; undefined if the process has
 * ended.
 */
export function watchProcessUse(
  { process: { pid = 0 } }: Pick<InstallationNode, "process">,
): () => ProcessUse | undefined {
  let descriptors = 0;
  const read = (): ProcessUse | undefined => {
    const use = readProcessUse(pid);
    descriptors = Math.max(descriptors, use?.descriptors ?? 0);
    return use && { ...use, descriptors };
  };
  const timer = setInterval(read, WATCH_MILLISECONDS);
  return () => {
    clearInterval(timer);
    return read();
  };
}
