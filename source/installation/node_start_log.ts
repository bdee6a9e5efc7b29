import type { EventLog } from "../observability/event_log.ts";

/** Maximum number of processes that one log line names. */
const MAXIMUM_LOGGED_STARTS = 8;

/** Logs the new processes of nodes. */
export class NodeStartLog {
  readonly #log: EventLog;
  /** Identity of each node's last process that was logged. */
  readonly #logged = new Map<string, string>();

  /** @param log - Log of the node. */
  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Logs the new processes of one read together, as all nodes may start at the same time. */
  update(
    processes: Iterable<{ readonly node: string; readonly nodeStart: string }>,
  ): void {
    const started: string[] = [];
    for (const { node, nodeStart } of processes) {
      if (this.#logged.get(node) === nodeStart) continue;
      this.#logged.set(node, nodeStart);
      started.push(nodeStart);
    }
    if (started.length === 0) return;
    this.#log.emit("nodesSeen", {
      count: started.length,
      nodeStarts: started.slice(0, MAXIMUM_LOGGED_STARTS).join(" "),
    });
  }

  /** Forgets the process of a node that is removed. */
  forget(node: string): void {
    this.#logged.delete(node);
  }
}
