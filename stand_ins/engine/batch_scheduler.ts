import type { Clock } from "../../source/utilities/clock.ts";

/** One request in the engine. */
export interface BatchJob {
  readonly priority: number;
  readonly prefillTokens: number;
  /** Tokens to generate. */
  readonly tokens: number;
  /** Called with how many tokens were generated since the last call. */
  readonly onTokens: (count: number) => void;
  /** Called regularly while the job waits or reads its prompt. */
  readonly onWaiting: () => void;
}

/** Speeds of a batch scheduler, read at each step. */
export interface BatchSpeed {
  readonly batchSlots: number;
  readonly tokensPerSecond: number;
  readonly prefillTokensPerSecond: number;
  readonly eventMilliseconds: number;
  readonly slowFactor: number;
}

interface RunningJob {
  readonly job: BatchJob;
  prefillLeft: number;
  progress: number;
  emitted: number;
}

const WAITING_NOTE_MILLISECONDS = 250;

/** Generates for a few jobs at a time; others wait, smaller priorities first. */
export class BatchScheduler {
  readonly #clock: Clock;
  readonly #speed: () => BatchSpeed;
  readonly #running = new Map<BatchJob, RunningJob>();
  #waiting: BatchJob[] = [];
  #pausedUntil = 0;

  /**
   * @param clock - Source of time.
   * @param speed - Returns the speeds that hold now.
   */
  constructor(clock: Clock, speed: () => BatchSpeed) {
    this.#clock = clock;
    this.#speed = speed;
  }

  /** Jobs that generate. */
  get running(): number {
    return this.#running.size;
  }

  /** Jobs that wait for a slot. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /** Takes a job in. */
  submit(job: BatchJob): void {
    const index = this.#waiting.findIndex((other) =>
      other.priority > job.priority
    );
    this.#waiting.splice(index === -1 ? this.#waiting.length : index, 0, job);
    this.#fillSlots();
  }

  /** Drops a job. */
  cancel(job: BatchJob): void {
    this.#running.delete(job);
    this.#waiting = this.#waiting.filter((other) => other !== job);
    this.#fillSlots();
  }

  /** Generates nothing for a time. */
  pause(milliseconds: number): void {
    this.#pausedUntil = this.#clock.monotonic() + milliseconds;
  }

  /** Generates until stopped. */
  async run(stopping: AbortSignal): Promise<void> {
    let before = this.#clock.monotonic();
    let notedAt = before;
    while (!stopping.aborted) {
      await this.#clock.sleep(this.#speed().eventMilliseconds, stopping);
      const now = this.#clock.monotonic();
      if (now >= this.#pausedUntil) this.#step(now - before);
      before = now;
      if (now - notedAt < WAITING_NOTE_MILLISECONDS) continue;
      notedAt = now;
      this.#noteWaiting();
    }
  }

  #step(elapsed: number): void {
    const speed = this.#speed();
    for (const running of [...this.#running.values()]) {
      this.#advance(running, elapsed / 1000 / speed.slowFactor);
    }
    this.#fillSlots();
  }

  #advance(running: RunningJob, seconds: number): void {
    const { tokensPerSecond, prefillTokensPerSecond } = this.#speed();
    const prefillSeconds = running.prefillLeft / prefillTokensPerSecond;
    const used = Math.min(seconds, prefillSeconds);
    running.prefillLeft -= used * prefillTokensPerSecond;
    running.progress += (seconds - used) * tokensPerSecond;
    const { job } = running;
    const due = Math.min(job.tokens, Math.floor(running.progress));
    const count = due - running.emitted;
    if (count === 0 && job.tokens > 0) return;
    running.emitted = due;
    if (due === job.tokens) this.#running.delete(job);
    job.onTokens(count);
  }

  #fillSlots(): void {
    while (this.#running.size < this.#speed().batchSlots) {
      const job = this.#waiting.shift();
      if (job === undefined) return;
      const prefillLeft = job.prefillTokens;
      this.#running.set(job, { job, prefillLeft, progress: 0, emitted: 0 });
    }
  }

  #noteWaiting(): void {
    for (const job of this.#waiting) job.onWaiting();
    for (const { job, emitted } of this.#running.values()) {
      if (emitted === 0) job.onWaiting();
    }
  }
}
