import type {
  DurableTable,
  RowTransaction,
} from "../platform/durable_table.ts";
import type { SampleText } from "./sample_text_run.ts";
import { STEP_TABLE } from "./step_manifest.ts";

/** New events that are worth a row. */
const LEAST_NEW_EVENTS = 6;
/** Share of the largest row; longer texts begin anew elsewhere. */
const ROW_SHARE = 0.9;
/** Bounds of a transaction: 100 entries and 1 MB, which base64 reaches at three quarters. */
const TRANSACTION_ROWS = 90;
const TRANSACTION_BYTES = 600_000;

/** Texts under way, by sample. */
export type TextsUnderWay = ReadonlyMap<string, SampleText>;

/**
 * Saves texts that are under way, so that another node goes on with them when their own is lost.
 */
export class ProgressLog {
  readonly #table: DurableTable;
  readonly #largestRow: number;
  readonly #saved = new Map<string, number>();

  /**
   * @param table - The store.
   * @param rowBytes - Largest value of a row.
   */
  constructor(table: DurableTable, rowBytes: number) {
    this.#table = table;
    this.#largestRow = Math.floor(ROW_SHARE * rowBytes);
  }

  /** Saves the texts of a step that have grown enough since they were last saved. */
  async save(
    step: string,
    texts: TextsUnderWay,
    options: { readonly leastNewEvents?: number } = {},
  ): Promise<void> {
    const least = options.leastNewEvents ?? LEAST_NEW_EVENTS;
    let puts: RowTransaction["puts"][number][] = [];
    let bytes = 0;
    for (const [sample, text] of texts) {
      const events = text.parts.length;
      if (events - (this.#saved.get(sample) ?? 0) < least) continue;
      const value = Buffer.from(JSON.stringify(text));
      this.#saved.set(sample, events);
      if (value.length > this.#largestRow) continue;
      if (puts.length >= TRANSACTION_ROWS || bytes > TRANSACTION_BYTES) {
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

  /** Loads the texts of a step as they were last saved; none when the store does not answer. */
  async load(step: string): Promise<TextsUnderWay> {
    const texts = new Map<string, SampleText>();
    let from: string | undefined;
    for (;;) {
      const outcome = await this.#table.read(STEP_TABLE.progress, {
        partition: step,
        ...(from === undefined ? {} : { from }),
      });
      if (outcome.kind !== "ok") return texts;
      for (const { key, value } of outcome.value.rows) {
        texts.set(key, JSON.parse(value.toString()) as SampleText);
      }
      const last = outcome.value.rows.at(-1);
      if (!outcome.value.hasMore || last === undefined) return texts;
      from = `${last.key}\u0000`;
    }
  }
}
