import type { ServerCallStatistics } from "../calls/server_call_statistics.ts";
import { LOAD_ASSUMPTION_MILLISECONDS } from "../decisions/weight_load_wait.ts";
import type { EngineUseRecord } from "../installation/node_record.ts";
import type { NodeUse, SlotSharing } from "../installation/slot_sharing.ts";
import type { Clock } from "../utilities/clock.ts";
import type { EnginePool } from "./engine_pool.ts";

/** A weight load that this node ordered. */
export interface OrderedLoad {
  readonly engine: string;
  readonly model: string;
  readonly version: number;
  /** Monotonic time, in milliseconds, at which the engine accepted the order. */
  readonly acceptedAt: number;
}

/**
 * Exchanges the use of engines between nodes. This node's heartbeats publish how many samples it
 * runs on each engine and which loads it ordered, and the engine pool receives the same from other
 * nodes.
 */
export class EngineUseExchange {
  readonly #clock: Clock;
  readonly #pool: EnginePool;
  readonly #statistics: ServerCallStatistics;
  readonly #sharing: SlotSharing | undefined;
  #loads: OrderedLoad[] = [];

  /**
   * @param clock - Measures the age of ordered loads.
   * @param users - The parts of this node that use engines and plain servers.
   */
  constructor(
    clock: Clock,
    users: {
      readonly pool: EnginePool;
      readonly statistics: ServerCallStatistics;
      readonly sharing?: SlotSharing;
    },
  ) {
    this.#clock = clock;
    this.#pool = users.pool;
    this.#statistics = users.statistics;
    this.#sharing = users.sharing;
  }

  /** Records a load that this node ordered, and lets the engine pool assume that it succeeded. */
  recordLoad(load: Omit<OrderedLoad, "acceptedAt">): void {
    this.#loads.push({ ...load, acceptedAt: this.#clock.monotonic() });
    this.#pool.expectLoad({ ...load, ageMilliseconds: 0 });
  }

  /**
   * Returns the record to publish in heartbeats; undefined when this node runs no sample and has
   * ordered no load recently.
   */
  toRecord(): EngineUseRecord | undefined {
    const now = this.#clock.monotonic();
    this.#loads = this.#loads.filter(({ acceptedAt }) =>
      now - acceptedAt < LOAD_ASSUMPTION_MILLISECONDS
    );
    const running = {
      ...this.#pool.runningByEngine(),
      ...this.#statistics.runningByServer(),
    };
    this.#sharing?.recordPublished(running);
    if (this.#loads.length === 0 && Object.keys(running).length === 0) {
      return undefined;
    }
    const loads = this.#loads.map(({ engine, model, version, acceptedAt }) =>
      [engine, model, version, Math.round(now - acceptedAt)] as const
    );
    return { running, loads };
  }

  /** Applies the latest records of all other nodes to the engine pool. */
  apply(uses: ReadonlyArray<NodeUse>): void {
    this.#sharing?.apply(uses);
    const records = uses.flatMap(({ engineUse }) => engineUse ?? []);
    const runningElsewhere = new Map<string, number>();
    for (const { running, loads } of records) {
      for (const [engine, count] of Object.entries(running)) {
        runningElsewhere.set(
          engine,
          (runningElsewhere.get(engine) ?? 0) + count,
        );
      }
      for (const [engine, model, version, ageMilliseconds] of loads) {
        this.#pool.expectLoad({ engine, model, version, ageMilliseconds });
      }
    }
    this.#pool.setRunningElsewhere(runningElsewhere);
    this.#statistics.setRunningElsewhere(runningElsewhere);
  }
}
