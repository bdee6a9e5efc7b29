import { fromJsonString } from "@bufbuild/protobuf";
import { KeyRecordSchema } from "../../generated/snipepath/v1/records_pb.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { ListedInstance } from "../platform/instance_list_client.ts";
import type { ConfigurationHolder } from "./configuration_holder.ts";
import type { ConfigurationStore } from "./configuration_store.ts";
import type { KeyFreshnessTracker } from "./key_freshness_tracker.ts";

/** Table that holds the keys. */
export const KEY_TABLE = "keys";
const REGISTER_INTERVAL_MILLISECONDS = 3000;
const MINIMUM_LIST_INTERVAL_MILLISECONDS = 1000;
const LIST_INTERVAL_PER_NODE_MILLISECONDS = 200;
const FIRST_TABLE_INTERVAL_MILLISECONDS = 250;
const MINIMUM_TABLE_INTERVAL_MILLISECONDS = 2000;
const TABLE_INTERVAL_PER_NODE_MILLISECONDS = 40;
const KEY_PAGE_ROWS = 500;

/** Options of a platform poller. */
export interface PlatformPollerOptions {
  readonly context: NodeContext;
  readonly store: ConfigurationStore;
  readonly holder: ConfigurationHolder;
  readonly freshness: KeyFreshnessTracker;
  /** Returns this node's entry in the instance list. */
  readonly registration: () => ListedInstance;
  /** Receives each version of the instance list that was read. */
  readonly onListed: (instances: ReadonlyArray<ListedInstance>) => void;
  /** Receives the identifiers of the withdrawn keys in each page that was read from the table. */
  readonly onWithdrawn: (identifiers: ReadonlyArray<string>) => void;
  /** Returns the number of live nodes, this one included. */
  readonly nodeCount: () => number;
  /** Whether another component of the node reads the keys. */
  readonly areKeysReadElsewhere: boolean;
}

/** Reads the platform's table and instance list at intervals that grow with the number of nodes. */
export class PlatformPoller {
  readonly #options: PlatformPollerOptions;
  #hasConfiguration = false;

  /** @param options - Sources to read and receivers of the results. */
  constructor(options: PlatformPollerOptions) {
    this.#options = options;
  }

  /** Whether the configuration has been read from the table since the start. */
  get hasConfiguration(): boolean {
    return this.#hasConfiguration;
  }

  /** Registers this node and reads the table and the instance list until the node stops. */
  async run(): Promise<void> {
    await Promise.all([
      this.#registerPeriodically(),
      this.#readListPeriodically(),
      this.#readTablePeriodically(),
    ]);
  }

  /** Reads the configuration and the key withdrawals. */
  async readTable(): Promise<void> {
    const { clock } = this.#options.context;
    const sentAt = clock.monotonic();
    const configuration = await this.#options.store.read();
    if (configuration.kind !== "ok") return;
    const record = configuration.value;
    if (record !== undefined) this.#options.holder.adoptFrom(record, "table");
    this.#hasConfiguration = true;
    if (await this.#readWithdrawals()) {
      this.#options.freshness.recordTableRead(sentAt);
    }
  }

  async #registerPeriodically(): Promise<void> {
    const { clock, platform, stopping } = this.#options.context;
    while (!stopping.aborted) {
      await platform.instances.register(this.#options.registration());
      await clock.sleep(REGISTER_INTERVAL_MILLISECONDS, stopping);
    }
  }

  async #readListPeriodically(): Promise<void> {
    const { clock, log, platform, stopping } = this.#options.context;
    let wasAvailable = true;
    while (!stopping.aborted) {
      const outcome = await platform.instances.list();
      if (outcome.kind === "ok") this.#options.onListed(outcome.value);
      else if (wasAvailable) {
        log.emit("instanceListUnavailable", { reason: outcome.reason });
      }
      wasAvailable = outcome.kind === "ok";
      const interval = this.#createInterval(
        MINIMUM_LIST_INTERVAL_MILLISECONDS,
        LIST_INTERVAL_PER_NODE_MILLISECONDS,
      );
      await clock.sleep(interval, stopping);
    }
  }

  /** Reads the table periodically, to find the revisions and withdrawals that peers did not send. */
  async #readTablePeriodically(): Promise<void> {
    const { clock, stopping } = this.#options.context;
    while (!stopping.aborted) {
      await this.readTable();
      const interval = this.#hasConfiguration
        ? this.#createInterval(
          MINIMUM_TABLE_INTERVAL_MILLISECONDS,
          TABLE_INTERVAL_PER_NODE_MILLISECONDS,
        )
        : FIRST_TABLE_INTERVAL_MILLISECONDS;
      await clock.sleep(interval, stopping);
    }
  }

  /**
   * Returns a jittered interval that grows with the number of nodes, to bound the total request
   * rate of all nodes.
   */
  #createInterval(minimum: number, perNode: number): number {
    const interval = Math.max(minimum, perNode * this.#options.nodeCount());
    return interval * (0.75 + 0.5 * this.#options.context.random.next());
  }

  async #readWithdrawals(): Promise<boolean> {
    const { context, areKeysReadElsewhere, onWithdrawn } = this.#options;
    if (areKeysReadElsewhere) return false;
    let after = "";
    for (;;) {
      const page = await context.platform.table.list(KEY_TABLE, {
        prefix: "",
        after,
        maximum: KEY_PAGE_ROWS,
      });
      if (page.kind !== "ok") return false;
      onWithdrawn(
        page.value.filter(({ value }) => isWithdrawn(value))
          .map(({ key }) => key),
      );
      const last = page.value.at(-1);
      if (last === undefined || page.value.length < KEY_PAGE_ROWS) return true;
      after = last.key;
    }
  }
}

function isWithdrawn(value: string): boolean {
  try {
    const options = { ignoreUnknownFields: true };
    return fromJsonString(KeyRecordSchema, value, options).withdrawn;
  } catch {
    // A key whose row can't be parsed must not be accepted.
    return true;
  }
}
