import type { Metrics } from "../observability/metrics.ts";
import type { Clock } from "../utilities/clock.ts";
import type {
  CommitResult,
  DurableTable,
  RowPage,
  RowTransaction,
  RowWindow,
  TableChanges,
} from "./durable_table.ts";
import type { PlatformOutcome } from "./platform_outcome.ts";
import { StoreHealth } from "./store_health.ts";

/** Counts and times the calls to a durable table, and notes what they tell of the store. */
export class MeasuredTable implements DurableTable {
  /** Whether the store answers this node. */
  readonly health: StoreHealth;
  readonly #inner: DurableTable;
  readonly #clock: Clock;
  readonly #metrics: Metrics;

  /**
   * @param inner - The table.
   * @param tools - Where calls are counted.
   */
  constructor(
    inner: DurableTable,
    tools: { readonly clock: Clock; readonly metrics: Metrics },
  ) {
    this.#inner = inner;
    this.#clock = tools.clock;
    this.#metrics = tools.metrics;
    this.health = new StoreHealth(tools.clock);
  }

  /** Reads rows of a partition as of one moment. */
  read(table: string, window: RowWindow): Promise<PlatformOutcome<RowPage>> {
    return this.#measure("read", () => this.#inner.read(table, window));
  }

  /** Waits for changes of a table; only its result is counted, as the wait is no delay. */
  async follow(
    table: string,
    options: { readonly after: number; readonly waitMilliseconds: number },
  ): Promise<PlatformOutcome<TableChanges>> {
    const startedAt = this.#clock.monotonic();
    const outcome = await this.#inner.follow(table, options);
    const took = this.#clock.monotonic() - startedAt;
    this.#note("follow", outcome.kind, took - options.waitMilliseconds);
    return outcome;
  }

  /** Applies a transaction. */
  commit(transaction: RowTransaction): Promise<PlatformOutcome<CommitResult>> {
    return this.#measure("commit", () => this.#inner.commit(transaction));
  }

  async #measure<Value>(
    operation: string,
    call: () => Promise<PlatformOutcome<Value>>,
  ): Promise<PlatformOutcome<Value>> {
    const startedAt = this.#clock.monotonic();
    const outcome = await call();
    const milliseconds = this.#clock.monotonic() - startedAt;
    this.#note(operation, outcome.kind, milliseconds);
    this.#metrics.histogram("store_milliseconds", milliseconds, { operation });
    return outcome;
  }

  #note(
    operation: string,
    result: PlatformOutcome<unknown>["kind"],
    milliseconds: number,
  ): void {
    this.#metrics.count("store_calls", { operation, result });
    if (result === "ok") this.health.noteAnswer();
    else this.health.noteFailure(milliseconds);
  }
}
