import { mayProcess } from "../decisions/allowed_regions.ts";
import type { ServerAnswer } from "../backends/server_client.ts";
import {
  type ExchangeFailure,
  toFailureCause,
} from "../backends/http_exchange.ts";
import { toIdleLimit } from "../decisions/idle_limit.ts";
import { mayUseVersions } from "../decisions/weight_version_bound.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { ServiceRoute } from "../installation/configuration.ts";
import {
  createEngineRequest,
  createRunningText,
  type GeneratedSample,
} from "./create_engine_request.ts";
import {
  type EngineRequest,
  type EngineRequirements,
  toRequirementsKey,
} from "./engine_request.ts";
import type { SampleGenerationOptions } from "./sample_generation_options.ts";
import { SampleRequirements } from "./sample_requirements.ts";
import { SampleTimeline } from "./sample_timeline.ts";
import { TextContinuation } from "./text_continuation.ts";
import { ENDED } from "../utilities/ended.ts";

const NO_ROUTE_PAUSE_MILLISECONDS = 200;
const EVENT_STREAM_TYPE = "text/event-stream";
/** Interval at which an interrupted text is checked for having to begin anew. */
const CONTINUATION_CHECK_MILLISECONDS = 100;
/** Interval at which a sample of a split route may choose another service. */
const SPLIT_CHECK_MILLISECONDS = 500;
/** Number of events between two checks for a faster engine. */
const EVENTS_BETWEEN_SPEED_CHECKS = 4;

/** The result of generating a text. */
export type GenerationOutcome =
  | { readonly kind: "completed" }
  /**
   * An engine responded with status 422, or the route's maximum number of attempts ended with
   * status 500.
   */
  | { readonly kind: "failed"; readonly reason: string }
  /** The step may not use the weight versions of the text, since its route has changed. */
  | { readonly kind: "unusable" }
  | { readonly kind: "cancelled" };

type AttemptOutcome = "completed" | "retry" | "serverError" | "unprocessable";

/** Generates the text of one sample, and continues an interrupted text on another engine. */
export class SampleGeneration {
  readonly #options: SampleGenerationOptions;
  #failures = 0;
  /** Number of attempts that were aborted since the engine sent nothing. */
  #silences = 0;
  readonly #timeline: SampleTimeline;
  #avoidedEngine: string | undefined;
  readonly #continuation: TextContinuation;
  readonly #requirements: SampleRequirements;

  /** @param options - The sample, the engines and the other dependencies. */
  constructor(options: SampleGenerationOptions) {
    this.#options = options;
    this.#timeline = new SampleTimeline(options.clock);
    this.#continuation = new TextContinuation(options);
    this.#requirements = new SampleRequirements(options);
  }

  /** What the sample has done so far and for how long. */
  get timeline(): SampleTimeline {
    return this.#timeline;
  }

