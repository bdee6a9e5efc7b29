import { LRUCache } from "lru-cache";
import type { EventLog } from "../observability/event_log.ts";
import type { ServerStart } from "./backend_server_entry.ts";

/** Maximum number of leaving servers that are remembered; beyond it, the oldest is forgotten. */
const MAXIMUM_LEAVING_SERVERS = 2000;

/** How a node learned that a server is about to stop. */
export interface LeavingNotice {
  /**
   * "answer" for an answer of the server to this node, "earlier process" for what this node knew
   * before its restart, else the name of the node that told this one.
   */
  readonly learnedFrom: string;
}

/** The starts of servers that are about to stop, whatever their entries say. */
export class LeavingServers {
  readonly #log: EventLog;
  /** Servers that are about to stop, by their start, and the node that got their answer. */
  readonly #leaving = new LRUCache<string, ServerStart & LeavingNotice>({
    max: MAXIMUM_LEAVING_SERVERS,
  });

  /** @param log - Log of the node. */
  constructor(log: EventLog) {
    this.#log = log;
  }

  /** All starts that are remembered. */
  get all(): ReadonlyArray<ServerStart> {
    return [...this.#leaving.values()];
  }

  /** Whether a start of a server is about to stop. */
  has(server: ServerStart): boolean {
    return this.#leaving.has(toKey(server));
  }

  /**
   * Adds and logs a start of a server that is not known yet.
   * @param server - The server that is about to stop.
   * @param notice - How this node learned it.
   * @returns Whether it was added.
   */
  add(
    { identifier, startedAt }: ServerStart,
    { learnedFrom }: LeavingNotice,
  ): boolean {
    const key = toKey({ identifier, startedAt });
    if (this.#leaving.has(key)) return false;
    this.#leaving.set(key, { identifier, startedAt, learnedFrom });
    this.#log.emit("backendServerLeaving", { server: identifier, learnedFrom });
    return true;
  }
}

function toKey({ identifier, startedAt }: ServerStart): string {
  return `${identifier}/${startedAt}`;
}
