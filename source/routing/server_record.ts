import { DecayedMean } from "./decayed_mean.ts";
import { DecayedSum } from "./decayed_sum.ts";

const SPEED_HALF_LIFE_MILLISECONDS = 10_000;
const FAILURE_HALF_LIFE_MILLISECONDS = 5_000;
const REPORT_HALF_LIFE_MILLISECONDS = 5_000;
const MAXIMUM_RECENT = 512;
const FAILING_SHARE = 0.5;
const FEWEST_FAILURES = 2;

interface EndedDispatch {
  readonly startedAt: number;
  readonly endedAt: number;
}

/** What this node knows of one backend server from its own requests. */
export class ServerRecord {
  readonly #running = new Set<object>();
  readonly #startTimes: number[] = [];
  readonly #ended: EndedDispatch[] = [];
  readonly #failures = new DecayedSum(FAILURE_HALF_LIFE_MILLISECONDS);
  readonly #successes = new DecayedSum(FAILURE_HALF_LIFE_MILLISECONDS);
  readonly #tokenTime = new DecayedMean(SPEED_HALF_LIFE_MILLISECONDS);
  readonly #callTime = new DecayedMean(SPEED_HALF_LIFE_MILLISECONDS);
  readonly #headTime = new DecayedMean(SPEED_HALF_LIFE_MILLISECONDS);
  readonly #reportAge = new DecayedMean(REPORT_HALF_LIFE_MILLISECONDS);
  #slots: number | undefined;

  /** Requests that this node has running there. */
  get running(): number {
    return this.#running.size;
  }

  /** Requests that the server runs at once; undefined until requests were seen waiting. */
  get slots(): number | undefined {
    return this.#slots;
  }

  /** Notes that a request was given to the server. */
  start(dispatch: object, now: number): void {
    this.#running.add(dispatch);
    this.#startTimes.push(now);
    if (this.#startTimes.length > MAXIMUM_RECENT) this.#startTimes.shift();
  }

  /** Notes that a request has ended there. */
  end(dispatch: object, times: EndedDispatch): void {
    if (!this.#running.delete(dispatch)) return;
    this.#ended.push(times);
    if (this.#ended.length > MAXIMUM_RECENT) this.#ended.shift();
  }

  /** Notes that an answer came. */
  noteSuccess(now: number): void {
    this.#successes.add(1, now);
  }

  /** Notes a failure that speaks against the server. */
  noteFailure(now: number): void {
    this.#failures.add(1, now);
  }

  /** Notes the time that tokens took. */
  noteTokens(
    milliseconds: number,
    { tokens, now }: { readonly tokens: number; readonly now: number },
  ): void {
    this.#tokenTime.add(milliseconds, { weight: tokens, now });
  }

  /** Notes the time until the head of an answer. */
  noteHead(milliseconds: number, now: number): void {
    this.#headTime.add(milliseconds, { weight: 1, now });
  }

  /** Notes the time of a whole call. */
  noteCall(milliseconds: number, now: number): void {
    this.#callTime.add(milliseconds, { weight: 1, now });
  }

  /** Notes the age of the newest report; returns the mean time between reports. */
  noteReportAge(age: number, now: number): number {
    this.#reportAge.add(age, { weight: 1, now });
    return 2 * (this.#reportAge.value(now) ?? age);
  }

  /** Learns from a load report how many requests run at once. */
  noteLoad(running: number, waiting: number): void {
    if (waiting > 0 && running > 0) this.#slots = running;
    if (running > (this.#slots ?? Infinity)) this.#slots = running;
  }

  /** Change that own requests made to the server's load since a moment. */
  changeSince(moment: number): number {
    const started = this.#startTimes.filter((at) => at > moment).length;
    const ended = this.#ended.filter((dispatch) => dispatch.endedAt > moment);
    return started - ended.length;
  }

  /** Share of requests that fail, from 0 to 1. */
  failureShare(now: number): number {
    const failures = this.#failures.value(now);
    return failures / (failures + this.#successes.value(now) + 1);
  }

  /** Whether most requests fail there. */
  isFailing(now: number): boolean {
    return this.#failures.value(now) >= FEWEST_FAILURES &&
      this.failureShare(now) > FAILING_SHARE;
  }

  /** Time for a generated token, in milliseconds. */
  tokenMilliseconds(now: number): number | undefined {
    return this.#tokenTime.value(now);
  }

  /** Time of a whole call, in milliseconds. */
  callMilliseconds(now: number): number | undefined {
    return this.#callTime.value(now);
  }

  /** Time until the head of an answer, in milliseconds. */
  headMilliseconds(now: number): number | undefined {
    return this.#headTime.value(now);
  }
}
