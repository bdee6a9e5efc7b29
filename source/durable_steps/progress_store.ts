import type {
  DurableTable,
  RowTransaction,
} from "../platform/durable_table.ts";
import { isCount, isUnixTime } from "../utilities/number_ranges.ts";
import type { SampleText } from "./sample_text.ts";
import { STEP_TABLE } from "./step_manifest.ts";

/** Minimum number of events since the last save for which a text is saved. */
const MINIMUM_NEW_EVENTS = 6;
/**
 * Maximum size of a saved text, as a share of the row limit. A longer text is not saved, so another
 * node continues its last saved part or restarts it.
 */
const TEXT_ROW_SHARE = 0.9;
/**
 * Limits on one transaction, below the store's 100 entries and 1 MB, of which base64 leaves 750 kB.
 */
const MAXIMUM_TRANSACTION_ROWS = 90;
const MAXIMUM_TRANSACTION_BYTES = 600_000;

/** Unfinished texts by sample identifier. */
export type UnfinishedTexts = ReadonlyMap<string, SampleText>;

/** Saves unfinished texts, so that another node can continue them when the owning node fails. */
export class ProgressStore {
  readonly #table: DurableTable;
  readonly #maximumTextBytes: number;
  /** Number of events at the last save of each text, by step and sample identifier. */
  readonly #saved = new Map<string, Map<string, number>>();

  /**
   * @param table - The store.
   * @param rowBytes - Maximum size of a row's value, in bytes.
   */
  constructor(table: DurableTable, rowBytes: number) {
    this.#table = table;
    this.#maximumTextBytes = Math.floor(TEXT_ROW_SHARE * rowBytes);
  }

  /** Saves the texts of a step that have enough new events since their last save. */
  async save(
    step: string,
    texts: UnfinishedTexts,
    options: { readonly minimumNewEvents?: number } = {},
  ): Promise<void> {
    const minimum = options.minimumNewEvents ?? MINIMUM_NEW_EVENTS;
    const savedEvents = this.#getSaved(step);
    let puts: RowTransaction["puts"][number][] = [];
    let bytes = 0;
    for (const [sample, text] of texts) {
      const events = text.parts.length;
      const saved = savedEvents.get(sample) ?? 0;
      // A text that began anew is shorter than its saved state, which another version wrote.
      const newEvents = events < saved ? events : events - saved;
      if (newEvents < minimum) continue;
      const value = Buffer.from(JSON.stringify(text));
      savedEvents.set(sample, events);
      if (value.length > this.#maximumTextBytes) continue;
      if (
        puts.length >= MAXIMUM_TRANSACTION_ROWS ||
        bytes > MAXIMUM_TRANSACTION_BYTES
      ) {
        await this.#table.commit({ conditions: [], puts });
        [puts, bytes] = [[], 0];
      }
      bytes += value.length;
      puts.push({
        table: STEP_TABLE.progress,
        partition: step,
        key: sample,
        value,
      });
    }
    if (puts.length > 0) await this.#table.commit({ conditions: [], puts });
  }

  /** Forgets what was saved of a step whose run has ended; its rows stay. */
  forget(step: string): void {
    this.#saved.delete(step);
  }

  #getSaved(step: string): Map<string, number> {
    let saved = this.#saved.get(step);
    if (saved === undefined) {
      saved = new Map();
      this.#saved.set(step, saved);
    }
    return saved;
  }

  /**
   * Loads the last saved texts of a step; stops at the first read that the store does not answer.
   */
  async load(step: string): Promise<UnfinishedTexts> {
    const texts = new Map<string, SampleText>();
    let from: string | undefined;
    for (;;) {
      const outcome = await this.#table.read(STEP_TABLE.progress, {
        partition: step,
        ...(from === undefined ? {} : { from }),
      });
      if (outcome.kind !== "ok") return texts;
      for (const { key, value } of outcome.value.rows) {
        const text = readText(value);
        if (text !== undefined) texts.set(key, text);
      }
      const last = outcome.value.rows.at(-1);
      if (!outcome.value.hasMore || last === undefined) return texts;
      from = `${last.key}\u0000`;
    }
  }
}

// Returns undefined for a row that this program did not write; its sample begins anew.
function readText(value: Buffer): SampleText | undefined {
  try {
    const json = JSON.parse(value.toString()) as SampleText | null;
    return json !== null && isSampleText(json) ? json : undefined;
  } catch {
    return undefined;
  }
}

function isSampleText(
  { parts, versions, softwareVersion, begunBy, lastEvent, isWhole }: SampleText,
): boolean {
  const isBeginning = begunBy === undefined ||
    (typeof begunBy.identifier === "string" && isUnixTime(begunBy.startedAt));
  return Array.isArray(parts) &&
    parts.every((part) => typeof part === "string") &&
    Array.isArray(versions) && versions.every((version) => isCount(version)) &&
    (softwareVersion === undefined || typeof softwareVersion === "string") &&
    isBeginning && (lastEvent === undefined || isCount(lastEvent)) &&
    typeof isWhole === "boolean";
}
