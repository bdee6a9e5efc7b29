import { build, type Histogram } from "hdr-histogram-js";
import type { StepResult } from "../clients/trainer_client.ts";
import type { RequestRecord } from "./open_loop.ts";

const LONGEST_LATENCY_MILLISECONDS = 120_000;

/** Measurements of the requests of one organisation, class of work and kind. */
export interface ServedMeasures {
  readonly organisation: string;
  /** Class of work and kind of the requests, separated by a space. */
  readonly classOfWork: string;
  readonly requests: number;
  readonly answered: number;
  readonly refused: number;
  readonly lost: number;
  /** Median latency of answered requests in milliseconds, from the scheduled time of sending. */
  readonly p50: number;
  /** 99th percentile of the same latency. */
  readonly p99: number;
  /** Share of the requests, from 0 to 1, answered within the latency target of their class. */
  readonly shareMet: number;
}

/** Measurements of a trainer. */
export interface TrainerMeasures {
  readonly steps: number;
  readonly wholeSteps: number;
  /** Median duration of a step in milliseconds. */
  readonly stepP50: number;
  /** Longest duration of a step in milliseconds. */
  readonly stepLongest: number;
  /** Share of the run in which the trainer waited for samples. */
  readonly idleShare: number;
  /**
   * Mean staleness of the samples: the newest version published before the pull less the oldest
   * version of the sample.
   */
  readonly meanStaleness: number;
}

/** Measurements of a run. */
export interface RunMeasures {
  readonly served: ReadonlyArray<ServedMeasures>;
  /** Measurements with the smallest share of targets met; `flooding` organisations are left out. */
  readonly worst: ServedMeasures | undefined;
  /** Median of the shares of targets met; `flooding` organisations are left out. */
  readonly medianShareMet: number;
  readonly trainer: TrainerMeasures | undefined;
  /** Numbers of refused requests by error, and of lost requests as "lost". */
  readonly refusals: Readonly<Record<string, number>>;
  readonly answersPerSecond: number;
}

/** Records of a run and the targets to compare them with. */
export interface MeasureOptions {
  readonly records: ReadonlyArray<RequestRecord>;
  readonly steps: ReadonlyArray<StepResult>;
  readonly durationMilliseconds: number;
  /** Latency targets in milliseconds by class of work. */
  readonly targets: ReadonlyMap<string, number>;
  /** Organisations that send more than their share. */
  readonly flooding: ReadonlyArray<string>;
}

/**
 * Computes the measurements of a run.
 * @param options - Records of the run, and targets.
 */
export function measureRun(options: MeasureOptions): RunMeasures {
  const { records } = options;
  const groups = groupRecords(records);
  const served = [...groups.values()].map((group) =>
    measureGroup(group, options.targets)
  );
  const notFlooding = served
    .filter((each) => !options.flooding.includes(each.organisation))
    .sort((left, right) => left.shareMet - right.shareMet);
  return {
    served,
    worst: notFlooding[0],
    medianShareMet: notFlooding[Math.floor(notFlooding.length / 2)]?.shareMet ??
      0,
    trainer: measureTrainer(options.steps, options.durationMilliseconds),
    refusals: countRefusals(records),
    answersPerSecond: 1000 *
      records.filter((record) => record.outcome === "answered").length /
      options.durationMilliseconds,
  };
}

function groupRecords(
  records: ReadonlyArray<RequestRecord>,
): ReadonlyMap<string, ReadonlyArray<RequestRecord>> {
  const groups = new Map<string, RequestRecord[]>();
  for (const record of records) {
    const { organisation, classOfWork, kind } = record.stream;
    const name = `${organisation}/${classOfWork}/${kind}`;
    const group = groups.get(name) ?? [];
    group.push(record);
    groups.set(name, group);
  }
  return groups;
}

function measureGroup(
  group: ReadonlyArray<RequestRecord>,
  targets: ReadonlyMap<string, number>,
): ServedMeasures {
  const stream = group[0]?.stream;
  const classOfWork = stream?.classOfWork ?? "";
  const target = targets.get(classOfWork) ?? LONGEST_LATENCY_MILLISECONDS;
  const answered = group.filter((record) => record.outcome === "answered");
  const histogram = createHistogram(
    answered.map((record) => record.latencyMilliseconds),
  );
  const met =
    answered.filter((record) => record.latencyMilliseconds <= target).length;
  return {
    organisation: stream?.organisation ?? "",
    classOfWork: `${classOfWork} ${stream?.kind ?? ""}`,
    requests: group.length,
    answered: answered.length,
    refused: group.filter((record) => record.outcome === "refused").length,
    lost: group.filter((record) => record.outcome === "lost").length,
    p50: histogram.getValueAtPercentile(50),
    p99: histogram.getValueAtPercentile(99),
    shareMet: met / Math.max(group.length, 1),
  };
}

function createHistogram(latencies: ReadonlyArray<number>): Histogram {
  const histogram = build({
    highestTrackableValue: LONGEST_LATENCY_MILLISECONDS,
  });
  for (const latency of latencies) {
    const bounded = Math.min(
      Math.max(latency, 0),
      LONGEST_LATENCY_MILLISECONDS,
    );
    histogram.recordValue(Math.round(bounded));
  }
  return histogram;
}

function measureTrainer(
  steps: ReadonlyArray<StepResult>,
  durationMilliseconds: number,
): TrainerMeasures | undefined {
  if (steps.length === 0) return undefined;
  const times = steps.map((step) => step.milliseconds)
    .sort((left, right) => left - right);
  const ages = steps.flatMap((step) =>
    step.samples.map((sample) =>
      Math.max(
        0,
        sample.publishedBeforePull -
          Math.min(...sample.stretches.map((each) => each.weightVersion)),
      )
    )
  );
  const waitedMilliseconds = times.reduce((sum, time) => sum + time, 0);
  return {
    steps: steps.length,
    wholeSteps: steps.filter((step) => step.isWhole).length,
    stepP50: times[Math.floor(times.length / 2)] ?? 0,
    stepLongest: times.at(-1) ?? 0,
    idleShare: Math.min(1, waitedMilliseconds / durationMilliseconds),
    meanStaleness: ages.reduce((sum, age) => sum + age, 0) /
      Math.max(ages.length, 1),
  };
}

function countRefusals(
  records: ReadonlyArray<RequestRecord>,
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { outcome, refusal } of records) {
    const name = outcome === "lost" ? "lost" : refusal;
    if (outcome !== "answered") counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}
