import { create, fromJsonString, toJsonString } from "@bufbuild/protobuf";
import {
  IntentState,
  type OrderIntent,
  OrderIntentSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { Row, TransactionResult } from "../platform/table_client.ts";
import type { PlatformOutcome } from "../platform/platform_outcome.ts";
import { LEASE_TABLE, type LeaseElector } from "./lease_elector.ts";

/** Name of the platform table that stores order intents. */
export const INTENT_TABLE = "intents";

const MAXIMUM_WRITE_ATTEMPTS = 4;
const MAXIMUM_LISTED_INTENTS = 10_000;
const RETRY_MILLISECONDS = 50;

/** An order intent with the version of its row. */
export interface OpenIntent {
  readonly intent: OrderIntent;
  readonly rowVersion: number;
}

/** Result of writing an intent. */
export type IntentOutcome =
  | {
    readonly kind: "written";
    readonly open: OpenIntent;
    /** Whether the intent existed before, so that the order may already have been sent. */
    readonly wasOpen: boolean;
  }
  /** This node does not hold the lease; no row was written. */
  | { readonly kind: "notHeld" }
  /** The write failed; no row was written. */
  | { readonly kind: "notRun"; readonly reason: string }
  /** The row to take over no longer exists. */
  | { readonly kind: "missing" }
  /** A row may have been written, in which case a later holder of the lease would send the order. */
  | { readonly kind: "unknown"; readonly reason: string };

/** Result of deleting an order's row: confirmed as deleted by this node, or unknown. */
export type CloseOutcome = "deleted" | "unknown";

/** Reads and writes the intent rows of orders given under one lease. */
export class OrderIntents {
  readonly #context: NodeContext;
  readonly #lease: LeaseElector;

  /**
   * @param context - The node context.
   * @param lease - The lease under which the orders are given.
   */
  constructor(context: NodeContext, lease: LeaseElector) {
    this.#context = context;
    this.#lease = lease;
  }

  /** Lists all intents of the lease, including those written by other nodes. */
  async list(): Promise<PlatformOutcome<ReadonlyArray<OpenIntent>>> {
    const outcome = await this.#context.platform.table.list(INTENT_TABLE, {
      prefix: `${this.#lease.name}/`,
      maximum: MAXIMUM_LISTED_INTENTS,
    });
    if (outcome.kind !== "ok") return outcome;
    return { kind: "ok", value: outcome.value.map(readIntent) };
  }

  /**
   * Writes an intent with the lease's current fencing number, in a transaction that commits
   * only if the lease's row still has the version that this node holds.
   * @param intent - The order intent.
   * @param rowVersion - Version of the row to take over; 0 for a new intent.
   */
  async write(intent: OrderIntent, rowVersion: number): Promise<IntentOutcome> {
    let version = rowVersion;
    let wasOpen = rowVersion > 0;
    let mayExist = wasOpen;
    let reason = "The lease is not held";
    for (let attempt = 0; attempt < MAXIMUM_WRITE_ATTEMPTS; attempt++) {
      const held = this.#lease.getHeldLease();
      if (held === undefined) {
        return mayExist ? { kind: "unknown", reason } : { kind: "notHeld" };
      }
      const stamped = this.#createOpenIntent(intent, held.fencingNumber);
      const outcome = await this.#commit(stamped, version, held.rowVersion);
      if (outcome.kind === "ok" && outcome.value.kind === "committed") {
        const rowVersion = outcome.value.versions[0] ?? 0;
        const open = { intent: stamped, rowVersion };
        return { kind: "written", open, wasOpen };
      }
      reason = describe(outcome);
      mayExist ||= outcome.kind === "unknown";
      await this.#lease.waitForPendingRenewal();
      const row = await this.#readRow(intent.idempotencyKey);
      if (row === "failed") continue;
      if (row !== undefined && isSameWrite(row.intent, stamped)) {
        return { kind: "written", open: row, wasOpen };
      }
      if (row === undefined && rowVersion > 0) return { kind: "missing" };
      wasOpen ||= row !== undefined;
      version = row?.rowVersion ?? 0;
    }
    return { kind: mayExist ? "unknown" : "notRun", reason };
  }

  /** Deletes an intent's row, provided that the row still has the given version. */
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

  /** Marks an intent as done and records its server; the row remains until it is deleted. */
  async markDone(open: OpenIntent, server: string): Promise<OrderIntent> {
    const state = IntentState.DONE;
    const intent = create(OrderIntentSchema, { ...open.intent, server, state });
    const key = this.#key(intent.idempotencyKey);
    const value = toJsonString(OrderIntentSchema, intent);
    // If this write does not commit, the row stays open and a later holder sends the order again.
    await this.#context.platform.table.commit({
      conditions: [{ table: INTENT_TABLE, key, version: open.rowVersion }],
      writes: [{ table: INTENT_TABLE, key, value }],
    });
    return intent;
  }

  /** Deletes an order's row if it exists; returns whether its absence is confirmed. */
  async ensureDeleted(idempotencyKey: string): Promise<boolean> {
    const row = await this.#readRow(idempotencyKey);
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

  async #readRow(
    idempotencyKey: string,
  ): Promise<OpenIntent | undefined | "failed"> {
    const key = this.#key(idempotencyKey);
    const outcome = await this.#context.platform.table.get(INTENT_TABLE, key);
    if (outcome.kind !== "ok") return "failed";
    return outcome.value === undefined ? undefined : readIntent(outcome.value);
  }

  #createOpenIntent(intent: OrderIntent, fencingNumber: number): OrderIntent {
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

function isSameWrite(left: OrderIntent, right: OrderIntent): boolean {
  return left.fencingNumber === right.fencingNumber &&
    left.deadlineUnixMilliseconds === right.deadlineUnixMilliseconds;
}

function describe(outcome: PlatformOutcome<TransactionResult>): string {
  if (outcome.kind !== "ok") return outcome.reason;
  if (outcome.value.kind === "committed") return "";
  return `Conflict on ${outcome.value.table}/${outcome.value.key}`;
}
