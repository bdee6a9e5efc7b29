import { EngineSpeed } from "../decisions/engine_speed.ts";

/**
 * Backoff after the first refusal of an engine, for example because it is full or loading weights.
 * A load takes about 1 s.
 */
const REFUSAL_BACKOFF_MILLISECONDS = 60;
const MAXIMUM_REFUSAL_BACKOFF_MILLISECONDS = 250;
/**
 * Time after a refusal in which an engine gets no request while another one is free. By then, the
 * heartbeats tell whether the engine is full or loads weights.
 */
const AVOIDED_MILLISECONDS = 500;
const FAILURE_BACKOFF_MILLISECONDS = 500;
const MAXIMUM_FAILURE_BACKOFF_MILLISECONDS = 4000;

/** What a node knows of one engine from its own requests; times are monotonic, in milliseconds. */
export class EngineState {
  /** Number of this node's samples that run on the engine. */
  running = 0;
  /** Expected number of tokens of this node's running samples when they end. */
  tokens = 0;
  /** Number of running requests that the engine has not started to answer. */
  unanswered = 0;
  /** Time since which no run got an answer or event. */
  quietSince = 0;
  #failures = 0;
  #refusals = 0;
  #backoffUntil = 0;
  #avoidedUntil = 0;
  /** Time that the engine takes for an event. */
  readonly speed = new EngineSpeed();
  /**
   * Weight versions by model that the engine reported, often newer than those in its stored entry.
   */
  readonly #versions = new Map<string, number>();

  /**
   * Whether the engine accepts another request as far as this node's own requests tell. After a
   * refusal or failure, only one request at a time probes whether the engine accepts more.
   * @param now - Monotonic time, in milliseconds.
   * @param isScarce - Whether a sample waits and no other engine is free.
   */
  isAccepting(now: number, isScarce: boolean): boolean {
    const isInDoubt = this.#refusals > 0 || this.#failures > 0;
    const isProbed = isInDoubt && this.unanswered > 0;
    const isAvoided = !isScarce && this.#refusals > 0 &&
      this.#avoidedUntil > now;
    return !isProbed && !isAvoided && this.#backoffUntil <= now;
  }

  /** Records that the engine runs a request. Returns whether it had refused one before. */
  recordStart(): boolean {
    const hadRefused = this.#refusals > 0;
    this.#refusals = 0;
    return hadRefused;
  }

  /** Records a refusal and returns the backoff; undefined when one is in progress. */
  recordRefusal(now: number): number | undefined {
    // Concurrent requests are refused together and count as one refusal.
    if (this.#backoffUntil > now) return undefined;
    const pause = Math.min(
      REFUSAL_BACKOFF_MILLISECONDS * 2 ** this.#refusals,
      MAXIMUM_REFUSAL_BACKOFF_MILLISECONDS,
    );
    this.#refusals += 1;
    this.#backoffUntil = now + pause;
    this.#avoidedUntil = now + AVOIDED_MILLISECONDS;
    return pause;
  }

  /**
   * Records a failure and returns the backoff, which doubles with each consecutive failure; undefined
   * when one is in progress.
   */
  recordFailure(now: number): number | undefined {
    // Concurrent requests fail together and count as one failure.
    if (this.#failures > 0 && this.#backoffUntil > now) return undefined;
    const pause = Math.min(
      FAILURE_BACKOFF_MILLISECONDS * 2 ** this.#failures,
      MAXIMUM_FAILURE_BACKOFF_MILLISECONDS,
    );
    this.#failures += 1;
    this.#backoffUntil = Math.max(this.#backoffUntil, now + pause);
    return pause;
  }

  /** Records that the engine sent an event, which ends its failures and refusals. */
  recordEvent(): void {
    this.#failures = 0;
    this.#refusals = 0;
  }

  /**
   * Records the weight version of a model that the engine reported.
   * @returns Whether it is newer than the one known before.
   */
  recordVersion(model: string, version: number): boolean {
    const known = this.#versions.get(model);
    if (known !== undefined && known >= version) return false;
    this.#versions.set(model, version);
    return known !== undefined;
  }

  /** Returns the newest version of a model that the engine reported; undefined without a report. */
  getReportedVersion(model: string): number | undefined {
    return this.#versions.get(model);
  }
}
