import type {
  InstanceListClient,
  ListedInstance,
} from "../../source/platform/instance_list_client.ts";
import type { ObjectStoreClient } from "../../source/platform/object_store_client.ts";
import type { OrdersClient } from "../../source/platform/orders_client.ts";
import type { Platform } from "../../source/platform/platform.ts";
import type {
  PlatformFailure,
  PlatformOutcome,
} from "../../source/platform/platform_outcome.ts";
import type {
  TableClient,
  Transaction,
  TransactionResult,
} from "../../source/platform/table_client.ts";
import type { UsageReportClient } from "../../source/platform/usage_report_client.ts";
import { SystemClock } from "../../source/utilities/system_clock.ts";
import { TableStore } from "../platform/table_store.ts";

/** Faults that the table can simulate. */
export type TableFault = "none" | "down" | "loseAnswer" | "freeze";

const REFUSED: PlatformFailure = {
  kind: "notRun",
  reason: "The platform refused the call",
};
const LOST: PlatformFailure = {
  kind: "unknown",
  reason: "The response was lost",
};

const TIMEOUT_MILLISECONDS = 1000;

/** Returns a failure after 1 s, as a client does that gets no response from the platform. */
async function failAfterTimeout(): Promise<PlatformFailure> {
  await new SystemClock().sleep(TIMEOUT_MILLISECONDS);
  return { kind: "unknown", reason: "The platform did not respond" };
}

/** An in-memory platform for tests that run several nodes in one process. */
export class MemoryPlatform implements Platform {
  readonly objects = {} as ObjectStoreClient;
  readonly orders = {} as OrdersClient;
  readonly usageReports = {} as UsageReportClient;
  readonly table: TableClient;
  readonly instances: InstanceListClient;
  /** Fault of each call to the table. */
  tableFault: TableFault = "none";
  /** Number of the next commits to which the fault applies; later commits succeed. */
  faultyCommits = Infinity;
  /** Whether the list of instances refuses every call. */
  isInstanceListDown = false;
  /** Number of reads and commits that the table received. */
  tableCalls = 0;
  readonly #rows = new TableStore();
  readonly #listed = new Map<string, ListedInstance>();

  constructor() {
    this.table = {
      get: (table, key) => this.#read(() => this.#rows.get(table, key)),
      list: (table, range) => this.#read(() => this.#rows.list(table, range)),
      commit: (transaction) => this.#commit(transaction),
    };
    this.instances = {
      list: () =>
        Promise.resolve(
          this.isInstanceListDown
            ? REFUSED
            : { kind: "ok", value: [...this.#listed.values()] },
        ),
      register: (instance) => {
        if (this.isInstanceListDown) return Promise.resolve(REFUSED);
        this.addInstance(instance);
        return Promise.resolve({ kind: "ok", value: undefined });
      },
    };
  }

  /** Adds an instance to the list or replaces it. */
  addInstance(instance: ListedInstance): void {
    this.#listed.set(`${instance.kind}\n${instance.name}`, instance);
  }

  /** Removes an instance from the list. */
  removeInstance(kind: ListedInstance["kind"], name: string): void {
    this.#listed.delete(`${kind}\n${name}`);
  }

  /** Writes a row without conditions. */
  write(table: string, key: string, value: string): void {
    this.#rows.commit({ conditions: [], writes: [{ table, key, value }] });
  }

  async #read<Value>(
    read: () => Value,
  ): Promise<PlatformOutcome<Value>> {
    this.tableCalls += 1;
    await Promise.resolve();
    if (this.tableFault === "down") return REFUSED;
    if (this.tableFault === "freeze") return await failAfterTimeout();
    return { kind: "ok", value: read() };
  }

  async #commit(
    transaction: Transaction,
  ): Promise<PlatformOutcome<TransactionResult>> {
    this.tableCalls += 1;
    await Promise.resolve();
    const fault = this.faultyCommits > 0 ? this.tableFault : "none";
    this.faultyCommits -= 1;
    if (fault === "down") return REFUSED;
    if (fault === "freeze") return await failAfterTimeout();
    const result = this.#rows.commit(transaction);
    return fault === "loseAnswer" ? LOST : { kind: "ok", value: result };
  }
}
