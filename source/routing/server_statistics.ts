import { DecayedMean } from "./decayed_mean.ts";
import { DecayedSum } from "./decayed_sum.ts";

const DURATION_HALF_LIFE_MILLISECONDS = 10_000;
const OUTCOME_HALF_LIFE_MILLISECONDS = 5_000;
const REPORT_AGE_HALF_LIFE_MILLISECONDS = 5_000;
const MAXIMUM_RECENT_DISPATCHES = 512;
const FAILING_SHARE = 0.5;
const MINIMUM_FAILURES = 2;

/** Start and end of a dispatch, as monotonic times in milliseconds. */
interface EndedDispatch {
  readonly startedAt: number;
  readonly endedAt: number;
}

/**
 * Statistics of one backend server from this node's own requests and the server's load reports, for
 * nodes of the project's own interface; the installation's nodes use `ServerCallStatistics`.
 */
export class ServerStatistics {
  readonly #running = new Set<object>();
  /** Monotonic times at which recent requests were sent, in milliseconds. */
  readonly #startTimes: number[] = [];
  readonly #ended: EndedDispatch[] = [];
  readonly #failures = new DecayedSum(OUTCOME_HALF_LIFE_MILLISECONDS);
  readonly #successes = new DecayedSum(OUTCOME_HALF_LIFE_MILLISECONDS);
  readonly #tokenMilliseconds = new DecayedMean(
    DURATION_HALF_LIFE_MILLISECONDS,
  );
  readonly #callMilliseconds = new DecayedMean(DURATION_HALF_LIFE_MILLISECONDS);
  readonly #headMilliseconds = new DecayedMean(DURATION_HALF_LIFE_MILLISECONDS);
  readonly #reportAgeMilliseconds = new DecayedMean(
    REPORT_AGE_HALF_LIFE_MILLISECONDS,
  );
  #slots: number | undefined;

  /** Number of this node's requests that run on the server. */
  get running(): number {
    return this.#running.size;
  }

  /**
   * Estimated number of requests that the server can run at once; undefined until a report showed
   * both running and waiting requests.
   */
  get slots(): number | undefined {
    return this.#slots;
  }

  /** Records that a request was sent to the server; `dispatch` identifies the request until `end`. */
  start(dispatch: object, now: number): void {
    this.#running.add(dispatch);
    this.#startTimes.push(now);
    if (this.#startTimes.length > MAXIMUM_RECENT_DISPATCHES) {
      this.#startTimes.shift();
    }
  }

  /** Records that a request ended on the server. */
  end(dispatch: object, times: EndedDispatch): void {
    if (!this.#running.delete(dispatch)) return;
    this.#ended.push(times);
    if (this.#ended.length > MAXIMUM_RECENT_DISPATCHES) this.#ended.shift();
  }

  /** Records a successful request. */
  recordSuccess(now: number): void {
    this.#successes.add(1, now);
  }

  /** Records a failure that counts against the server. */
  recordFailure(now: number): void {
    this.#failures.add(1, now);
  }

  /** Records the time in which tokens were generated, in milliseconds. */
  recordTokenTime(
    milliseconds: number,
    { tokens, now }: { readonly tokens: number; readonly now: number },
  ): void {
    this.#tokenMilliseconds.add(milliseconds, { weight: tokens, now });
  }

  /** Records the time until the response headers arrived, in milliseconds. */
  recordHeadTime(milliseconds: number, now: number): void {
    this.#headMilliseconds.add(milliseconds, { weight: 1, now });
  }

  /** Records the duration of a plain call, in milliseconds. */
  recordCallTime(milliseconds: number, now: number): void {
    this.#callMilliseconds.add(milliseconds, { weight: 1, now });
  }

  /**
   * Records the age of the newest load report and returns the estimated time between reports, which is twice the
   * mean age, in milliseconds.
   */
  recordReportAge(ageMilliseconds: number, now: number): number {
    this.#reportAgeMilliseconds.add(ageMilliseconds, { weight: 1, now });
    return 2 * (this.#reportAgeMilliseconds.value(now) ?? ageMilliseconds);
  }

  /** Estimates the number of slots from a load report. */
  recordLoad(running: number, waiting: number): void {
    if (waiting > 0 && running > 0) this.#slots = running;
    if (running > (this.#slots ?? Infinity)) this.#slots = running;
  }

  /**
   * Returns by how many requests this node's own dispatches changed the server's load since a
   * monotonic time in milliseconds.
   */
  loadChangeSince(time: number): number {
    const startedCount = this.#startTimes.filter((at) => at > time).length;
    const endedDispatches = this.#ended.filter((dispatch) =>
      dispatch.endedAt > time
    );
    return startedCount - endedDispatches.length;
  }

  /** Returns the recent share of failed requests, from 0 to below 1, since 1 is added to their number. */
  failureShare(now: number): number {
    const failures = this.#failures.value(now);
    return failures / (failures + this.#successes.value(now) + 1);
  }

  /** Returns whether the decayed number of failures is at least 2 and `failureShare` is above 0.5. */
  isFailing(now: number): boolean {
    return this.#failures.value(now) >= MINIMUM_FAILURES &&
      this.failureShare(now) > FAILING_SHARE;
  }

  /** Returns the mean time per generated token, in milliseconds; undefined before the first. */
  tokenMilliseconds(now: number): number | undefined {
    return this.#tokenMilliseconds.value(now);
  }

  /** Returns the decayed mean duration of plain calls, in milliseconds; undefined before the first call. */
  callMilliseconds(now: number): number | undefined {
    return this.#callMilliseconds.value(now);
  }

  /** Returns the decayed mean time until response headers arrive, in milliseconds; undefined before the first. */
  headMilliseconds(now: number): number | undefined {
    return this.#headMilliseconds.value(now);
  }
}