  /** Runs until the text is complete, has failed, or the signal is aborted. */
  async run(): Promise<GenerationOutcome> {
    const { signal, clock, route, pool } = this.#options;
    while (!signal.aborted) {
      if (this.#options.text.isWhole) return { kind: "completed" };
      const currentRoute = route();
      if (currentRoute === undefined) {
        this.#timeline.enter("waitingForRoute");
        await clock.sleep(NO_ROUTE_PAUSE_MILLISECONDS, signal);
        continue;
      }
      if (!this.#isUsableText(currentRoute)) return { kind: "unusable" };
      const request = this.#toRequest(currentRoute);
      this.#timeline.enter(
        pool.isLoadingWeights(request.requirements)
          ? "waitingForWeights"
          : "waitingForEngine",
      );
      const engine = await this.#acquire(request, currentRoute);
      if (engine === undefined) continue;
      this.#requirements.recordStart(engine.service);
      this.#timeline.startAttempt();
      const outcome = await this.#runAttempt(engine, currentRoute);
      pool.release(engine.identifier, request);
      if (outcome === "completed") this.#options.text.isWhole = true;
      if (outcome === "unprocessable") {
        return { kind: "failed", reason: "engine cannot process the request" };
      }
      if (outcome === "serverError") this.#failures += 1;
      if (this.#failures >= currentRoute.maximumAttempts) {
        return { kind: "failed", reason: "engines failed too often" };
      }
    }
    return { kind: "cancelled" };
  }

  // Waits for an engine; returns undefined when the wait must be started again.
  async #acquire(
    request: EngineRequest,
    { services }: ServiceRoute,
  ): Promise<BackendServerEntry | undefined> {
    const { pool, signal, text } = this.#options;
    if (text.lastEvent === undefined) {
      return services.length > 1
        ? await this.#acquireWithin(request, SPLIT_CHECK_MILLISECONDS)
        : await pool.acquire(request, signal);
    }
    const mustRestart = await this.#continuation.mustRestart(
      request.requirements,
    );
    // A run that has been stopped discards nothing of its text, which a later run may copy.
    if (signal.aborted) return undefined;
    if (mustRestart) {
      this.#continuation.restart();
      return undefined;
    }
    return await this.#acquireWithin(request, CONTINUATION_CHECK_MILLISECONDS);
  }

  async #acquireWithin(
    request: EngineRequest,
    milliseconds: number,
  ): Promise<BackendServerEntry | undefined> {
    const { pool, signal, clock } = this.#options;
    const limit = new AbortController();
    const end = (): void => limit.abort(ENDED);
    signal.addEventListener("abort", end, { once: true });
    void clock.sleep(milliseconds, limit.signal).then(end);
    const engine = await pool.acquire(request, limit.signal);
    signal.removeEventListener("abort", end);
    end();
    return engine;
  }

  #toRequest(route: ServiceRoute): EngineRequest {
    const { findDueTime, group, isSpare, pool } = this.#options;
    const dueAt = findDueTime();
    const requirements = this.#requirements.choose(route);
    const key = toRequirementsKey(requirements);
    return createEngineRequest(this.#describe(requirements), {
      dueAt,
      group,
      isSpare,
      eventMilliseconds: pool.usualEventMilliseconds,
      avoidedEngine: this.#avoidedEngine,
      waitsSince: this.#requirements.waitsSince,
      isOutdated: () => {
        const current = this.#requirements.find();
        return current === undefined || findDueTime() !== dueAt ||
          this.#requirements.isOutdated || toRequirementsKey(current) !== key;
      },
    });
  }

  #describe(requirements: EngineRequirements): GeneratedSample {
    const { sample, text, textLengths } = this.#options;
    return { sample, text, requirements, textLengths };
  }

  async #runAttempt(
    engine: BackendServerEntry,
    route: ServiceRoute,
  ): Promise<AttemptOutcome> {
    const { client, pool, sample, text, host, organisation, servers } =
      this.#options;
    const { identifier } = engine;
    const controller = new AbortController();
    const onCancel = (): void => controller.abort(ENDED);
    this.#options.signal.addEventListener("abort", onCancel, { once: true });
    const endWatch = pool.watchRun({
      engine: identifier,
      findRequirements: () => this.#requirements.find(),
      onStalled: () => controller.abort(ENDED),
    });
    try {
      const answer = await client.open(engine, {
        identifier: sample.identifier,
        method: "POST",
        path: sample.path,
        host,
        headers: sample.headers,
        body: sample.body,
        organisation,
        isUrgent: this.#options.isLong,
        budgetMilliseconds: this.#options.remainingMilliseconds(),
        ...(text.lastEvent === undefined ? {} : { afterEvent: text.lastEvent }),
      }, {
        signal: controller.signal,
        silenceMilliseconds: toIdleLimit(
          this.#silences,
          pool.usualEventMilliseconds,
        ),
        mayStart: () =>
          servers.isServing(identifier) &&
          this.#requirements.isRouted(engine.service) &&
          mayProcess(this.#options.findAllowedRegions?.(), engine),
      });
      pool.recordResponse(identifier);
      if (answer.kind === "answered") pool.recordHeard(identifier);
      if (answer.kind !== "answered") {
        return this.#handleFailure(identifier, answer);
      }
      return await this.#readResponse(engine, route, answer);
    } finally {
      endWatch();
      this.#options.signal.removeEventListener("abort", onCancel);
      controller.abort(ENDED);
    }
  }

  #handleFailure(identifier: string, failure: ExchangeFailure): AttemptOutcome {
    if (failure.cause === "silent") this.#silences += 1;
    if (failure.kind === "unknown" || failure.cause === "connect") {
      return this.#recordInterruption(identifier, failure.reason);
    }
    if (failure.cause === "refused") {
      this.#timeline.count("refusals");
      this.#options.pool.recordHeard(identifier);
      this.#options.pool.recordBusy(identifier, this.#options.model);
    }
    return "retry";
  }

  async #readResponse(
    engine: BackendServerEntry,
    route: ServiceRoute,
    answer: ServerAnswer,
  ): Promise<AttemptOutcome> {
    const { identifier } = engine;
    if (answer.status !== 200 || answer.signature === undefined) {
      answer.abandon();
      if (answer.status === 500) return this.#handleServerError(identifier);
      if (answer.status === 422) return "unprocessable";
      return this.#recordInterruption(identifier, `status ${answer.status}`);
    }
    // Without an event, an error would pass for the end of the text.
    if (!isEventStream(answer)) {
      answer.abandon();
      return this.#recordInterruption(identifier, "answer is no event stream");
    }
    // An engine that is asked to continue after the final event of a text generates no event, so it
    // reports no version.
    const isResumed = this.#options.text.lastEvent !== undefined;
    if (!isResumed && !this.#isUsable(answer.weightVersion, route)) {
      answer.abandon();
      this.#timeline.count("unusableVersions");
      this.#options.pool.recordRefusal(identifier);
      return "retry";
    }
    this.#options.pool.recordStart(identifier, this.#options.model);
    this.#timeline.enter("reading");
    try {
      return await this.#readEvents(engine, route, answer);
    } catch (error) {
      answer.abandon();
      if (toFailureCause(error) === "silent") this.#silences += 1;
      return this.#recordInterruption(identifier, String(error));
    }
  }

  async #readEvents(
    engine: BackendServerEntry,
    route: ServiceRoute,
    answer: ServerAnswer,
  ): Promise<AttemptOutcome> {
    const { clock, pool, text, client, model, signal } = this.#options;
    const { identifier } = engine;
    let version = answer.weightVersion;
    let readAt = clock.monotonic();
    let events = 0;
    for await (const event of client.readEvents(answer.body)) {
      // A run that has been stopped adds nothing more to its text.
      if (signal.aborted) return "retry";
      version = event.weightVersion ?? version;
      if (version === undefined || !this.#isUsable(version, route)) {
        answer.abandon();
        this.#timeline.count("unusableVersions");
        pool.recordRefusal(identifier);
        return "retry";
      }
      if (text.lastEvent !== undefined && event.number !== text.lastEvent + 1) {
        answer.abandon();
        return this.#recordInterruption(
          identifier,
          "event numbers are not consecutive",
        );
      }
      if (events === 0 && !this.#continuation.begin(engine)) {
        answer.abandon();
        return "retry";
      }
      text.lastEvent = event.number;
      text.parts.push(event.text);
      this.#timeline.recordEvent();
      if (!text.versions.includes(version)) text.versions.push(version);
      pool.recordVersion(identifier, model, version);
      const now = clock.monotonic();
      pool.recordHeard(identifier);
      if (events > 0) pool.recordEvent(identifier, now - readAt);
      readAt = now;
      events += 1;
      if (
        events % EVENTS_BETWEEN_SPEED_CHECKS === 0 &&
        this.#shouldChangeEngine(engine)
      ) {
        answer.abandon();
        this.#avoidedEngine = identifier;
        this.#timeline.count("moves");
        return "retry";
      }
    }
    return text.lastEvent === undefined
      ? this.#recordInterruption(identifier, "response has no events")
      : "completed";
  }

  // Handles a status of 500. Either the engine fails some of its requests or the sample fails on
  // every engine, so the next attempt uses another engine if one is available.
  #handleServerError(identifier: string): AttemptOutcome {
    this.#avoidedEngine = identifier;
    this.#options.pool.recordRefusal(identifier);
    return "serverError";
  }

  #shouldChangeEngine(engine: BackendServerEntry): boolean {
    const requirements = this.#requirements.find();
    if (requirements === undefined) return false;
    const running = createRunningText(this.#describe(requirements), {
      engine: engine.identifier,
      moves: this.#timeline.counts.moves,
    });
    return this.#options.pool.shouldMove(running);
  }

  #isUsable(version: number | undefined, route: ServiceRoute): boolean {
    return version !== undefined && this.#isUsableText(route, version);
  }

  // Whether the step may use the text, with an event of another version if one is given.
  #isUsableText(
    { isSingleVersion }: ServiceRoute,
    version?: number,
  ): boolean {
    const { text, minimumVersion } = this.#options;
    const versions = new Set(text.versions);
    if (version !== undefined) versions.add(version);
    return mayUseVersions([...versions], { minimumVersion, isSingleVersion });
  }

  #recordInterruption(identifier: string, reason: string): AttemptOutcome {
    const { pool, log, sample, signal, text } = this.#options;
    if (signal.aborted) return "retry";
    pool.recordFailure(identifier);
    this.#avoidedEngine = identifier;
    log.emit("sampleAttemptCut", {
      sample: sample.identifier,
      server: identifier,
      reason,
      afterEvent: text.lastEvent ?? -1,
    });
    return "retry";
  }
}

// A server need not name the type of a stream.
function isEventStream({ headers }: ServerAnswer): boolean {
  const type = headers["content-type"];
  return type === undefined || type.startsWith(EVENT_STREAM_TYPE);
}
