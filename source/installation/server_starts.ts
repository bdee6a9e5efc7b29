import type { ServerClient } from "../backends/server_client.ts";
import type { EventLog } from "../observability/event_log.ts";
import type {
  BackendServerEntry,
  ServerStart,
} from "./backend_server_entry.ts";
import type { ServerLimits } from "./server_limits.ts";
import type { ServerPaths } from "./server_paths.ts";
import type { ServerView } from "./server_view.ts";

/** Time limit for reading a server's report. */
const REPORT_MILLISECONDS = 250;

/** Dependencies of the check of servers' starts. */
export interface ServerStartsOptions {
  readonly log: EventLog;
  readonly client: Pick<ServerClient, "readReport">;
  readonly limits: Pick<ServerLimits, "recordRequest">;
  readonly paths: Pick<ServerPaths, "isCutOff">;
  readonly servers: Pick<ServerView, "servers" | "isEvacuated" | "getDeparted">;
  /**
   * Waits until a server in warm-up accepts one more request, at most for some time.
   * @returns Whether it accepts one.
   */
  readonly waitForWarmUp?: (identifier: string) => Promise<boolean>;
}

/**
 * Tells whether servers were started again under their identifiers. A new start may have another
 * software version, and its entry is read later, or much later while the store is away.
 */
export class ServerStarts {
  readonly #options: ServerStartsOptions;
  /** Checks whose report is being read, by identifier and start of the server. */
  readonly #running = new Map<string, Promise<boolean>>();
  /**
   * Checks whose report is not asked for yet. After a takeover, many texts of one engine go on at the
   * same time, and one read serves all of them.
   */
  readonly #next = new Map<string, Promise<boolean>>();

  /** @param options - The servers and the client that reads their reports. */
  constructor(options: ServerStartsOptions) {
    this.#options = options;
  }

  /**
   * Whether a server reports another start than its entry describes.
   * @returns False if the entry names no start, or the server is evacuated and so not asked. True if
   *   its report can't be read, as another start of it may run; that is logged, unless this node
   *   reaches no server.
   */
  async isReplaced(server: BackendServerEntry): Promise<boolean> {
    const { paths, servers } = this.#options;
    const { startedAt } = server;
    if (startedAt === 0 || paths.isCutOff) return false;
    if (servers.isEvacuated(server)) return false;
    return await this.#joinCheck(server);
  }

  // Checks share a report that was not yet asked for when they began. An earlier one does not tell
  // whether the server has started again since.
  async #joinCheck(server: BackendServerEntry): Promise<boolean> {
    const name = `${server.identifier}/${server.startedAt}`;
    const next = this.#next.get(name);
    if (next !== undefined) return await next;
    const check = this.#readAfter(name, server);
    this.#next.set(name, check);
    return await check;
  }

  async #readAfter(
    name: string,
    server: BackendServerEntry,
  ): Promise<boolean> {
    await this.#running.get(name);
    this.#next.delete(name);
    const check = this.#readStart(server);
    this.#running.set(name, check);
    try {
      return await check;
    } finally {
      if (this.#running.get(name) === check) this.#running.delete(name);
    }
  }

  async #readStart(server: BackendServerEntry): Promise<boolean> {
    const { log, client, limits, servers, waitForWarmUp } = this.#options;
    const { identifier, startedAt } = server;
    // A report counts for the rate of a server in warm-up. Without one, the server may be another.
    if (await waitForWarmUp?.(identifier) === false) return true;
    limits.recordRequest(identifier);
    const report = await client.readReport(server, {
      signal: AbortSignal.timeout(REPORT_MILLISECONDS),
      silenceMilliseconds: REPORT_MILLISECONDS,
      mayStart: () => !servers.isEvacuated(server),
    });
    const reported = report?.startedAt;
    if (reported === undefined) {
      log.emit("serverStartUnknown", { server: identifier, startedAt });
      return true;
    }
    if (reported === startedAt) return false;
    log.emit("serverStartReplaced", {
      server: identifier,
      startedAt,
      reported,
    });
    return true;
  }

  /**
   * Whether the software of a server may have been another one than its entry named, because the
   * server has started again since the entry was read. It may have if the server has left and this
   * node, which may have restarted in between, did not see its last entry.
   * @param start - The start that the entry described.
   * @param softwareVersion - The version that it named.
   */
  async mayHaveChanged(
    { identifier, startedAt }: ServerStart,
    softwareVersion: string,
  ): Promise<boolean> {
    const { servers } = this.#options;
    const entry = servers.servers.get(identifier);
    if (entry?.startedAt === startedAt) return await this.isReplaced(entry);
    const last = entry ?? servers.getDeparted(identifier);
    if (last?.startedAt === startedAt) return false;
    return last?.softwareVersion !== softwareVersion;
  }
}
