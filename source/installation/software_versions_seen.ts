import type { BackendServerEntry } from "./backend_server_entry.ts";

/** Time for which a software version is remembered after its last server has left. */
const VERSION_MEMORY_MILLISECONDS = 600_000;

/** The software versions that the servers of each service have had, for some time after they left. */
export class SoftwareVersionsSeen {
  /** Monotonic times, in milliseconds, at which each software version of a service was last seen. */
  readonly #seen = new Map<string, Map<string, number>>();

  /**
   * Records the software versions of the servers that are present.
   * @param servers - The servers.
   * @param now - Monotonic time, in milliseconds.
   */
  record(servers: Iterable<BackendServerEntry>, now: number): void {
    for (const { service, softwareVersion } of servers) {
      const seen = this.#seen.get(service) ?? new Map();
      this.#seen.set(service, seen.set(softwareVersion, now));
    }
    for (const seen of this.#seen.values()) {
      for (const [version, seenAt] of seen) {
        if (now - seenAt > VERSION_MEMORY_MILLISECONDS) seen.delete(version);
      }
    }
  }

  /**
   * Returns the software versions of a service that were recorded since a time.
   * @param service - The service.
   * @param since - Monotonic time, in milliseconds.
   */
  listSince(service: string, since: number): ReadonlyArray<string> {
    return [...this.#seen.get(service) ?? []]
      .filter(([, seenAt]) => seenAt >= since)
      .map(([version]) => version);
  }
}
