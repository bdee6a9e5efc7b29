import type { Metrics } from "../observability/metrics.ts";
import type { Clock } from "../utilities/clock.ts";
import type {
  CommitResult,
  DurableTable,
  RowPage,
  RowQuery,
  RowTransaction,
  TableChanges,
} from "./durable_table.ts";
import type { PlatformOutcome } from "./platform_outcome.ts";
import { StoreHealth } from "./store_health.ts";

/** Counts and times the calls to a durable table, and derives the store's health from them. */
export class MeasuredTable implements DurableTable {
  /** Health of the store as seen by this node's calls. */
  readonly health: StoreHealth;
  readonly #inner: DurableTable;
  readonly #clock: Clock;
  readonly #metrics: Metrics;

  /**
   * @param inner - Table whose calls are measured.
   * @param tools - Clock and metrics that measure the calls.
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

  /** Reads rows of a partition at one version of the store. */
  read(table: string, query: RowQuery): Promise<PlatformOutcome<RowPage>> {
    return this.#measure("read", () => this.#inner.read(table, query));
  }

  /** Waits for changes; counts the result, but records no duration, since the wait is intended. */
  async follow(
    table: string,
    options: { readonly after: number; readonly waitMilliseconds: number },
  ): Promise<PlatformOutcome<TableChanges>> {
    const startedAt = this.#clock.monotonic();
    const outcome = await this.#inner.follow(table, options);
    const elapsedMilliseconds = this.#clock.monotonic() - startedAt;
    this.#recordOutcome(
      "follow",
      outcome.kind,
      elapsedMilliseconds - options.waitMilliseconds,
    );
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
    this.#recordOutcome(operation, outcome.kind, milliseconds);
    this.#metrics.histogram("store_milliseconds", milliseconds, { operation });
    return outcome;
  }

  #recordOutcome(
    operation: string,
    result: PlatformOutcome<unknown>["kind"],
    milliseconds: number,
  ): void {
    this.#metrics.count("store_calls", { operation, result });
    if (result === "ok") this.health.recordAnswer();
    else this.health.recordFailure(milliseconds);
  }
}
