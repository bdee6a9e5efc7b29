import type { BackendServerView } from "../backends/backend_server_state.ts";
import type { RandomSource } from "../utilities/random_source.ts";

const MINIMUM_RETRY_AFTER_MILLISECONDS = 1_000;
const MAXIMUM_RETRY_AFTER_MILLISECONDS = 60_000;
/** Upper bound of the backoff before the second retry, as a share of the remaining time. */
const BACKOFF_SHARE_OF_REMAINING = 0.01;
/** Number of retries after the second one that double the upper bound of the backoff. */
const MAXIMUM_BACKOFF_DOUBLINGS = 4;
/** Weight of the newest duration in a service's moving mean, from 0 to 1. */
const NEWEST_DURATION_WEIGHT = 0.1;

/** Computes the delays before the retries of this node and before those of refused callers. */
export class RetryTiming {
  readonly #servers: BackendServerView;
  readonly #random: RandomSource;
  readonly #meanMillisecondsByService = new Map<string, number>();

  /**
   * @param servers - Backend servers with their load reports.
   * @param random - Random source for jitter.
   */
  constructor(servers: BackendServerView, random: RandomSource) {
    this.#servers = servers;
    this.#random = random;
  }

  /** Updates a service's mean duration with the duration of a finished request, in milliseconds. */
  recordDuration(service: string, milliseconds: number): void {
    const previous = this.#meanMillisecondsByService.get(service) ??
      milliseconds;
    const updated = previous +
      NEWEST_DURATION_WEIGHT * (milliseconds - previous);
    this.#meanMillisecondsByService.set(service, updated);
  }

  /**
   * Returns the delay after which a refused caller should retry: the expected time until the
   * service has processed its backlog, but at least 1 s and at most 60 s.
   * @param service - Name of the service.
   * @returns Delay in milliseconds.
   */
  retryAfterMilliseconds(service: string): number {
    const meanMilliseconds = this.#meanMillisecondsByService.get(service) ?? 0;
    const servers = this.#servers.servers(service)
      .filter(({ leaving, reachable }) => !leaving && reachable);
    const running = sum(servers.map((server) => server.running));
    const waiting = sum(servers.map((server) => server.waiting));
    const queuedRounds = running === 0 ? 0 : waiting / running;
    const backlogMilliseconds = meanMilliseconds * (1 + queuedRounds);
    return Math.min(
      MAXIMUM_RETRY_AFTER_MILLISECONDS,
      Math.max(
        MINIMUM_RETRY_AFTER_MILLISECONDS,
        Math.ceil(backlogMilliseconds),
      ),
    );
  }

  /**
   * Returns the backoff before a retry, with full jitter.
   * @param attempt - Number of failed attempts; the first retry has no backoff.
   * @param remainingMilliseconds - Remaining time until the deadline, in milliseconds.
   * @returns Backoff in milliseconds.
   */
  backoffMilliseconds(attempt: number, remainingMilliseconds: number): number {
    if (attempt <= 1) return 0;
    const doublings = Math.min(attempt - 2, MAXIMUM_BACKOFF_DOUBLINGS);
    const share = BACKOFF_SHARE_OF_REMAINING * 2 ** doublings;
    return this.#random.next() * share * remainingMilliseconds;
  }
}

function sum(values: ReadonlyArray<number>): number {
  return values.reduce((total, value) => total + value, 0);
}
