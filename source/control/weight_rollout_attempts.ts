import type { BackendServerState } from "../backends/backend_server_state.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { OrderOutcome } from "./order_executor.ts";
import type { LoadConcurrencyController } from "./load_concurrency_controller.ts";
import type { RolloutEngine, RolloutGoal } from "./weight_rollout_planner.ts";

/** Time after a confirmed load within which the engine must report the version. */
const REPORT_TIMEOUT_MILLISECONDS = 8000;
const FIRST_BACKOFF_MILLISECONDS = 250;
const MAXIMUM_BACKOFF_MILLISECONDS = 15_000;

/** State of an order to load a version. */
type LoadState =
  | "sending"
  /** The response was lost; the versions that the engine reports show whether it took effect. */
  | "unknown"
  /** The engine confirmed the load, but does not report the version yet. */
  | "done"
  | "failed";

/** The latest order to one engine. */
export interface LoadAttempt {
  readonly server: string;
  readonly idempotencyKey: string;
}

interface TrackedAttempt extends LoadAttempt {
  readonly version: number;
  readonly startIdentity: string;
  /** Monotonic time in milliseconds. */
  readonly startedAt: number;
  state: LoadState;
  /** Monotonic time in milliseconds; 0 until the order has an outcome. */
  endedAt: number;
}

interface Failures {
  readonly count: number;
  /** Monotonic time at which the backoff ends, in milliseconds. */
  readonly notBefore: number;
}

/** Options of the load attempts. */
export interface LoadAttemptsOptions {
  readonly context: NodeContext;
  readonly concurrencyController: LoadConcurrencyController;
  readonly service: string;
}

/**
 * Tracks the orders to load a version and compares them with the versions that engines report.
 * @example
 * ```ts
 * attempts.compareWithReports(servers);
 * const engine = attempts.describeEngine(server);
 * ```
 */
export class LoadAttempts {
  readonly #options: LoadAttemptsOptions;
  /** The latest order to each engine, by address. */
  readonly #attempts = new Map<string, TrackedAttempt>();
  /** Failures of each engine since its last success, by address. */
  readonly #failures = new Map<string, Failures>();
  readonly #unconfirmed: LoadAttempt[] = [];
  #orderCount = 0;

  /** @param options - The node context, the concurrency controller and the service. */
  constructor(options: LoadAttemptsOptions) {
    this.#options = options;
  }

  /** Removes all attempts, failures and unconfirmed orders. */
  clear(): void {
    this.#attempts.clear();
    this.#failures.clear();
    this.#unconfirmed.length = 0;
  }

  /** Returns an engine's state for the planner. */
  describeEngine(server: BackendServerState): RolloutEngine {
    const attempt = this.#attempts.get(server.address);
    const reported = Math.max(0, ...server.weightVersions);
    const isDone = attempt?.state === "done";
    const failures = this.#failures.get(server.address);
    const now = this.#options.context.clock.monotonic();
    return {
      address: server.address,
      failureDomain: server.failureDomain,
      version: isDone ? Math.max(reported, attempt.version) : reported,
      isLoading: attempt?.state === "sending" || attempt?.state === "unknown",
      isReady: failures === undefined || failures.notBefore <= now,
      running: server.running,
    };
  }

  /** Records the start of an order; returns its idempotency key. */
  start(server: BackendServerState, goal: RolloutGoal): string {
    const { context, service } = this.#options;
    this.#orderCount += 1;
    const idempotencyKey =
      `${service}:${goal.version}:${server.address}:${context.nodeStart}:${this.#orderCount}`
        .replaceAll("/", "_");
    this.#attempts.set(server.address, {
      server: server.address,
      idempotencyKey,
      version: goal.version,
      startIdentity: server.startIdentity,
      startedAt: context.clock.monotonic(),
      state: "sending",
      endedAt: 0,
    });
    return idempotencyKey;
  }

  /** Records the outcome of an order. */
  finish(
    address: string,
    idempotencyKey: string,
    outcome: OrderOutcome<string>["kind"],
  ): void {
    const attempt = this.#attempts.get(address);
    if (attempt?.idempotencyKey !== idempotencyKey) return;
    attempt.state = STATE_BY_OUTCOME[outcome];
    attempt.endedAt = this.#options.context.clock.monotonic();
    if (attempt.state === "done") {
      this.#options.concurrencyController.recordSuccess();
    }
    if (attempt.state === "failed") this.#recordFailure(attempt, outcome);
  }

  /** Updates the attempts from the versions that engines report. */
  compareWithReports(servers: ReadonlyArray<BackendServerState>): void {
    for (const server of servers) {
      const attempt = this.#attempts.get(server.address);
      if (attempt === undefined) continue;
      if (server.weightVersions.includes(attempt.version)) {
        this.#recordSuccess(attempt);
      } else if (hasRestarted(server, attempt)) {
        this.#attempts.delete(server.address);
      } else this.#checkMissingReport(attempt);
    }
  }

  /** Returns and removes the orders that took effect but whose response was lost. */
  takeUnconfirmed(): ReadonlyArray<LoadAttempt> {
    return this.#unconfirmed.splice(0);
  }

  #recordSuccess(attempt: TrackedAttempt): void {
    if (attempt.state === "sending") return;
    if (attempt.state === "unknown") {
      this.#options.concurrencyController.recordSuccess();
      this.#unconfirmed.push(attempt);
    }
    this.#attempts.delete(attempt.server);
    this.#failures.delete(attempt.server);
  }

  #checkMissingReport(attempt: TrackedAttempt): void {
    const now = this.#options.context.clock.monotonic();
    const sinceEnd = now - attempt.endedAt;
    if (attempt.state === "done" && sinceEnd > REPORT_TIMEOUT_MILLISECONDS) {
      this.#recordFailure(
        attempt,
        "the engine confirmed the load but does not report the version",
      );
    }
    const { timeoutMilliseconds } = this.#options.concurrencyController;
    const isOverdue = now - attempt.startedAt > timeoutMilliseconds;
    if (attempt.state === "unknown" && isOverdue) {
      this.#recordFailure(
        attempt,
        "no response, and the version was not reported before the timeout",
      );
    }
  }

  #recordFailure(attempt: TrackedAttempt, reason: string): void {
    const { context, concurrencyController, service } = this.#options;
    const count = (this.#failures.get(attempt.server)?.count ?? 0) + 1;
    const backoff = Math.min(
      MAXIMUM_BACKOFF_MILLISECONDS,
      FIRST_BACKOFF_MILLISECONDS * 2 ** Math.min(count, 10),
    );
    const wait = backoff * (0.5 + context.random.next() / 2);
    const notBefore = context.clock.monotonic() + wait;
    this.#failures.set(attempt.server, { count, notBefore });
    this.#attempts.delete(attempt.server);
    concurrencyController.recordFailure();
    context.log.emit("weightLoadFailed", {
      service,
      server: attempt.server,
      version: attempt.version,
      failures: count,
      reason,
    });
  }
}

const STATE_BY_OUTCOME: Readonly<
  Record<OrderOutcome<string>["kind"], LoadState>
> = {
  done: "done",
  refused: "failed",
  notRun: "failed",
  notHeld: "failed",
  unknown: "unknown",
};

function hasRestarted(
  server: BackendServerState,
  attempt: TrackedAttempt,
): boolean {
  return attempt.startIdentity !== "" && server.startIdentity !== "" &&
    attempt.startIdentity !== server.startIdentity;
}
