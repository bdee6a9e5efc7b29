import type {
  ServerClient,
  ServerProcessState,
} from "../backends/server_client.ts";
import type { BackendServerEntry } from "./backend_server_entry.ts";

/** Time limit of a check; a reachable server accepts a connection within a few milliseconds. */
const CHECK_MILLISECONDS = 250;

/** Dependencies of server checks. */
export interface ServerCheckOptions {
  readonly client: Pick<ServerClient, "checkProcess">;
  /** Returns the path of the health check of a service's servers; undefined for unknown services. */
  readonly findHealthPath: (service: string) => string | undefined;
  /** Whether a server must get no request of any kind. */
  readonly isEvacuated: (server: BackendServerEntry) => boolean;
  /** Called with each server that is checked, before the check. */
  readonly onCheck?: (identifier: string) => void;
}

/** Checks over new connections whether servers run. */
export class ServerCheck {
  readonly #options: ServerCheckOptions;

  /** @param options - The client and the health checks of services. */
  constructor(options: ServerCheckOptions) {
    this.#options = options;
  }

  /**
   * Checks the start of a server that an entry describes.
   * @returns Its state; undefined without a health check and for a server that is evacuated.
   */
  async run(
    server: BackendServerEntry,
  ): Promise<ServerProcessState | undefined> {
    const { client, findHealthPath, isEvacuated, onCheck } = this.#options;
    const path = findHealthPath(server.service);
    if (path === undefined || isEvacuated(server)) return undefined;
    onCheck?.(server.identifier);
    const state = await client.checkProcess(server, {
      path,
      milliseconds: CHECK_MILLISECONDS,
      mayStart: () => !isEvacuated(server),
    });
    return isEvacuated(server) ? undefined : state;
  }
}
