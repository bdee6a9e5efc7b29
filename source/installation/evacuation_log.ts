import type { EventLog } from "../observability/event_log.ts";

/** Logs the start and the end of evacuations at a node. */
export class EvacuationLog {
  readonly #log: EventLog;
  /** Failure domains whose evacuation was logged. */
  readonly #logged = new Set<string>();

  /** @param log - Log of the node. */
  constructor(log: EventLog) {
    this.#log = log;
  }

  /**
   * Logs the evacuations that have started or ended since the last call.
   * @param evacuatedDomains - Names of the evacuated failure domains.
   * @param countServers - Returns the number of registered servers of a failure domain.
   */
  update(
    evacuatedDomains: ReadonlySet<string>,
    countServers: (failureDomain: string) => number,
  ): void {
    for (const failureDomain of evacuatedDomains) {
      if (this.#logged.has(failureDomain)) continue;
      this.#logged.add(failureDomain);
      const servers = countServers(failureDomain);
      this.#log.emit("evacuationStarted", { failureDomain, servers });
    }
    for (const failureDomain of this.#logged) {
      if (evacuatedDomains.has(failureDomain)) continue;
      this.#logged.delete(failureDomain);
      const servers = countServers(failureDomain);
      this.#log.emit("evacuationEnded", { failureDomain, servers });
    }
  }
}
