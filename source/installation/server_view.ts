import type { EventLog } from "../observability/event_log.ts";
import type { DurableTable, StoredRow } from "../platform/durable_table.ts";
import type { Clock } from "../utilities/clock.ts";
import type { BackendServerEntry } from "./backend_server_entry.ts";

/** Share of the bound on leaving servers between two reads, with time for two lost ones. */
const READ_INTERVAL_SHARE = 0.2;
/** Entries that lapsed in an outage of the store are back within about 2 s of its return. */
const RETURN_MILLISECONDS = 1900;

/** What a server view works with. */
export interface ServerViewOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: DurableTable;
  /** Name of the table in which servers register. */
  readonly tableName: string;
  readonly readRow: (
    key: string,
    value: Buffer,
  ) => BackendServerEntry | undefined;
  /** From the notice of a leaving server until it must get no new request. */
  readonly drainMilliseconds: number;
  readonly stopping: AbortSignal;
}

/**
 * The backend servers that are registered in the store.
 * @example
 * ```ts
 * const view = new ServerView(options);
 * void view.run();
 * const servers = view.ofService("orders");
 * ```
 */
export class ServerView {
  readonly #options: ServerViewOptions;
  readonly #watchers: (() => void)[] = [];
  readonly #malformed = new Set<string>();
  #servers: ReadonlyMap<string, BackendServerEntry> = new Map();
  #byService: ReadonlyMap<string, ReadonlyArray<BackendServerEntry>> =
    new Map();
  #failingSince: number | undefined;
  #keepMissingUntil = 0;
  #isRead = false;

  /** @param options - The store and how its rows are read. */
  constructor(options: ServerViewOptions) {
    this.#options = options;
  }

  /** Whether the entries were read at least once. */
  get isRead(): boolean {
    return this.#isRead;
  }

  /** Whether the entries could be read lately, and none is kept that may be gone. */
  get isCurrent(): boolean {
    return this.#isRead && this.#failingSince === undefined &&
      this.#options.clock.monotonic() >= this.#keepMissingUntil;
  }

  /** All registered servers, leaving ones included. */
  get servers(): ReadonlyMap<string, BackendServerEntry> {
    return this.#servers;
  }

  /** The servers of a service that take new requests. */
  ofService(service: string): ReadonlyArray<BackendServerEntry> {
    return this.#byService.get(service) ?? [];
  }

  /** Whether a server still takes new requests. */
  isServing(identifier: string): boolean {
    const server = this.#servers.get(identifier);
    return server !== undefined && !server.isLeaving;
  }

  /** Calls a function at each change. */
  watch(onChange: () => void): void {
    this.#watchers.push(onChange);
  }

  /** Reads the entries again and again until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping } = this.#options;
    while (!stopping.aborted) {
      await this.#read();
      const interval = READ_INTERVAL_SHARE * this.#options.drainMilliseconds;
      await clock.sleep(interval, stopping);
    }
  }

  async #read(): Promise<void> {
    const { clock, log, table, tableName } = this.#options;
    const outcome = await table.read(tableName, { partition: "" });
    if (outcome.kind !== "ok") {
      this.#failingSince ??= clock.monotonic();
      return;
    }
    if (this.#failingSince !== undefined) {
      this.#keepMissingUntil = clock.monotonic() + RETURN_MILLISECONDS;
      const milliseconds = Math.round(clock.monotonic() - this.#failingSince);
      log.emit("serverReadsRegained", { milliseconds });
      this.#failingSince = undefined;
    }
    this.#adopt(outcome.value.rows);
  }

  #adopt(rows: ReadonlyArray<StoredRow>): void {
    const servers = new Map<string, BackendServerEntry>();
    for (const { key, value } of rows) {
      const entry = this.#options.readRow(key, value);
      if (entry === undefined) this.#noteMalformed(key);
      else servers.set(key, entry);
    }
    if (this.#options.clock.monotonic() < this.#keepMissingUntil) {
      for (const [identifier, entry] of this.#servers) {
        if (!servers.has(identifier)) servers.set(identifier, entry);
      }
    }
    this.#servers = servers;
    this.#byService = groupByService(servers.values());
    this.#isRead = true;
    for (const onChange of this.#watchers) onChange();
  }

  #noteMalformed(key: string): void {
    if (this.#malformed.has(key)) return;
    this.#malformed.add(key);
    this.#options.log.emit("serverEntryMalformed", { key });
  }
}

function groupByService(
  servers: Iterable<BackendServerEntry>,
): ReadonlyMap<string, ReadonlyArray<BackendServerEntry>> {
  const groups = new Map<string, BackendServerEntry[]>();
  for (const server of servers) {
    if (server.isLeaving) continue;
    const group = groups.get(server.service);
    if (group === undefined) groups.set(server.service, [server]);
    else group.push(server);
  }
  return groups;
}
