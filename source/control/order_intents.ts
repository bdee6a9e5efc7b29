import { create, fromJsonString, toJsonString } from "@bufbuild/protobuf";
import {
  IntentState,
  type OrderIntent,
  OrderIntentSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { Row, TransactionResult } from "../platform/table_client.ts";
import type { PlatformOutcome } from "../platform/platform_outcome.ts";
import { LEASE_TABLE, type LeaseKeeper } from "./lease_keeper.ts";

/** Name of the table of order intents. */
export const INTENT_TABLE = "intents";

const MAXIMUM_WRITE_ATTEMPTS = 4;
const MAXIMUM_LISTED_INTENTS = 10_000;
const RETRY_MILLISECONDS = 50;

/** An open order with the version of its row. */
export interface OpenIntent {
  readonly intent: OrderIntent;
  readonly rowVersion: number;
}

/** Whether an intent was written. */
export type IntentOutcome =
  | {
    readonly kind: "written";
    readonly open: OpenIntent;
    /** Whether the order was open already, so that it may have been sent. */
    readonly wasOpen: boolean;
  }
  /** No row was written. */
  | { readonly kind: "notHeld" }
  /** No row was written. */
  | { readonly kind: "notRun"; readonly reason: string }
  /** The row was to be taken over and is gone. */
  | { readonly kind: "gone" }
  /** A row may have been written, which a later holder would send. */
  | { readonly kind: "unknown"; readonly reason: string };

/** Whether the row of an order is gone by this node's own hand. */
export type CloseOutcome = "deleted" | "unknown";

/** Rows of the orders that were opened under one lease and not closed yet. */
export class OrderIntents {
  readonly #context: NodeContext;
  readonly #lease: LeaseKeeper;

  /**
   * @param context - The node.
   * @param lease - The lease that the orders are given under.
   */
  constructor(context: NodeContext, lease: LeaseKeeper) {
    this.#context = context;
    this.#lease = lease;
  }

  /** Lists all open orders of the lease, whoever opened them. */
  async list(): Promise<PlatformOutcome<ReadonlyArray<OpenIntent>>> {
    const outcome = await this.#context.platform.table.list(INTENT_TABLE, {
      prefix: `${this.#lease.name}/`,
      maximum: MAXIMUM_LISTED_INTENTS,
    });
    if (outcome.kind !== "ok") return outcome;
    return { kind: "ok", value: outcome.value.map(readIntent) };
  }

  /**
   * Writes an intent under the lease's present fencing number, in a transaction that
   * commits only if the lease's row is the one that this node holds.
   * @param intent - The order.
   * @param rowVersion - Version of the intent's row that is taken over; 0 for a new one.
   */
  async write(intent: OrderIntent, rowVersion: number): Promise<IntentOutcome> {
    let version = rowVersion;
    let wasOpen = rowVersion > 0;
    let mayExist = wasOpen;
    let reason = "The lease is not held";
    for (let attempt = 0; attempt < MAXIMUM_WRITE_ATTEMPTS; attempt++) {
      const held = this.#lease.ifHeld();
      if (held === undefined) {
        return mayExist ? { kind: "unknown", reason } : { kind: "notHeld" };
      }
      const written = this.#stamp(intent, held.fencingNumber);
      const outcome = await this.#commit(written, version, held.rowVersion);
      if (outcome.kind === "ok" && outcome.value.kind === "committed") {
        const rowVersion = outcome.value.versions[0] ?? 0;
        const open = { intent: written, rowVersion };
        return { kind: "written", open, wasOpen };
      }
      reason = describe(outcome);
      mayExist ||= outcome.kind === "unknown";
      await this.#lease.settled();
      const row = await this.#read(intent.idempotencyKey);
      if (row === "failed") continue;
      if (row !== undefined && isSame(row.intent, written)) {
        return { kind: "written", open: row, wasOpen };
      }
      if (row === undefined && rowVersion > 0) return { kind: "gone" };
      wasOpen ||= row !== undefined;
      version = row?.rowVersion ?? 0;
    }
    return { kind: mayExist ? "unknown" : "notRun", reason };
  }

  /** Deletes the row of an order whose result is known. */
  async close(open: OpenIntent): Promise<CloseOutcome> {
    const key = this.#key(open.intent.idempotencyKey);
    for (let attempt = 0; attempt < MAXIMUM_WRITE_ATTEMPTS; attempt++) {
      const outcome = await this.#context.platform.table.commit({
        conditions: [{ table: INTENT_TABLE, key, version: open.rowVersion }],
        writes: [{ table: INTENT_TABLE, key, value: undefined }],
      });
      if (outcome.kind === "ok") {
        return outcome.value.kind === "committed" ? "deleted" : "unknown";
      }
      await this.#context.clock.sleep(RETRY_MILLISECONDS * 2 ** attempt);
    }
    return "unknown";
  }

  /** Notes an order's result in its row, which stays until it is withdrawn. */
  async keep(open: OpenIntent, server: string): Promise<OrderIntent> {
    const state = IntentState.DONE;
    const intent = create(OrderIntentSchema, { ...open.intent, server, state });
    const key = this.#key(intent.idempotencyKey);
    const value = toJsonString(OrderIntentSchema, intent);
    // An unconfirmed note leaves the row open; a later holder then asks again.
    await this.#context.platform.table.commit({
      conditions: [{ table: INTENT_TABLE, key, version: open.rowVersion }],
      writes: [{ table: INTENT_TABLE, key, value }],
    });
    return intent;
  }

  /** Makes sure that an order has no row; false when that is not confirmed. */
  async withdraw(idempotencyKey: string): Promise<boolean> {
    const row = await this.#read(idempotencyKey);
    if (row === "failed") return false;
    return row === undefined || await this.close(row) === "deleted";
  }

  #commit(
    intent: OrderIntent,
    intentVersion: number,
    leaseVersion: number,
  ): Promise<PlatformOutcome<TransactionResult>> {
    const key = this.#key(intent.idempotencyKey);
    const value = toJsonString(OrderIntentSchema, intent);
    return this.#context.platform.table.commit({
      conditions: [
        { table: LEASE_TABLE, key: this.#lease.name, version: leaseVersion },
        { table: INTENT_TABLE, key, version: intentVersion },
      ],
      writes: [{ table: INTENT_TABLE, key, value }],
    });
  }

  async #read(
    idempotencyKey: string,
  ): Promise<OpenIntent | undefined | "failed"> {
    const key = this.#key(idempotencyKey);
    const outcome = await this.#context.platform.table.get(INTENT_TABLE, key);
    if (outcome.kind !== "ok") return "failed";
    return outcome.value === undefined ? undefined : readIntent(outcome.value);
  }

  #stamp(intent: OrderIntent, fencingNumber: number): OrderIntent {
    const { clock, settings } = this.#context;
    const deadline = clock.wall() + settings.orderDeadlineMilliseconds;
    return create(OrderIntentSchema, {
      ...intent,
      lease: this.#lease.name,
      fencingNumber: BigInt(fencingNumber),
      state: IntentState.OPEN,
      deadlineUnixMilliseconds: BigInt(Math.round(deadline)),
    });
  }

  #key(idempotencyKey: string): string {
    return `${this.#lease.name}/${idempotencyKey}`;
  }
}

function readIntent(row: Row): OpenIntent {
  const intent = fromJsonString(OrderIntentSchema, row.value);
  return { intent, rowVersion: row.version };
}

function isSame(left: OrderIntent, right: OrderIntent): boolean {
  return left.fencingNumber === right.fencingNumber &&
    left.deadlineUnixMilliseconds === right.deadlineUnixMilliseconds;
}

function describe(outcome: PlatformOutcome<TransactionResult>): string {
  if (outcome.kind !== "ok") return outcome.reason;
  if (outcome.value.kind === "committed") return "";
  return `Conflict on ${outcome.value.table}/${outcome.value.key}`;
}
