import type { FailureCause } from "../backends/failure_cause.ts";
import {
  type ConnectionCheck,
  isCutOff,
  selectCheckedServers,
} from "../decisions/server_reach.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "../utilities/clock.ts";
import type { RandomSource } from "../utilities/random_source.ts";
import type { ServerCheck } from "./server_check.ts";
import type { BackendServerEntry } from "./backend_server_entry.ts";

/** Time after a check in which no other one is made. */
const CHECKED_MILLISECONDS = 700;
/** Failures that a broken path to the servers explains. */
const PATH_FAILURES: ReadonlySet<FailureCause> = new Set([
  "connect",
  "cut",
  "silent",
]);
/** Interval at which a node that is cut off checks whether it reaches servers again. */
const RECHECK_MILLISECONDS = 400;

/** Dependencies of the paths to servers. */
export interface ServerPathsOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly random: RandomSource;
  readonly check: Pick<ServerCheck, "run">;
  /** Returns the servers that take requests and whose service is known. */
  readonly listServers: () => ReadonlyArray<BackendServerEntry>;
  readonly stopping: AbortSignal;
}

/**
 * Knows whether this node reaches servers at all. Requests that fail or hang give the reason to check;
 * the checks open new connections, since old ones may live on or hang in a different way.
 */
export class ServerPaths {
  readonly #options: ServerPathsOptions;
  #isCutOff = false;
  /** Monotonic time, in milliseconds, of the last answer of a server. */
  #heardAt = -Infinity;
  /** Monotonic time, in milliseconds, of the last check. */
  #checkedAt = -Infinity;
  #runningCheck: Promise<boolean> | undefined;

  /** @param options - The servers and the client that checks them. */
  constructor(options: ServerPathsOptions) {
    this.#options = options;
  }

  /** Whether the node reached none of several servers at the last check. */
  get isCutOff(): boolean {
    return this.#isCutOff;
  }

  /** Records that a server has answered. */
  recordAnswer(): void {
    this.#heardAt = this.#options.clock.monotonic();
  }

  /** Checks the paths if a request failed in a way that a broken path explains. */
  recordFailure(cause: FailureCause): void {
    if (PATH_FAILURES.has(cause)) void this.check();
  }

  /** Whether any server has answered since a monotonic time in milliseconds. */
  hasHeardSince(time: number): boolean {
    return this.#heardAt >= time;
  }

  /**
   * Checks whether the node reaches servers, after a request has failed or hangs.
   * @returns Whether the node is cut off; by the last check if that is recent.
   */
  async check(): Promise<boolean> {
    const age = this.#options.clock.monotonic() - this.#checkedAt;
    const isRecent = age < CHECKED_MILLISECONDS;
    if (this.#runningCheck === undefined && (isRecent || this.#isCutOff)) {
      return this.#isCutOff;
    }
    return await this.#checkOnce();
  }

  async #checkOnce(): Promise<boolean> {
    this.#runningCheck ??= this.#findCutOff();
    const isNodeCutOff = await this.#runningCheck;
    this.#runningCheck = undefined;
    this.#checkedAt = this.#options.clock.monotonic();
    this.#update(isNodeCutOff);
    return this.#isCutOff;
  }

  async #findCutOff(): Promise<boolean> {
    const checks = await this.#checkServers();
    if (!isCutOff(checks)) return false;
    // The time limits also pass on a node that was stopped or slow itself.
    return checks.every((check) => check === "refused") ||
      isCutOff(await this.#checkServers());
  }

  // Returns the results of all checks, or only that of the first server that accepts a connection.
  async #checkServers(): Promise<ReadonlyArray<ConnectionCheck>> {
    const { listServers, random } = this.#options;
    const checks = selectCheckedServers(listServers(), random)
      .map((server) => this.#checkServer(server));
    const firstAccepted = new Promise<ReadonlyArray<ConnectionCheck>>(
      (resolve) => {
        for (const check of checks) {
          void check.then((result) => {
            if (result === "accepted") resolve([result]);
          });
        }
      },
    );
    const results = Promise.all(checks).then((all) =>
      all.filter((result) => result !== undefined)
    );
    return await Promise.race([results, firstAccepted]);
  }

  // Returns undefined for a server that was evacuated meanwhile, which tells nothing of the path.
  async #checkServer(
    server: BackendServerEntry,
  ): Promise<ConnectionCheck | undefined> {
    const state = await this.#options.check.run(server);
    if (state === undefined) return undefined;
    return state === "refused" || state === "unreachable" ? state : "accepted";
  }

  #update(isNodeCutOff: boolean): void {
    if (isNodeCutOff === this.#isCutOff) return;
    const { log } = this.#options;
    this.#isCutOff = isNodeCutOff;
    log.emit(isNodeCutOff ? "serversUnreachable" : "serversReachable", {});
    if (isNodeCutOff) void this.#recheck();
  }

  async #recheck(): Promise<void> {
    const { clock, stopping } = this.#options;
    while (this.#isCutOff && !stopping.aborted) {
      await clock.sleep(RECHECK_MILLISECONDS, stopping);
      await this.#checkOnce();
    }
  }
}
