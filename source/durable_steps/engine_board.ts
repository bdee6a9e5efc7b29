import type { EventLog } from "../observability/event_log.ts";
import type { DurableTable } from "../platform/durable_table.ts";
import type { Clock } from "../utilities/clock.ts";
import type { EnginePool } from "./engine_pool.ts";

const TABLE = "engines";
const PARTITION = "engines";
/** Samples run for a second or more; what is told is at most twice as old as this. */
const INTERVAL_MILLISECONDS = 350;
/** A row that stood still for so long is of a node that runs no samples any more. */
const OLD_MILLISECONDS = 1500;
/** A load takes about 1 s; one that is not seen by then is believed no longer. */
const LOAD_LIFE_MILLISECONDS = 4000;

/** A load that was ordered. */
export interface OrderedLoad {
  readonly engine: string;
  readonly model: string;
  readonly version: number;
  /** When the order was accepted, on the monotonic clock. */
  readonly at: number;
}

/** What one node tells the others of engines. */
interface BoardRow {
  /** Running samples by engine. */
  readonly running: Readonly<Record<string, number>>;
  /** Loads that it ordered lately: engine, model, version. */
  readonly loads: ReadonlyArray<readonly [string, string, number]>;
}

/** What an engine board works with. */
export interface EngineBoardOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: DurableTable;
  readonly pool: EnginePool;
  readonly nodeStart: string;
  readonly stopping: AbortSignal;
}

/**
 * Tells the other nodes through the store how many samples this one runs at each engine and which
 * loads it ordered, and reads theirs while it has samples of its own.
 */
export class EngineBoard {
  readonly #options: EngineBoardOptions;
  readonly #changed = new Map<string, { version: number; at: number }>();
  #loads: OrderedLoad[] = [];
  #isToldEmpty = true;

  /** @param options - The store and the node's engines. */
  constructor(options: EngineBoardOptions) {
    this.#options = options;
  }

  /** Notes a load that this node ordered. */
  noteLoad(load: Omit<OrderedLoad, "at">): void {
    this.#loads.push({ ...load, at: this.#options.clock.monotonic() });
    this.#options.pool.expectVersion(load, LOAD_LIFE_MILLISECONDS);
  }

  /** Tells and reads until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping, pool } = this.#options;
    while (!stopping.aborted) {
      const now = clock.monotonic();
      this.#loads = this.#loads.filter(({ at }) =>
        now - at < LOAD_LIFE_MILLISECONDS
      );
      const running = pool.runningByEngine();
      const isEmpty = Object.keys(running).length === 0;
      if (!isEmpty || this.#loads.length > 0 || !this.#isToldEmpty) {
        await this.#tell(running);
      }
      if (!isEmpty || pool.waiting > 0) await this.#read();
      await clock.sleep(INTERVAL_MILLISECONDS, stopping);
    }
  }

  async #tell(running: Readonly<Record<string, number>>): Promise<void> {
    const { table, nodeStart } = this.#options;
    const row: BoardRow = {
      running,
      loads: this.#loads.map(({ engine, model, version }) =>
        [engine, model, version] as const
      ),
    };
    const outcome = await table.commit({
      conditions: [],
      puts: [{
        table: TABLE,
        partition: PARTITION,
        key: nodeStart,
        value: Buffer.from(JSON.stringify(row)),
      }],
    });
    const isEmpty = Object.keys(running).length === 0 &&
      this.#loads.length === 0;
    this.#isToldEmpty = outcome.kind === "ok" && isEmpty;
  }

  async #read(): Promise<void> {
    const { clock, table, pool, nodeStart } = this.#options;
    const outcome = await table.read(TABLE, { partition: PARTITION });
    if (outcome.kind !== "ok") return pool.setOthers(new Map());
    const now = clock.monotonic();
    const others = new Map<string, number>();
    for (const { key, value, version } of outcome.value.rows) {
      if (key === nodeStart || this.#isOld(key, { version, now })) continue;
      const row = JSON.parse(value.toString()) as BoardRow;
      for (const [engine, count] of Object.entries(row.running)) {
        others.set(engine, (others.get(engine) ?? 0) + count);
      }
      for (const [engine, model, loaded] of row.loads) {
        const load = { engine, model, version: loaded };
        pool.expectVersion(load, LOAD_LIFE_MILLISECONDS);
      }
    }
    pool.setOthers(others);
  }

  #isOld(
    key: string,
    { version, now }: { readonly version: number; readonly now: number },
  ): boolean {
    const known = this.#changed.get(key);
    if (known?.version === version) return now - known.at > OLD_MILLISECONDS;
    this.#changed.set(key, { version, at: now });
    return false;
  }
}
