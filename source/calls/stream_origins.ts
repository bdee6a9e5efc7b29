import { createHash } from "node:crypto";
import { LRUCache } from "lru-cache";
import type {
  StreamOrigin,
  StreamOriginFinding,
} from "../decisions/stream_continuation.ts";
import type { DutyLease } from "../duties/duty_lease.ts";
import type { EventLog } from "../observability/event_log.ts";
import { deleteRange } from "../platform/delete_rows.ts";
import type { DurableTable } from "../platform/durable_table.ts";
import type { StoreHealth } from "../platform/store_health.ts";
import type { Clock } from "../utilities/clock.ts";
import { createDeletionTime } from "../utilities/deletion_time.ts";
import { isUnixTime } from "../utilities/number_ranges.ts";

const TABLE = "streams";
/** Number of partitions, so that the records of many streams do not wait for each other. */
const PARTITIONS = 16;
/** Length of a period; records are found in the period of their beginning and in the next one. */
const PERIOD_MILLISECONDS = 300_000;
/** Longer than the clock difference of two nodes, of which one may have stood still. */
const CLOCK_MARGIN_MILLISECONDS = 10_000;
const CLEANING_INTERVAL_MILLISECONDS = 60_000;
/** Maximum number of streams whose beginning this node remembers. */
const MAXIMUM_REMEMBERED = 10_000;

/** A caller's request that began a stream. */
export interface StreamRequest {
  /** Identifier that the caller gave. */
  readonly identifier: string;
  readonly organisation: string | undefined;
}

/** Service and software version of a stream's origin, and identifier and start of the server. */
type OriginRecord = readonly [
  service: string,
  softwareVersion: string,
  identifier?: string,
  startedAt?: number,
];

/** Dependencies of the origins of streams. */
export interface StreamOriginsOptions {
  /** Clock whose wall time is close to that of the other nodes. */
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: DurableTable;
  /** Tells whether calls to the store hang; streams do not wait for it then. */
  readonly storeHealth: Pick<StoreHealth, "isHanging">;
  readonly lease: Pick<DutyLease, "getHeldDuty">;
  readonly stopping: AbortSignal;
}

/**
 * Records in the store which service and software version began each resumable stream, so that any
 * node can go on with it.
 */
export class StreamOrigins {
  readonly #options: StreamOriginsOptions;
  readonly #deletionTime: () => number;
  readonly #remembered = new LRUCache<string, StreamOrigin>({
    max: MAXIMUM_REMEMBERED,
  });

  /** @param options - The store, the clock and the duty lease. */
  constructor(options: StreamOriginsOptions) {
    this.#options = options;
    this.#deletionTime = createDeletionTime(options.clock);
  }

  /** Records the origin of a stream; the stream does not wait for the store. */
  record(request: StreamRequest, origin: StreamOrigin): void {
    const name = toName(request);
    this.#remembered.set(name, origin);
    void this.#save(name, origin);
  }

  /** Finds the origin of a stream, at this node or in the store. */
  async find(request: StreamRequest): Promise<StreamOriginFinding> {
    const name = toName(request);
    const origin = this.#remembered.get(name);
    if (origin !== undefined) return { kind: "found", origin };
    if (this.#options.storeHealth.isHanging) return { kind: "unreadable" };
    const period = this.#period;
    const findings = await Promise.all(
      [period, period - 1, ...this.#listNextPeriods()].map((each) =>
        this.#read(name, each)
      ),
    );
    return findings.find(({ kind }) => kind === "found") ??
      findings.find(({ kind }) => kind === "unreadable") ??
      { kind: "absent" };
  }

  /** Deletes old records periodically while this node holds the duty lease, until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping, lease } = this.#options;
    while (!stopping.aborted) {
      await clock.sleep(CLEANING_INTERVAL_MILLISECONDS, stopping);
      if (lease.getHeldDuty() !== undefined) await this.deleteOld();
    }
  }

  /** Deletes the records of streams that began before the previous period. */
  async deleteOld(): Promise<void> {
    const period = Math.floor(this.#deletionTime() / PERIOD_MILLISECONDS);
    const to = toKey(period - 1, "");
    for (let partition = 0; partition < PARTITIONS; partition += 1) {
      const range = { table: TABLE, partition: String(partition), to };
      if (!await deleteRange(this.#options.table, range)) return;
    }
  }

  // Another node, whose clock is ahead, may have recorded a stream in the next period already.
  #listNextPeriods(): ReadonlyArray<number> {
    const ahead = Math.floor(
      (this.#options.clock.wall() + CLOCK_MARGIN_MILLISECONDS) /
        PERIOD_MILLISECONDS,
    );
    return ahead > this.#period ? [ahead] : [];
  }

  get #period(): number {
    return Math.floor(this.#options.clock.wall() / PERIOD_MILLISECONDS);
  }

  async #save(name: string, origin: StreamOrigin): Promise<void> {
    const { table, log } = this.#options;
    const outcome = await table.commit({
      conditions: [],
      puts: [{
        table: TABLE,
        partition: toPartition(name),
        key: toKey(this.#period, name),
        value: Buffer.from(JSON.stringify(toRecord(origin))),
      }],
    });
    if (outcome.kind !== "ok") {
      log.emit("streamOriginNotSaved", { reason: outcome.kind });
    }
  }

  async #read(name: string, period: number): Promise<StreamOriginFinding> {
    const key = toKey(period, name);
    const outcome = await this.#options.table.read(TABLE, {
      partition: toPartition(name),
      from: key,
      to: `${key}\u0000`,
      maximum: 1,
    });
    if (outcome.kind !== "ok") return { kind: "unreadable" };
    const [row] = outcome.value.rows;
    if (row === undefined) return { kind: "absent" };
    const origin = readRecord(row.value);
    return origin === undefined
      ? { kind: "absent" }
      : { kind: "found", origin };
  }
}

function toRecord(
  { service, softwareVersion, server }: StreamOrigin,
): OriginRecord {
  return server === undefined
    ? [service, softwareVersion]
    : [service, softwareVersion, server.identifier, server.startedAt];
}

// Returns undefined for a row that this program did not write.
function readRecord(value: Buffer): StreamOrigin | undefined {
  const record = parseRecord(value);
  if (record === undefined) return undefined;
  const [service, softwareVersion, identifier, startedAt] = record;
  const server = identifier === undefined || startedAt === undefined
    ? undefined
    : { identifier, startedAt };
  return { service, softwareVersion, server };
}

function parseRecord(value: Buffer): OriginRecord | undefined {
  try {
    const json = JSON.parse(value.toString()) as OriginRecord;
    const isRecord = Array.isArray(json) && typeof json[0] === "string" &&
      typeof json[1] === "string" &&
      (json[2] === undefined || typeof json[2] === "string") &&
      (json[3] === undefined || isUnixTime(json[3]));
    return isRecord ? json : undefined;
  } catch {
    return undefined;
  }
}

// Callers choose identifiers, so the digest bounds the length of the key.
function toName({ identifier, organisation }: StreamRequest): string {
  return createHash("sha256")
    .update(JSON.stringify([organisation ?? "", identifier]))
    .digest("hex");
}

function toPartition(name: string): string {
  return String(Number.parseInt(name.slice(0, 2), 16) % PARTITIONS);
}

function toKey(period: number, name: string): string {
  return `${String(period).padStart(10, "0")}/${name}`;
}
