import type { Clock } from "../../source/utilities/clock.ts";

/** A completion that the scheduler generates. */
export interface BatchJob {
  /** Among waiting jobs, the one with the smallest value starts first. */
  readonly priority: number;
  readonly prefillTokens: number;
  /** Number of tokens to generate. */
  readonly tokens: number;
  /** Called with the number of tokens generated since the previous call. */
  readonly onTokens: (count: number) => void;
  /** Called at intervals of at least 250 ms until the job has generated its first token. */
  readonly onWaiting: () => void;
}

/** Settings of a batch scheduler, which are read again at each step. */
export interface BatchSettings {
  readonly batchSlots: number;
  /** Speed at which each running job generates tokens, however many run. */
  readonly tokensPerSecond: number;
  /** Speed at which each running job processes its prompt, however many run. */
  readonly prefillTokensPerSecond: number;
  /** Time between two steps, and so the shortest time between two calls of a job's `onTokens`. */
  readonly eventMilliseconds: number;
  /** Divisor of both speeds. */
  readonly slowFactor: number;
}

interface RunningJob {
  readonly job: BatchJob;
  remainingPrefillTokens: number;
  generatedTokens: number;
  emittedTokens: number;
}

const WAITING_CALLBACK_MILLISECONDS = 250;

/** Generates tokens for a limited number of jobs; others wait, and a smaller priority value starts first. */
export class BatchScheduler {
  readonly #clock: Clock;
  readonly #settings: () => BatchSettings;
  readonly #running = new Map<BatchJob, RunningJob>();
  #waiting: BatchJob[] = [];
  #pausedUntil = 0;

  /**
   * @param clock - Clock that paces the generation.
   * @param settings - Returns the current settings.
   */
  constructor(clock: Clock, settings: () => BatchSettings) {
    this.#clock = clock;
    this.#settings = settings;
  }

  /** Number of jobs in the batch. */
  get running(): number {
    return this.#running.size;
  }

  /** Number of jobs that wait for a slot. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /** Queues a job by priority, or starts it if a slot is free. */
  submit(job: BatchJob): void {
    const index = this.#waiting.findIndex((other) =>
      other.priority > job.priority
    );
    this.#waiting.splice(index === -1 ? this.#waiting.length : index, 0, job);
    this.#fillSlots();
  }

  /** Removes a job from the batch or the queue. */
  cancel(job: BatchJob): void {
    this.#running.delete(job);
    this.#waiting = this.#waiting.filter((other) => other !== job);
    this.#fillSlots();
  }

  /** Pauses the generation for some milliseconds. */
  pause(milliseconds: number): void {
    this.#pausedUntil = this.#clock.monotonic() + milliseconds;
  }

  /** Runs the generation until aborted. */
  async run(stopping: AbortSignal): Promise<void> {
    let lastStepAt = this.#clock.monotonic();
    let notifiedAt = lastStepAt;
    while (!stopping.aborted) {
      await this.#clock.sleep(this.#settings().eventMilliseconds, stopping);
      const now = this.#clock.monotonic();
      if (now >= this.#pausedUntil) this.#step(now - lastStepAt);
      lastStepAt = now;
      if (now - notifiedAt < WAITING_CALLBACK_MILLISECONDS) continue;
      notifiedAt = now;
      this.#notifyWaitingJobs();
    }
  }

  #step(elapsedMilliseconds: number): void {
    const settings = this.#settings();
    for (const running of [...this.#running.values()]) {
      this.#advance(running, elapsedMilliseconds / 1000 / settings.slowFactor);
    }
    this.#fillSlots();
  }

  #advance(running: RunningJob, seconds: number): void {
    const { tokensPerSecond, prefillTokensPerSecond } = this.#settings();
    const prefillSeconds = running.remainingPrefillTokens /
      prefillTokensPerSecond;
    const usedPrefillSeconds = Math.min(seconds, prefillSeconds);
    running.remainingPrefillTokens -= usedPrefillSeconds *
      prefillTokensPerSecond;
    running.generatedTokens += (seconds - usedPrefillSeconds) * tokensPerSecond;
    const { job } = running;
    const dueTokens = Math.min(job.tokens, Math.floor(running.generatedTokens));
    const count = dueTokens - running.emittedTokens;
    if (count === 0 && job.tokens > 0) return;
    running.emittedTokens = dueTokens;
    if (dueTokens === job.tokens) this.#running.delete(job);
    job.onTokens(count);
  }

  #fillSlots(): void {
    while (this.#running.size < this.#settings().batchSlots) {
      const job = this.#waiting.shift();
      if (job === undefined) return;
      const remainingPrefillTokens = job.prefillTokens;
      this.#running.set(job, {
        job,
        remainingPrefillTokens,
        generatedTokens: 0,
        emittedTokens: 0,
      });
    }
  }

  #notifyWaitingJobs(): void {
    for (const job of this.#waiting) job.onWaiting();
    for (const { job, emittedTokens } of this.#running.values()) {
      if (emittedTokens === 0) job.onWaiting();
    }
  }
}
