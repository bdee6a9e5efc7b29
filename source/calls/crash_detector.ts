import type { ServerClient } from "../backends/server_client.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";

/** Time limit of a check; a running server accepts connections within a few milliseconds. */
const CHECK_MILLISECONDS = 250;

/** Dependencies of a crash detector. */
export interface CrashDetectorOptions {
  readonly client: Pick<ServerClient, "checkProcess">;
  /** Returns the path of the health check of a service's servers; undefined for unknown services. */
  readonly findHealthPath: (service: string) => string | undefined;
  /** Checks whether this node reaches no server. */
  readonly isCutOff: () => Promise<boolean>;
}

/** Tells a server that has ended from one that only closed a connection. */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;
  /** Checks in progress by the start of the server, which the calls that were cut with it share. */
  readonly #checks = new Map<string, Promise<boolean>>();

  /** @param options - The client and the health checks of services. */
  constructor(options: CrashDetectorOptions) {
    this.#options = options;
  }

  /** Whether the start of a server that an entry describes has ended; false if that is not known. */
  async hasEnded(server: BackendServerEntry): Promise<boolean> {
    const start = `${server.identifier}/${server.startedAt}`;
    const running = this.#checks.get(start);
    if (running !== undefined) return await running;
    const check = this.#check(server);
    this.#checks.set(start, check);
    try {
      return await check;
    } finally {
      this.#checks.delete(start);
    }
  }

  async #check(server: BackendServerEntry): Promise<boolean> {
    const { client, findHealthPath } = this.#options;
    const path = findHealthPath(server.service);
    if (path === undefined) return false;
    const state = await client.checkProcess(server, {
      path,
      milliseconds: CHECK_MILLISECONDS,
    });
    // A node that is cut off is refused by all servers, whether they run or not.
    return state === "replaced" ||
      (state === "refused" && !await this.#options.isCutOff());
  }
}
