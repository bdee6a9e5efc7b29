import type { EventLog } from "../observability/event_log.ts";
import type { Metrics } from "../observability/metrics.ts";

/** Likely cause of a refusal, as far as a node knows. */
export type RefusalCause = "loading" | "full" | "other";

/** A load of weights whose end was seen, or not. */
export interface SeenLoad {
  readonly engine: string;
  readonly model: string;
  readonly version: number;
  /** Time from the start of the load until its end, in milliseconds. */
  readonly milliseconds: number;
  /** Number of refused requests that tested whether the load was over. */
  readonly refusals: number;
}

/** Samples with equal requirements that have waited long, and the engines of their service. */
export interface LongWait {
  readonly service: string;
  readonly model: string;
  readonly minimumVersion: number;
  /** Number of samples. */
  readonly samples: number;
  /** Longest wait, in milliseconds. */
  readonly milliseconds: number;
  /** Number of engines of the service. */
  readonly engines: number;
  /** Number of those whose weights, software and region the samples may use. */
  readonly usable: number;
  /** Number of those that could run one of the samples now. */
  readonly available: number;
}

/** Reports how this node uses the engines, as metrics and events. */
export class EngineUseReport {
  readonly #metrics: Metrics;
  readonly #log: EventLog;

  /** @param outputs - The metrics and the log. */
  constructor(
    { metrics, log }: { readonly metrics: Metrics; readonly log: EventLog },
  ) {
    this.#metrics = metrics;
    this.#log = log;
  }

  /** Reports that a request was sent to an engine. */
  recordRequest(): void {
    this.#metrics.count("engine_requests", {});
  }

  /** Reports that an engine refused a request. */
  recordRefusal(cause: RefusalCause): void {
    this.#metrics.count("engine_refusals", { cause });
  }

  /** Reports that a text leaves an engine for a faster one. */
  recordMove(
    move: {
      readonly engine: string;
      readonly remainingEvents: number;
      readonly eventMilliseconds: number;
    },
  ): void {
    this.#metrics.count("text_moves", {});
    this.#log.emit("textMoved", {
      server: move.engine,
      remainingEvents: Math.round(move.remainingEvents),
      eventMilliseconds: Math.round(move.eventMilliseconds),
    });
  }

  /** Reports samples that have waited long for an engine. */
  recordLongWait(wait: LongWait): void {
    this.#metrics.count("sample_long_waits", { service: wait.service });
    this.#log.emit("samplesWaitLong", {
      ...wait,
      milliseconds: Math.round(wait.milliseconds),
    });
  }

  /** Reports that an engine has loaded an ordered version. */
  recordLoad(
    { engine, model, version, milliseconds, refusals }: SeenLoad,
  ): void {
    this.#metrics.histogram("weight_load_milliseconds", milliseconds, {});
    this.#log.emit("weightLoadSeen", {
      server: engine,
      model,
      version,
      milliseconds: Math.round(milliseconds),
      refusals,
    });
  }

  /** Reports that an engine ran a request after the expected end of a load with an older version. */
  recordMissingLoad(
    { engine, model, version, milliseconds }: SeenLoad,
  ): void {
    this.#log.emit("weightLoadMissing", {
      server: engine,
      model,
      version,
      milliseconds: Math.round(milliseconds),
    });
  }
}
