import {
  type AllowedRegions,
  mayProcess,
} from "../decisions/allowed_regions.ts";
import type { StreamOrigin } from "../decisions/stream_continuation.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { ServerCallStatistics } from "./server_call_statistics.ts";

/** Dependencies of the candidates of one call. */
export interface ServerCandidatesOptions {
  readonly servers: Pick<ServerView, "ofService">;
  readonly serverStatistics: Pick<
    ServerCallStatistics,
    "pick" | "occupied" | "hasRoom"
  >;
  readonly service: string;
  /** The only service and software version that may answer; any if absent. */
  readonly origin: StreamOrigin | undefined;
  /** Returns the regions in which the call may be processed now; undefined for any. */
  readonly findAllowedRegions: () => AllowedRegions | undefined;
}

/** The servers that may answer one call, and those to which it was sent. */
export class ServerCandidates {
  readonly #options: ServerCandidatesOptions;
  /** Identifiers of the servers to which an attempt was sent. */
  readonly #tried = new Set<string>();

  /** @param options - The servers of the call's service. */
  constructor(options: ServerCandidatesOptions) {
    this.#options = options;
  }

  /** Servers of the service that may answer the call. */
  get all(): ReadonlyArray<BackendServerEntry> {
    const { servers, service, origin } = this.#options;
    const allowed = this.#options.findAllowedRegions();
    const ofService = servers.ofService(service);
    const all = allowed === undefined
      ? ofService
      : ofService.filter((server) => mayProcess(allowed, server));
    return origin === undefined
      ? all
      : all.filter(({ softwareVersion }) =>
        softwareVersion === origin.softwareVersion
      );
  }

  /** Whether a server that was not tried can get the call. */
  get hasUntried(): boolean {
    return this.#untried.some((server) =>
      this.#options.serverStatistics.hasRoom(server)
    );
  }

  /** Whether such a server has a free slot. */
  get hasFree(): boolean {
    const { serverStatistics } = this.#options;
    return this.#untried.some((server) =>
      serverStatistics.occupied(server.identifier) < server.slots &&
      serverStatistics.hasRoom(server)
    );
  }

  /**
   * Selects the server that gets the next attempt, one that was not tried if possible.
   * @returns The server; undefined when no server can get the call now.
   */
  take(): BackendServerEntry | undefined {
    const { serverStatistics } = this.#options;
    const server = serverStatistics.pick(this.#untried) ??
      serverStatistics.pick(this.all);
    if (server !== undefined) this.#tried.add(server.identifier);
    return server;
  }

  get #untried(): ReadonlyArray<BackendServerEntry> {
    return this.all.filter(({ identifier }) => !this.#tried.has(identifier));
  }
}
