import type { EventLog } from "../observability/event_log.ts";
import type { DurableTable } from "../platform/durable_table.ts";
import type { Clock } from "../utilities/clock.ts";
import type { BackendServerEntry } from "./backend_server_entry.ts";

/** Dependencies of a server view. */
export interface ServerViewOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: DurableTable;
  /** Name of the table in which servers register. */
  readonly tableName: string;
  /** Parses an entry; returns undefined when it is malformed. */
  readonly readRow: (
    key: string,
    value: Buffer,
  ) => BackendServerEntry | undefined;
  /** Time from a server's notice that it drains until it must get no new requests. */
  readonly drainMilliseconds: number;
  /** Whether this node gets neither callers nor steps at present; false if absent. */
  readonly isInReserve?: () => boolean;
  readonly stopping: AbortSignal;
}
