import { create, fromJsonString, toJsonString } from "@bufbuild/protobuf";
import {
  type LeaseRecord,
  LeaseRecordSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { Row, TableClient } from "../platform/table_client.ts";
import { invariant } from "../utilities/invariant.ts";
import {
  doClocksAgree,
  isFresh,
  takeTimeStamp,
  type TimeStamp,
} from "./time_stamp.ts";

/** Name of the table of leases. */
export const LEASE_TABLE = "leases";

const RENEWALS_IN_A_LEASE = 3;
const POLLING_CANDIDATES = 8;
const POLLS_BETWEEN_DRAWS = 20;
const CLOCK_RATE_MARGIN = 1.02;
const POLL_JITTER_SHARE = 0.2;
const MAXIMUM_PENDING_WRITES = 16;

/** What a lease keeper works with; every node context is one. */
export interface LeaseContext extends
  Pick<
    NodeContext,
    "nodeStart" | "clock" | "random" | "log" | "stopping"
  > {
  readonly settings: Pick<
    NodeContext["settings"],
    "node" | "leaseMilliseconds" | "orderDeadlineMilliseconds"
  >;
  readonly platform: { readonly table: Pick<TableClient, "get" | "commit"> };
}

/** How a lease is kept. */
export interface LeaseKeeperOptions {
  /** Gives the lease's duration and the order deadline in its settings. */
  readonly context: LeaseContext;
  /** Such as "usage" or "orders/dot-models". */
  readonly name: string;
  /** Returns the number of nodes that try for the lease; about 8 of them poll at a time. */
  readonly candidates?: () => number;
}

/** A lease that is held at the moment of asking. */
export interface HeldLease {
  readonly name: string;
  /** Grows at each take-over. */
  readonly fencingNumber: number;
  /** Version of the lease's row, for conditions of transactions. */
  readonly rowVersion: number;
}

interface Holding {
  readonly fencingNumber: number;
  readonly rowVersion: number;
  readonly sent: TimeStamp;
  readonly clockEpoch: number;
}

interface PendingWrite {
  readonly fencingNumber: number;
  readonly renewals: number;
  readonly sent: TimeStamp;
  readonly clockEpoch: number;
}

interface SeenRow {
  readonly record: LeaseRecord;
  readonly version: number;
  readonly firstSeenAt: number;
}

/**
 * Tries for one lease, keeps it while held, and tells at any moment whether it is held.
 *
 * The lease is valid from the moment its last confirmed renewal was sent, and only while
 * the monotonic and the wall clock agree on the time since. A successor waits the lease's
 * duration and the order deadline on its own clock, from first seeing the row's version.
 * @example
 * ```ts
 * const lease = new LeaseKeeper({ context, name: "usage" });
 * void lease.run();
 * const held = lease.ifHeld();
 * if (held !== undefined) send(held.fencingNumber); // in the same tick
 * ```
 */
export class LeaseKeeper {
  /** The lease's name. */
  readonly name: string;
  readonly #context: LeaseContext;
  readonly #candidates: () => number;
  #holding: Holding | undefined;
  #seen: SeenRow | undefined;
  #pending: PendingWrite[] = [];
  #mustRead = true;
  #writes = 0;
  #highestFencingNumber = 0;
  #announced: number | undefined;
  #lastFailure = "";
  #clockEpoch = 0;
  #isReleased = false;
  #isPolling = true;
  #drawnUntil = 0;
  #turning: Promise<void> = Promise.resolve();

  /** @param options - The lease's name and the node's context. */
  constructor(options: LeaseKeeperOptions) {
    this.name = options.name;
    this.#context = options.context;
    this.#candidates = options.candidates ?? (() => 1);
  }

  /** Returns the lease if it is held now; to be asked in the tick of the act. */
  ifHeld(): HeldLease | undefined {
    const holding = this.#holding;
    if (holding === undefined || this.#isReleased) return undefined;
    const { clock } = this.#context;
    // What was sent before a disagreement stays void, also when a later step hides it.
    if (holding.clockEpoch !== this.#clockEpoch) return undefined;
    if (!doClocksAgree(holding.sent, clock)) this.#clockEpoch += 1;
    if (!isFresh(holding.sent, clock, this.#durationMilliseconds)) {
      return undefined;
    }
    const { fencingNumber, rowVersion } = holding;
    return { name: this.name, fencingNumber, rowVersion };
  }

  /** Waits until a renewal that is under way has ended. */
  settled(): Promise<void> {
    return this.#turning;
  }

  /** Tries for the lease until the node stops, then gives it back. */
  async run(): Promise<void> {
    const { stopping, clock } = this.#context;
    while (!stopping.aborted) {
      this.#turning = this.#turn();
      await this.#turning;
      this.#announce();
      await clock.sleep(this.#pauseMilliseconds(), stopping);
    }
    await this.#release();
  }

  get #durationMilliseconds(): number {
    return this.#context.settings.leaseMilliseconds;
  }

  async #turn(): Promise<void> {
    this.ifHeld();
    if (this.#mustRead && !(await this.#read())) return;
    if (this.#holding !== undefined) return await this.#renew(this.#holding);
    if (this.#mayTakeOver()) await this.#takeOver();
  }

  async #read(): Promise<boolean> {
    const outcome = await this.#context.platform.table.get(
      LEASE_TABLE,
      this.name,
    );
    if (outcome.kind !== "ok") {
      this.#noteFailure(outcome.kind, outcome.reason);
      return false;
    }
    this.#lastFailure = "";
    this.#adopt(outcome.value);
    return true;
  }

  #adopt(row: Row | undefined): void {
    if (row === undefined) {
      this.#holding = undefined;
      this.#seen = undefined;
      return;
    }
    const record = fromJsonString(LeaseRecordSchema, row.value);
    if (this.#seen?.version !== row.version) {
      const firstSeenAt = this.#context.clock.monotonic();
      this.#seen = { record, version: row.version, firstSeenAt };
    }
    if (this.#holding?.rowVersion === row.version) return;
    this.#holding = this.#findOwnWrite(record, row.version);
    this.#mustRead = this.#holding === undefined;
  }

  #findOwnWrite(record: LeaseRecord, rowVersion: number): Holding | undefined {
    if (record.holderStart !== this.#context.nodeStart) return undefined;
    const write = this.#pending.find((pending) =>
      pending.renewals === Number(record.renewals)
    );
    if (write === undefined) return undefined;
    return this.#hold(write, rowVersion);
  }

  #hold(write: PendingWrite, rowVersion: number): Holding {
    const { fencingNumber, sent, clockEpoch } = write;
    invariant(
      fencingNumber >= this.#highestFencingNumber,
      `Lease ${this.name} got fencing number ${fencingNumber} after ${this.#highestFencingNumber}`,
    );
    this.#highestFencingNumber = fencingNumber;
    this.#pending = [];
    return { fencingNumber, rowVersion, sent, clockEpoch };
  }

  async #renew(holding: Holding): Promise<void> {
    // Also after a lapse: the unchanged row shows that no other node held the lease since.
    await this.#write(holding.fencingNumber, holding.rowVersion);
  }

  #mayTakeOver(): boolean {
    const seen = this.#seen;
    if (seen === undefined) return true;
    const waited = this.#context.clock.monotonic() - seen.firstSeenAt;
    return waited >= this.#takeOverWaitMilliseconds(seen.record);
  }

  #takeOverWaitMilliseconds(record: LeaseRecord): number {
    const orderDeadline = Math.max(
      record.orderDeadlineMilliseconds,
      this.#context.settings.orderDeadlineMilliseconds,
    );
    const isGivenBack = record.holder === "";
    const duration = isGivenBack ? 0 : record.durationMilliseconds;
    return (duration + orderDeadline) * CLOCK_RATE_MARGIN;
  }

  async #takeOver(): Promise<void> {
    const seen = this.#seen;
    const highest = Math.max(
      Number(seen?.record.fencingNumber ?? 0n),
      this.#highestFencingNumber,
    );
    await this.#write(highest + 1, seen?.version ?? 0);
  }

  async #write(fencingNumber: number, rowVersion: number): Promise<void> {
    const { clock, platform } = this.#context;
    this.#writes += 1;
    const write: PendingWrite = {
      fencingNumber,
      renewals: this.#writes,
      sent: takeTimeStamp(clock),
      clockEpoch: this.#clockEpoch,
    };
    this.#pending = [...this.#pending, write].slice(-MAXIMUM_PENDING_WRITES);
    const value = this.#encode(write, this.#context.settings.node);
    const outcome = await platform.table.commit({
      conditions: [{ table: LEASE_TABLE, key: this.name, version: rowVersion }],
      writes: [{ table: LEASE_TABLE, key: this.name, value }],
    });
    if (outcome.kind !== "ok") {
      this.#mustRead = true;
      this.#noteFailure(outcome.kind, outcome.reason);
      return;
    }
    if (outcome.value.kind === "conflict") {
      this.#mustRead = true;
      return;
    }
    this.#mustRead = false;
    this.#lastFailure = "";
    this.#seen = undefined;
    this.#holding = this.#hold(write, outcome.value.versions[0] ?? 0);
  }

  #encode(write: PendingWrite, holder: string): string {
    const { settings, nodeStart } = this.#context;
    return toJsonString(
      LeaseRecordSchema,
      create(LeaseRecordSchema, {
        name: this.name,
        holder,
        holderStart: nodeStart,
        fencingNumber: BigInt(write.fencingNumber),
        durationMilliseconds: settings.leaseMilliseconds,
        renewals: BigInt(write.renewals),
        orderDeadlineMilliseconds: settings.orderDeadlineMilliseconds,
      }),
    );
  }

  async #release(): Promise<void> {
    const held = this.ifHeld();
    this.#isReleased = true;
    if (held === undefined) return;
    this.#writes += 1;
    const write: PendingWrite = {
      fencingNumber: held.fencingNumber,
      renewals: this.#writes,
      sent: takeTimeStamp(this.#context.clock),
      clockEpoch: this.#clockEpoch,
    };
    const key = this.name;
    await this.#context.platform.table.commit({
      conditions: [{ table: LEASE_TABLE, key, version: held.rowVersion }],
      writes: [{ table: LEASE_TABLE, key, value: this.#encode(write, "") }],
    });
  }

  #pauseMilliseconds(): number {
    const interval = this.#durationMilliseconds / RENEWALS_IN_A_LEASE;
    if (this.#holding !== undefined) return interval;
    const { clock, random } = this.#context;
    const jitter = 1 + POLL_JITTER_SHARE * (random.next() - 0.5);
    const now = clock.monotonic();
    if (now >= this.#drawnUntil) {
      this.#drawnUntil = now + POLLS_BETWEEN_DRAWS * interval * jitter;
      this.#isPolling = random.next() < POLLING_CANDIDATES / this.#candidates();
    }
    return this.#isPolling ? interval * jitter : this.#drawnUntil - now;
  }

  #announce(): void {
    const { log } = this.#context;
    const fencingNumber = this.ifHeld()?.fencingNumber;
    if (fencingNumber === this.#announced) return;
    if (this.#announced !== undefined) {
      const lost = { lease: this.name, fencingNumber: this.#announced };
      log.emit("leaseLost", lost);
    }
    if (fencingNumber !== undefined) {
      log.emit("leaseAcquired", { lease: this.name, fencingNumber });
    }
    this.#announced = fencingNumber;
  }

  // An outage is told once, not at each try.
  #noteFailure(kind: string, reason: string): void {
    if (this.#lastFailure === reason) return;
    this.#lastFailure = reason;
    const fields = { lease: this.name, kind, reason };
    this.#context.log.emit("leaseCallFailed", fields);
  }
}
