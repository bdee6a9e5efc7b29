import type { ServerProcessState } from "../backends/server_client.ts";
import type { ServerCheck } from "../installation/server_check.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";

/** Dependencies of a crash detector. */
export interface CrashDetectorOptions {
  readonly check: Pick<ServerCheck, "run">;
  /** Checks whether this node reaches no server. */
  readonly isCutOff: () => Promise<boolean>;
}

/** Whether the process of a server outlived a connection; `unknown` if the check can't tell. */
export type ServerFate = "ended" | "running" | "unknown";

const FATES: Readonly<Record<ServerProcessState, ServerFate>> = {
  running: "running",
  silent: "running",
  replaced: "ended",
  refused: "ended",
  unreachable: "unknown",
};

/** Tells a server that has ended from one that only closed a connection. */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;
  /** Checks in progress by the start of the server, which the calls that were cut with it share. */
  readonly #checks = new Map<string, Promise<ServerFate>>();

  /** @param options - The check of a server and of the node's own paths. */
  constructor(options: CrashDetectorOptions) {
    this.#options = options;
  }

  /** Finds out whether the start of a server that an entry describes has ended. */
  async findFate(server: BackendServerEntry): Promise<ServerFate> {
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

  async #check(server: BackendServerEntry): Promise<ServerFate> {
    const { check, isCutOff } = this.#options;
    const state = await check.run(server);
    if (state === undefined) return "unknown";
    // A node that is cut off is refused by all servers, whether they run or not.
    return state === "refused" && await isCutOff() ? "unknown" : FATES[state];
  }
}
