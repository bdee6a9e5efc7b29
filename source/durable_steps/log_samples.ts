import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "../utilities/clock.ts";
import type { SampleGeneration } from "./sample_generation.ts";
import type { SampleText } from "./sample_text.ts";

/** A sample whose run on this node has ended. */
export interface EndedSample {
  readonly step: string;
  readonly sample: string;
  readonly run: SampleGeneration;
  readonly text: SampleText;
}

/** A sample with a complete text and a score if required; times are monotonic, in milliseconds. */
export interface FinishedSample extends EndedSample {
  readonly stepStartedAt: number;
  readonly madeAt: number;
}

interface LoggingTools {
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Logs when the text of a finished sample was started and completed, and when it was scored. */
export function logFinishedSample(
  { clock, log }: LoggingTools,
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

/** Logs what an unfinished sample was waiting for when the run of its step ended. */
export function logUnfinishedSample(
  { clock, log }: LoggingTools,
  { step, sample, run, text }: EndedSample,
): void {
  const { doing, since, ...counts } = run.activity;
  log.emit("sampleUnfinished", {
    step,
    sample,
    // A complete text of an unfinished sample is waiting for its score.
    doing: text.isWhole ? "scoring" : doing,
    milliseconds: Math.round(clock.monotonic() - since),
    events: text.parts.length,
    ...counts,
  });
}
