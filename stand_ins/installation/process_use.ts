import { readdirSync, readFileSync } from "node:fs";

const KILOBYTES_PER_MEGABYTE = 1024;

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
