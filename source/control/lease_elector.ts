import { create, fromJsonString, toJsonString } from "@bufbuild/protobuf";
import {
  type LeaseRecord,
  LeaseRecordSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import type { Row } from "../platform/table_client.ts";
import { invariant } from "../utilities/invariant.ts";
import type {
  LeaseElectorContext,
  LeaseElectorOptions,
} from "./lease_elector_options.ts";
import {
  doClocksAgree,
  isFresh,
  takeTimeStamp,
  type TimeStamp,
} from "./time_stamp.ts";

/** Name of the platform table that stores leases. */
export const LEASE_TABLE = "leases";

const RENEWALS_PER_LEASE = 3;
const EXPECTED_POLLING_CANDIDATES = 8;
/** Number of polling intervals after which a candidate decides again at random whether it polls. */
const POLLS_BETWEEN_SELECTIONS = 20;
/** Factor on a successor's wait, because its clock may run faster than the holder's. */
const CLOCK_DRIFT_FACTOR = 1.02;
const POLL_JITTER_SHARE = 0.2;
/** Number of the newest writes by which this node recognises its own row after a lost response. */
const MAXIMUM_PENDING_WRITES = 16;

/** A lease that this node held at the time of the call. */
export interface HeldLease {
  readonly name: string;
  /** Fencing token; increases with each takeover. */
  readonly fencingNumber: number;
  /** Version of the lease's row, used as a condition in transactions. */
  readonly rowVersion: number;
}

interface ConfirmedWrite {
  readonly fencingNumber: number;
  readonly rowVersion: number;
  readonly sentAt: TimeStamp;
  readonly clockEpoch: number;
}

interface PendingWrite {
  readonly fencingNumber: number;
  /** Number of writes that this elector has made, this one included; identifies the write. */
  readonly renewals: number;
  readonly sentAt: TimeStamp;
  readonly clockEpoch: number;
}

interface ObservedRow {
  readonly record: LeaseRecord;
  readonly version: number;
  /** Monotonic time in milliseconds. */
  readonly firstObservedAt: number;
}

/**
 * Acquires one lease, renews it, and reports whether this node holds it.
 *
 * The lease duration counts from the time at which the last confirmed renewal was sent, and
 * the lease is valid only while the monotonic and the wall clock agree on the time elapsed
 * since. A successor waits for the lease duration plus the order deadline, or for the order
 * deadline alone after a release or of an earlier process of its own node. It adds 2% for clock
 * drift and measures the wait on its own
 * monotonic clock from the time at which it first observed the row's version.
 * @example
 * ```ts
 * const lease = new LeaseElector({ context, name: "usage" });
 * void lease.run();
 * const held = lease.getHeldLease();
 * if (held !== undefined) send(held.fencingNumber); // in the same tick
 * ```
 */
export class LeaseElector {
  /** Name of the lease. */
  readonly name: string;
  readonly #context: LeaseElectorContext;
  readonly #countLeaseCandidates: () => number;
  readonly #returnMilliseconds: number;
  readonly #isNodeProcessUnique: boolean;
  readonly #isCandidate: () => boolean;
  /** Monotonic time, in milliseconds, at which this node may last have held the lease. */
  #mayHaveHeldAt: number;
  #confirmedWrite: ConfirmedWrite | undefined;
  #observedRow: ObservedRow | undefined;
  #pendingWrites: PendingWrite[] = [];
  #mustRead = true;
  #writeCount = 0;
  #highestFencingNumber = 0;
  #loggedFencingNumber: number | undefined;
  #lastFailureReason = "";
  /** Number of clock disagreements that this elector has detected. */
  #clockEpoch = 0;
  #isReleased = false;
  #isPolling = true;
  /** Monotonic time in milliseconds. */
  #selectionExpiresAt = 0;
  #currentAttempt: Promise<void> = Promise.resolve();

  /** @param options - The lease's name and the node's context. */
  constructor(options: LeaseElectorOptions) {
    this.name = options.name;
    this.#context = options.context;
    this.#countLeaseCandidates = options.countLeaseCandidates ?? (() => 1);
    this.#returnMilliseconds = options.returnMilliseconds ?? 0;
    this.#isNodeProcessUnique = options.isNodeProcessUnique ?? false;
    this.#isCandidate = options.isCandidate ?? (() => true);
    this.#mayHaveHeldAt = options.context.clock.monotonic();
  }

  /**
   * Returns the lease if this node holds it now, and records a disagreement of the clocks; must be
   * called in the same tick as the action that it guards.
   */
  getHeldLease(): HeldLease | undefined {
    const confirmed = this.#confirmedWrite;
    if (confirmed === undefined || this.#isReleased) return undefined;
    const { clock } = this.#context;
    // Renewals sent before a clock disagreement stay invalid, even if a later clock step cancels
    // the disagreement out.
    if (confirmed.clockEpoch !== this.#clockEpoch) return undefined;
    if (!doClocksAgree(confirmed.sentAt, clock)) this.#clockEpoch += 1;
    if (!isFresh(confirmed.sentAt, clock, this.#durationMilliseconds)) {
      return undefined;
    }
    const { fencingNumber, rowVersion } = confirmed;
    this.#mayHaveHeldAt = clock.monotonic();
    return { name: this.name, fencingNumber, rowVersion };
  }

  /** Waits for an acquisition or renewal in progress to finish. */
  waitForPendingRenewal(): Promise<void> {
    return this.#currentAttempt;
  }

  /** Acquires and renews the lease until the node stops, then releases it. */
  async run(): Promise<void> {
    const { stopping, clock } = this.#context;
    while (!stopping.aborted) {
      this.#currentAttempt = this.#acquireOrRenew();
      await this.#currentAttempt;
      this.#logHolderChange();
      await clock.sleep(this.#nextDelayMilliseconds(), stopping);
    }
    await this.#release();
  }

  get #durationMilliseconds(): number {
    return this.#context.settings.leaseMilliseconds;
  }

  async #acquireOrRenew(): Promise<void> {
    const held = this.getHeldLease();
    if (!this.#isCandidate()) return await this.#stepDown(held);
    if (this.#mustRead && !(await this.#read())) return;
    if (this.#confirmedWrite !== undefined) {
      return await this.#renew(this.#confirmedWrite);
    }
    if (this.#mayTakeOver()) await this.#takeOver();
  }

  async #read(): Promise<boolean> {
    const outcome = await this.#context.platform.table.get(
      LEASE_TABLE,
      this.name,
    );
    if (outcome.kind !== "ok") {
      this.#logFailure(outcome.kind, outcome.reason);
      return false;
    }
    this.#lastFailureReason = "";
    this.#applyRow(outcome.value);
    return true;
  }

  #applyRow(row: Row | undefined): void {
    if (row === undefined) {
      this.#confirmedWrite = undefined;
      this.#observedRow = undefined;
      return;
    }
    const record = fromJsonString(LeaseRecordSchema, row.value);
    if (this.#observedRow?.version !== row.version) {
      const firstObservedAt = this.#context.clock.monotonic();
      this.#observedRow = {
        record,
        version: row.version,
        firstObservedAt,
      };
    }
    if (this.#confirmedWrite?.rowVersion === row.version) return;
    this.#confirmedWrite = this.#findOwnWrite(record, row.version);
    this.#mustRead = this.#confirmedWrite === undefined;
  }

  #findOwnWrite(
    record: LeaseRecord,
    rowVersion: number,
  ): ConfirmedWrite | undefined {
    if (record.holderStart !== this.#context.nodeStart) return undefined;
    const write = this.#pendingWrites.find((pending) =>
      pending.renewals === Number(record.renewals)
    );
    if (write === undefined) return undefined;
    return this.#confirm(write, rowVersion);
  }

  #confirm(write: PendingWrite, rowVersion: number): ConfirmedWrite {
    const { fencingNumber, sentAt, clockEpoch } = write;
    invariant(
      fencingNumber >= this.#highestFencingNumber,
      `Lease ${this.name} got fencing number ${fencingNumber} after ${this.#highestFencingNumber}`,
    );
    this.#highestFencingNumber = fencingNumber;
    this.#pendingWrites = [];
    return { fencingNumber, rowVersion, sentAt, clockEpoch };
  }

  async #renew(confirmed: ConfirmedWrite): Promise<void> {
    // Also allowed after expiry: the unchanged row shows that no other node has held the lease since.
    await this.#write(confirmed.fencingNumber, confirmed.rowVersion);
  }

  #mayTakeOver(): boolean {
    const observed = this.#observedRow;
    if (observed === undefined) return true;
    const now = this.#context.clock.monotonic();
    const elapsed = now - observed.firstObservedAt;
    const isReturn = observed.record.holder !== this.#context.settings.node &&
      now - this.#mayHaveHeldAt < this.#returnMilliseconds;
    return !isReturn &&
      elapsed >= this.#takeOverWaitMilliseconds(observed.record);
  }

  #takeOverWaitMilliseconds(record: LeaseRecord): number {
    const orderDeadline = Math.max(
      record.orderDeadlineMilliseconds,
      this.#context.settings.orderDeadlineMilliseconds,
    );
    const { node } = this.#context.settings;
    const isReleased = record.holder === "" ||
      (this.#isNodeProcessUnique && record.holder === node &&
        record.holderStart !== this.#context.nodeStart);
    const duration = isReleased ? 0 : record.durationMilliseconds;
    return (duration + orderDeadline) * CLOCK_DRIFT_FACTOR;
  }

  async #takeOver(): Promise<void> {
    const observed = this.#observedRow;
    const highest = Math.max(
      Number(observed?.record.fencingNumber ?? 0n),
      this.#highestFencingNumber,
    );
    await this.#write(highest + 1, observed?.version ?? 0);
  }

  async #write(fencingNumber: number, rowVersion: number): Promise<void> {
    const { clock, platform } = this.#context;
    this.#writeCount += 1;
    const write: PendingWrite = {
      fencingNumber,
      renewals: this.#writeCount,
      sentAt: takeTimeStamp(clock),
      clockEpoch: this.#clockEpoch,
    };
    this.#pendingWrites = [...this.#pendingWrites, write].slice(
      -MAXIMUM_PENDING_WRITES,
    );
    const value = this.#encode(write, this.#context.settings.node);
    const outcome = await platform.table.commit({
      conditions: [{ table: LEASE_TABLE, key: this.name, version: rowVersion }],
      writes: [{ table: LEASE_TABLE, key: this.name, value }],
    });
    if (outcome.kind !== "ok") {
      this.#mustRead = true;
      this.#logFailure(outcome.kind, outcome.reason);
      return;
    }
    if (outcome.value.kind === "conflict") {
      this.#mustRead = true;
      return;
    }
    this.#mustRead = false;
    this.#lastFailureReason = "";
    this.#observedRow = undefined;
    this.#confirmedWrite = this.#confirm(write, outcome.value.versions[0] ?? 0);
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

  async #stepDown(held: HeldLease | undefined): Promise<void> {
    this.#confirmedWrite = undefined;
    this.#mustRead = true;
    if (held !== undefined) await this.#writeReleased(held);
  }

  async #release(): Promise<void> {
    const held = this.getHeldLease();
    this.#isReleased = true;
    if (held !== undefined) await this.#writeReleased(held);
  }

  async #writeReleased(held: HeldLease): Promise<void> {
    this.#writeCount += 1;
    const write: PendingWrite = {
      fencingNumber: held.fencingNumber,
      renewals: this.#writeCount,
      sentAt: takeTimeStamp(this.#context.clock),
      clockEpoch: this.#clockEpoch,
    };
    const key = this.name;
    await this.#context.platform.table.commit({
      conditions: [{ table: LEASE_TABLE, key, version: held.rowVersion }],
      writes: [{ table: LEASE_TABLE, key, value: this.#encode(write, "") }],
    });
  }

  #nextDelayMilliseconds(): number {
    const interval = this.#durationMilliseconds / RENEWALS_PER_LEASE;
    if (this.#confirmedWrite !== undefined) return interval;
    const { clock, random } = this.#context;
    const jitter = 1 + POLL_JITTER_SHARE * (random.next() - 0.5);
    const now = clock.monotonic();
    if (now >= this.#selectionExpiresAt) {
      this.#selectionExpiresAt = now +
        POLLS_BETWEEN_SELECTIONS * interval * jitter;
      this.#isPolling = random.next() <
        EXPECTED_POLLING_CANDIDATES / this.#countLeaseCandidates();
    }
    return this.#isPolling ? interval * jitter : this.#selectionExpiresAt - now;
  }

  #logHolderChange(): void {
    const { log } = this.#context;
    const fencingNumber = this.getHeldLease()?.fencingNumber;
    if (fencingNumber === this.#loggedFencingNumber) return;
    if (this.#loggedFencingNumber !== undefined) {
      const lost = {
        lease: this.name,
        fencingNumber: this.#loggedFencingNumber,
      };
      log.emit("leaseLost", lost);
    }
    if (fencingNumber !== undefined) {
      log.emit("leaseAcquired", { lease: this.name, fencingNumber });
    }
    this.#loggedFencingNumber = fencingNumber;
  }

  // Logs a failure only when its reason differs from that of the last failure since a success.
  #logFailure(kind: string, reason: string): void {
    if (this.#lastFailureReason === reason) return;
    this.#lastFailureReason = reason;
    const fields = { lease: this.name, kind, reason };
    this.#context.log.emit("leaseCallFailed", fields);
  }
}
