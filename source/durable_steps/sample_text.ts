import type { ServerStart } from "../installation/backend_server_entry.ts";

/** The text of a sample as generated so far. */
export interface SampleText {
  readonly parts: string[];
  /** Weight versions that generated the text, in the order of their first event. */
  readonly versions: number[];
  /** Software version of the engine that began the text; undefined before the first event. */
  softwareVersion: string | undefined;
  /** Start of that engine that its entry described; undefined before the first event. */
  begunBy: ServerStart | undefined;
  /** Number of the last event; undefined before the first. */
  lastEvent: number | undefined;
  /** Whether the text is complete. */
  isWhole: boolean;
}
