import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "../utilities/clock.ts";
import type { BackendServerEntry } from "./backend_server_entry.ts";

/** Minimum interval between two log lines about the use of one server's limit. */
const USE_LOG_INTERVAL_MILLISECONDS = 1000;

interface LimitedServer {
  /** Start of the server that named the limit, in milliseconds since the Unix epoch. */
  readonly startedAt: number;
  requestsPerSecond: number;
  /** Number of requests sent since the use was last logged. */
  sent: number;
  /** Monotonic time, in milliseconds, at which the use was last logged. */
  loggedAt: number;
}

/** Dependencies of the limits of servers. */
export interface ServerLimitsOptions {
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Tracks the request rates that servers named as their limits, and this node's requests to them. */
export class ServerLimits {
  readonly #options: ServerLimitsOptions;
  readonly #limited = new Map<string, LimitedServer>();

  /** @param options - Clock and event log. */
  constructor(options: ServerLimitsOptions) {
    this.#options = options;
  }

  /** Number of servers with a limit. */
  get size(): number {
    return this.#limited.size;
  }

  /**
   * Records the limit that an answer of a server names.
   * @param server - The server that answered.
   * @param requestsPerSecond - Requests a second from all nodes together; undefined without a limit.
   */
  recordAnswer(
    { identifier, startedAt }: BackendServerEntry,
    requestsPerSecond: number | undefined,
  ): void {
    const { clock, log } = this.#options;
    const known = this.#limited.get(identifier);
    if (requestsPerSecond === undefined) {
      if (known === undefined) return;
      this.#limited.delete(identifier);
      log.emit("serverLimitLifted", { server: identifier });
      return;
    }
    if (known?.startedAt !== startedAt) {
      this.#limited.set(identifier, {
        startedAt,
        requestsPerSecond,
        sent: 0,
        loggedAt: clock.monotonic(),
      });
    } else if (known.requestsPerSecond !== requestsPerSecond) {
      known.requestsPerSecond = requestsPerSecond;
    } else return;
    log.emit("serverLimitNamed", { server: identifier, requestsPerSecond });
  }

  /** Records that this node sends a request to a server. */
  recordRequest(identifier: string): void {
    const limited = this.#limited.get(identifier);
    if (limited === undefined) return;
    limited.sent += 1;
    const now = this.#options.clock.monotonic();
    const milliseconds = now - limited.loggedAt;
    if (milliseconds < USE_LOG_INTERVAL_MILLISECONDS) return;
    this.#options.log.emit("serverLimitUsed", {
      server: identifier,
      requestsPerSecond: limited.requestsPerSecond,
      sent: limited.sent,
      milliseconds: Math.round(milliseconds),
    });
    limited.sent = 0;
    limited.loggedAt = now;
  }

  /** Removes the limits of servers that left the server table. */
  removeUnregistered(isRegistered: (identifier: string) => boolean): void {
    for (const identifier of this.#limited.keys()) {
      if (!isRegistered(identifier)) this.#limited.delete(identifier);
    }
  }
}
