import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "../utilities/clock.ts";
import type { SampleText, SampleTextRun } from "./sample_text_run.ts";

/** A sample whose run has ended. */
export interface EndedSample {
  readonly step: string;
  readonly sample: string;
  readonly run: SampleTextRun;
  readonly text: SampleText;
}

/** A sample that is whole and scored; its times are of the monotonic clock. */
export interface FinishedSample extends EndedSample {
  readonly stepStartedAt: number;
  readonly madeAt: number;
}

interface NotingTools {
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Logs when a sample that is whole and scored was started, made and scored. */
export function noteFinishedSample(
  { clock, log }: NotingTools,
  finished: FinishedSample,
): void {
  const { step, sample, run, text, madeAt, stepStartedAt } = finished;
  const since = (moment: number): number => Math.round(moment - stepStartedAt);
  log.emit("sampleFinished", {
    step,
    sample,
    startedAt: since(run.startedAt ?? madeAt),
    madeAt: since(madeAt),
    scoredAt: since(clock.monotonic()),
    events: text.parts.length,
    attempts: run.activity.attempts,
  });
}

/** Logs what kept a sample that was not finished when its step was ended. */
export function noteUnfinishedSample(
  { clock, log }: NotingTools,
  { step, sample, run, text }: EndedSample,
): void {
  const { doing, since, ...counts } = run.activity;
  log.emit("sampleUnfinished", {
    step,
    sample,
    // A whole text that is not finished waits for its score.
    doing: text.isWhole ? "scoring" : doing,
    milliseconds: Math.round(clock.monotonic() - since),
    events: text.parts.length,
    ...counts,
  });
}
