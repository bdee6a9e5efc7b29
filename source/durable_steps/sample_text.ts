import type { ServerStart } from "../installation/backend_server_entry.ts";

/** The text of a sample as generated so far; only the run that holds it changes it. */
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

/**
 * Creates a text without events.
 * @example
 * ```ts
 * const text = createSampleText();
 * ```
 */
export function createSampleText(): SampleText {
  return {
    parts: [],
    versions: [],
    softwareVersion: undefined,
    begunBy: undefined,
    lastEvent: undefined,
    isWhole: false,
  };
}

/**
 * Copies a text, so that it can be continued apart from the original.
 * @param text - The text, which another run may go on changing.
 * @example
 * ```ts
 * const own = copySampleText(known);
 * ```
 */
export function copySampleText(text: Readonly<SampleText>): SampleText {
  return { ...text, parts: [...text.parts], versions: [...text.versions] };
}
