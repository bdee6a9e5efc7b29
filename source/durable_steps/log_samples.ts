import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "../utilities/clock.ts";
import type { SampleGeneration } from "./sample_generation.ts";
import type { SampleText } from "./sample_text.ts";
import type { SampleTimes } from "./sample_timeline.ts";

/** A sample whose run on this node has ended. */
export interface EndedSample {
  readonly step: string;
  /** The group of the sample in its step. */
  readonly group: string;
  readonly sample: string;
  readonly run: SampleGeneration;
  readonly text: SampleText;
}

/** A sample with a complete text and a score if required; times are monotonic, in milliseconds. */
export interface FinishedSample extends EndedSample {
  readonly stepStartedAt: number;
  readonly madeAt: number;
  /** Number of events that an earlier run had generated when this one began. */
  readonly takenEvents: number;
  /** Where the time went until the text was complete. */
  readonly times: SampleTimes;
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
  const { step, group, sample, run, text, madeAt, stepStartedAt } = finished;
  const { takenEvents } = finished;
  const { attempts, refusals, moves } = run.timeline.counts;
  const since = (moment: number): number => Math.round(moment - stepStartedAt);
  log.emit("sampleFinished", {
    step,
    group,
    sample,
    versions: text.versions.join(" "),
    takenEvents,
    startedAt: since(run.timeline.startedAt ?? madeAt),
    madeAt: since(madeAt),
    scoredAt: since(clock.monotonic()),
    ...roundTimes(finished.times),
    events: text.parts.length,
    attempts,
    refusals,
    moves,
  });
}

/** Logs what an unfinished sample was waiting for when the run of its step ended. */
export function logUnfinishedSample(
  { clock, log }: LoggingTools,
  { step, group, sample, run, text }: EndedSample,
): void {
  const { activity, since, counts, times } = run.timeline;
  log.emit("sampleUnfinished", {
    step,
    group,
    sample,
    // A complete text of an unfinished sample is waiting for its score.
    doing: text.isWhole ? "scoring" : activity,
    milliseconds: Math.round(clock.monotonic() - since),
    ...roundTimes(times),
    events: text.parts.length,
    ...counts,
  });
}

function roundTimes(times: SampleTimes): SampleTimes {
  return {
    waited: Math.round(times.waited),
    waitedForWeights: Math.round(times.waitedForWeights),
    asked: Math.round(times.asked),
    generated: Math.round(times.generated),
    resumed: Math.round(times.resumed),
  };
}
