import type { BackendServerState } from "../backends/backend_server_state.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { OrderOutcome } from "./order_ledger.ts";
import type { WeightRolloutPace } from "./weight_rollout_pace.ts";
import type { RolloutEngine, RolloutGoal } from "./weight_rollout_planner.ts";

const VERIFY_MILLISECONDS = 8000;
const FIRST_BACKOFF_MILLISECONDS = 250;
const MAXIMUM_BACKOFF_MILLISECONDS = 15_000;

/** How an order to load a version stands. */
type LoadState =
  | "sending"
  /** The answer was lost; the engine's report tells. */
  | "unknown"
  /** The engine said that it loaded the version; its report has yet to say so. */
  | "done"
  | "failed";

/** The newest order to one engine. */
export interface LoadAttempt {
  readonly server: string;
  readonly idempotencyKey: string;
}

interface TrackedAttempt extends LoadAttempt {
  readonly version: number;
  readonly startIdentity: string;
  readonly startedAt: number;
  state: LoadState;
  endedAt: number;
}

interface Failures {
  readonly count: number;
  readonly notBefore: number;
}

/** What keeping track of attempts needs. */
export interface LoadAttemptsOptions {
  readonly context: NodeContext;
  readonly pace: WeightRolloutPace;
  readonly service: string;
}

/**
 * Keeps track of the orders to load a version, and compares them with what engines report.
 * @example
 * ```ts
 * attempts.judge(servers);
 * const engine = attempts.describe(server);
 * ```
 */
export class LoadAttempts {
  readonly #options: LoadAttemptsOptions;
  readonly #attempts = new Map<string, TrackedAttempt>();
  readonly #failures = new Map<string, Failures>();
  readonly #unconfirmed: LoadAttempt[] = [];
  #orders = 0;

  /** @param options - What keeping track of attempts needs. */
  constructor(options: LoadAttemptsOptions) {
    this.#options = options;
  }

  /** Forgets all attempts. */
  clear(): void {
    this.#attempts.clear();
    this.#failures.clear();
    this.#unconfirmed.length = 0;
  }

  /** Describes an engine for the planner. */
  describe(server: BackendServerState): RolloutEngine {
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

  /** Notes that an order is sent; returns its idempotency key. */
  begin(server: BackendServerState, goal: RolloutGoal): string {
    const { context, service } = this.#options;
    this.#orders += 1;
    const idempotencyKey =
      `${service}:${goal.version}:${server.address}:${context.nodeStart}:${this.#orders}`
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

  /** Notes what became of an order. */
  end(
    address: string,
    idempotencyKey: string,
    outcome: OrderOutcome<string>["kind"],
  ): void {
    const attempt = this.#attempts.get(address);
    if (attempt?.idempotencyKey !== idempotencyKey) return;
    attempt.state = STATE_BY_OUTCOME[outcome];
    attempt.endedAt = this.#options.context.clock.monotonic();
    if (attempt.state === "done") this.#options.pace.noteLoaded();
    if (attempt.state === "failed") this.#fail(attempt, outcome);
  }

  /** Compares the attempts with what engines report. */
  judge(servers: ReadonlyArray<BackendServerState>): void {
    for (const server of servers) {
      const attempt = this.#attempts.get(server.address);
      if (attempt === undefined) continue;
      if (server.weightVersions.includes(attempt.version)) {
        this.#succeed(attempt);
      } else if (hasRestarted(server, attempt)) {
        this.#attempts.delete(server.address);
      } else this.#judgeMissing(attempt);
    }
  }

  /** Returns orders whose effect was seen but whose answer was lost, once each. */
  unconfirmed(): ReadonlyArray<LoadAttempt> {
    return this.#unconfirmed.splice(0);
  }

  #succeed(attempt: TrackedAttempt): void {
    if (attempt.state === "sending") return;
    if (attempt.state === "unknown") {
      this.#options.pace.noteLoaded();
      this.#unconfirmed.push(attempt);
    }
    this.#attempts.delete(attempt.server);
    this.#failures.delete(attempt.server);
  }

  #judgeMissing(attempt: TrackedAttempt): void {
    const now = this.#options.context.clock.monotonic();
    const sinceEnd = now - attempt.endedAt;
    if (attempt.state === "done" && sinceEnd > VERIFY_MILLISECONDS) {
      this.#fail(attempt, "reported done, but the version is not loaded");
    }
    const { timeoutMilliseconds } = this.#options.pace;
    const isOverdue = now - attempt.startedAt > timeoutMilliseconds;
    if (attempt.state === "unknown" && isOverdue) {
      this.#fail(attempt, "no answer and no report in time");
    }
  }

  #fail(attempt: TrackedAttempt, reason: string): void {
    const { context, pace, service } = this.#options;
    const count = (this.#failures.get(attempt.server)?.count ?? 0) + 1;
    const backoff = Math.min(
      MAXIMUM_BACKOFF_MILLISECONDS,
      FIRST_BACKOFF_MILLISECONDS * 2 ** Math.min(count, 10),
    );
    const wait = backoff * (0.5 + context.random.next() / 2);
    const notBefore = context.clock.monotonic() + wait;
    this.#failures.set(attempt.server, { count, notBefore });
    this.#attempts.delete(attempt.server);
    pace.noteFailed();
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
