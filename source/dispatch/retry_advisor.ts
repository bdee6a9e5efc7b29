import type { BackendServerView } from "../backends/backend_server_state.ts";
import type { RandomSource } from "../utilities/random_source.ts";

const MINIMUM_RETRY_AFTER_MILLISECONDS = 1_000;
const MAXIMUM_RETRY_AFTER_MILLISECONDS = 60_000;
const BACKOFF_SHARE_OF_REMAINING = 0.01;
const MAXIMUM_BACKOFF_DOUBLINGS = 4;
const SMOOTHING = 0.1;

/** Says when work may be tried again. */
export class RetryAdvisor {
  readonly #servers: BackendServerView;
  readonly #random: RandomSource;
  readonly #serviceTimes = new Map<string, number>();

  /**
   * @param servers - The backend servers and their backlog.
   * @param random - Source of jitter.
   */
  constructor(servers: BackendServerView, random: RandomSource) {
    this.#servers = servers;
    this.#random = random;
  }

  /** Learns how long a request of a service takes. */
  noteServiceTime(service: string, milliseconds: number): void {
    const known = this.#serviceTimes.get(service) ?? milliseconds;
    const learned = known + SMOOTHING * (milliseconds - known);
    this.#serviceTimes.set(service, learned);
  }

  /**
   * Returns when a refused caller should come again: once the backlog of the service is done.
   * @param service - Name of the service.
   * @returns A duration in milliseconds.
   */
  retryAfterMilliseconds(service: string): number {
    const serviceTime = this.#serviceTimes.get(service) ?? 0;
    const servers = this.#servers.servers(service)
      .filter(({ leaving, reachable }) => !leaving && reachable);
    const running = sum(servers.map((server) => server.running));
    const waiting = sum(servers.map((server) => server.waiting));
    const rounds = running === 0 ? 0 : waiting / running;
    const backlog = serviceTime * (1 + rounds);
    return Math.min(
      MAXIMUM_RETRY_AFTER_MILLISECONDS,
      Math.max(MINIMUM_RETRY_AFTER_MILLISECONDS, Math.ceil(backlog)),
    );
  }

  /**
   * Returns how long to wait before a retry, with full jitter.
   * @param attempt - Number of failed attempts; the first retry does not wait.
   * @param remainingMilliseconds - Time left until the deadline.
   * @returns A duration in milliseconds.
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
