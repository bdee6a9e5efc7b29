import type { EngineUseRecord } from "../installation/node_record.ts";
import type { Clock } from "../utilities/clock.ts";
import type { EnginePool } from "./engine_pool.ts";

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

/**
 * Tells the other nodes with this one's signs how many samples it runs at each engine and which
 * loads it ordered, and gives the engine pool what they tell.
 */
export class EngineBoard {
  readonly #clock: Clock;
  readonly #pool: EnginePool;
  #loads: OrderedLoad[] = [];

  /**
   * @param clock - Time.
   * @param pool - The node's engines.
   */
  constructor(clock: Clock, pool: EnginePool) {
    this.#clock = clock;
    this.#pool = pool;
  }

  /** Notes a load that this node ordered. */
  noteLoad(load: Omit<OrderedLoad, "at">): void {
    this.#loads.push({ ...load, at: this.#clock.monotonic() });
    this.#pool.expectVersion(load, LOAD_LIFE_MILLISECONDS);
  }

  /** Returns what the other nodes are to know; undefined when there is nothing. */
  toRecord(): EngineUseRecord | undefined {
    const now = this.#clock.monotonic();
    this.#loads = this.#loads.filter(({ at }) =>
      now - at < LOAD_LIFE_MILLISECONDS
    );
    const running = this.#pool.runningByEngine();
    if (this.#loads.length === 0 && Object.keys(running).length === 0) {
      return undefined;
    }
    const loads = this.#loads.map(({ engine, model, version }) =>
      [engine, model, version] as const
    );
    return { running, loads };
  }

  /** Takes over what the other nodes told last. */
  apply(records: ReadonlyArray<EngineUseRecord>): void {
    const others = new Map<string, number>();
    for (const { running, loads } of records) {
      for (const [engine, count] of Object.entries(running)) {
        others.set(engine, (others.get(engine) ?? 0) + count);
      }
      for (const [engine, model, version] of loads) {
        const load = { engine, model, version };
        this.#pool.expectVersion(load, LOAD_LIFE_MILLISECONDS);
      }
    }
    this.#pool.setOthers(others);
  }
}
