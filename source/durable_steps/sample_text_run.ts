import type { ServerAnswer, ServerClient } from "../backends/server_client.ts";
import type { ExchangeFailure } from "../backends/http_exchange.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { ServiceRoute } from "../installation/configuration.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "../utilities/clock.ts";
import type { EngineNeed, EnginePool } from "./engine_pool.ts";
import type { SampleRequest } from "./step_submission.ts";
import { ENDED } from "../utilities/ended.ts";

/** An engine that sends nothing for so long is given up; a load of weights holds runs up for about 1 s. */
const SILENCE_MILLISECONDS = 2500;
const NO_SERVICE_PAUSE_MILLISECONDS = 200;
/** Events between two looks for a faster engine. */
const EVENTS_BETWEEN_LOOKS = 4;

/** Text of a sample as far as it was made. */
export interface SampleText {
  readonly parts: string[];
  /** All weight versions that made an event, in order. */
  readonly versions: number[];
  /** Number of the last event; undefined before the first. */
  lastEvent: number | undefined;
  /** Whether no event is missing. */
  isWhole: boolean;
}

/** How the making of a text ended. */
export type TextOutcome =
  | { readonly kind: "whole" }
  /** Engines say that it can't be made. */
  | { readonly kind: "failed"; readonly reason: string }
  | { readonly kind: "cancelled" };

/** What the making of a text works with. */
export interface SampleTextRunOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly pool: EnginePool;
  readonly client: ServerClient;
  readonly servers: ServerView;
  readonly sample: SampleRequest;
  readonly text: SampleText;
  readonly host: string;
  readonly organisation: string;
  readonly model: string;
  readonly minimumVersion: number;
  readonly rank: number;
  /** Whether its text is among the longest of its step. */
  readonly isLong: boolean;
  /** Returns the route now in force; undefined when it was taken away. */
  readonly route: () => ServiceRoute | undefined;
  /** How long the sample may still take. */
  readonly leftMilliseconds: () => number;
  readonly signal: AbortSignal;
}

/** What a sample is doing, and what came of its attempts so far. */
export interface SampleActivity {
  readonly doing: "waitingForRoute" | "waitingForEngine" | "asking" | "reading";
  /** When it began to do so, on the monotonic clock. */
  readonly since: number;
  /** Times that a request for the text was sent. */
  readonly attempts: number;
  /** Attempts that an engine refused without running them. */
  readonly refusals: number;
  /** Attempts given up because the engine had a weight version that may not be used. */
  readonly unusableVersions: number;
  /** Attempts given up for a faster engine. */
  readonly moves: number;
}

type AttemptEnd = "whole" | "again" | "failedStatus" | "impossible";

/**
 * Makes the text of one sample, going on at another engine where the one before ended.
 */
export class SampleTextRun {
  readonly #options: SampleTextRunOptions;
  #failures = 0;
  #attempts = 0;
  #refusals = 0;
  #unusableVersions = 0;
  #moves = 0;
  #doing: SampleActivity["doing"] = "waitingForRoute";
  #since = 0;
  #startedAt: number | undefined;
  #avoid: string | undefined;

  /** @param options - The sample and the engines. */
  constructor(options: SampleTextRunOptions) {
    this.#options = options;
  }

  /** What the sample is doing, or was when its run ended. */
  get activity(): SampleActivity {
    return {
      doing: this.#doing,
      since: this.#since,
      attempts: this.#attempts,
      refusals: this.#refusals,
      unusableVersions: this.#unusableVersions,
      moves: this.#moves,
    };
  }

  /** When the first request was sent, on the monotonic clock; undefined before. */
  get startedAt(): number | undefined {
    return this.#startedAt;
  }

  /** Runs until the text is whole, can't be made, or the signal is aborted. */
  async run(): Promise<TextOutcome> {
    const { signal, clock, route, pool } = this.#options;
    while (!signal.aborted) {
      if (this.#options.text.isWhole) return { kind: "whole" };
      const found = route();
      if (found === undefined) {
        this.#note("waitingForRoute");
        await clock.sleep(NO_SERVICE_PAUSE_MILLISECONDS, signal);
        continue;
      }
      this.#note("waitingForEngine");
      const engine = await pool.acquire(this.#need(found), signal);
      if (engine === undefined) break;
      this.#attempts += 1;
      this.#startedAt ??= clock.monotonic();
      this.#note("asking");
      const end = await this.#attempt(engine, found);
      pool.release(engine.identifier);
      if (end === "whole") this.#options.text.isWhole = true;
      if (end === "impossible") {
        return { kind: "failed", reason: "The engine can never make it" };
      }
      if (end === "failedStatus") this.#failures += 1;
      if (this.#failures >= found.maximumAttempts) {
        return { kind: "failed", reason: "Engines failed at it" };
      }
    }
    return { kind: "cancelled" };
  }

  #note(doing: SampleActivity["doing"]): void {
    if (doing === this.#doing) return;
    this.#doing = doing;
    this.#since = this.#options.clock.monotonic();
  }

  #need(route: ServiceRoute): EngineNeed {
    const { text, model, minimumVersion, rank } = this.#options;
    return {
      service: route.services[0]?.service ?? "",
      model,
      minimumVersion,
      exactVersion: route.isSingleVersion ? text.versions[0] : undefined,
      rank,
      avoid: this.#avoid,
    };
  }

  async #attempt(
    engine: BackendServerEntry,
    route: ServiceRoute,
  ): Promise<AttemptEnd> {
    const { client, pool, sample, text, host, organisation, servers } =
      this.#options;
    const { identifier } = engine;
    const end = new AbortController();
    const onCancel = (): void => end.abort(ENDED);
    this.#options.signal.addEventListener("abort", onCancel, { once: true });
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
        budgetMilliseconds: this.#options.leftMilliseconds(),
        ...(text.lastEvent === undefined ? {} : { afterEvent: text.lastEvent }),
      }, {
        signal: end.signal,
        silenceMilliseconds: SILENCE_MILLISECONDS,
        mayStart: () => servers.isServing(identifier),
      });
      pool.noteAnswered(identifier);
      if (answer.kind !== "answered") {
        return this.#noteFailure(identifier, answer);
      }
      return await this.#read(engine, route, answer);
    } finally {
      this.#options.signal.removeEventListener("abort", onCancel);
      end.abort(ENDED);
    }
  }

  #noteFailure(identifier: string, failure: ExchangeFailure): AttemptEnd {
    if (failure.kind === "unknown" || failure.cause === "connect") {
      return this.#noteCut(identifier, failure.reason);
    }
    if (failure.cause === "refused") {
      this.#refusals += 1;
      this.#options.pool.noteRefused(identifier);
    }
    return "again";
  }

  async #read(
    engine: BackendServerEntry,
    route: ServiceRoute,
    answer: ServerAnswer,
  ): Promise<AttemptEnd> {
    const { identifier } = engine;
    if (answer.status !== 200 || answer.signature === undefined) {
      answer.abandon();
      if (answer.status === 500) return this.#noteError(identifier);
      if (answer.status === 422) return "impossible";
      return this.#noteCut(identifier, `status ${answer.status}`);
    }
    // An engine asked to go on after the last event makes none, and names no version.
    const isResumed = this.#options.text.lastEvent !== undefined;
    if (!isResumed && !this.#isUsable(answer.weightVersion, route)) {
      answer.abandon();
      this.#unusableVersions += 1;
      this.#options.pool.noteRefused(identifier);
      return "again";
    }
    this.#options.pool.noteStarted(identifier);
    this.#note("reading");
    try {
      return await this.#readEvents(engine, route, answer);
    } catch (error) {
      answer.abandon();
      return this.#noteCut(identifier, String(error));
    }
  }

  async #readEvents(
    engine: BackendServerEntry,
    route: ServiceRoute,
    answer: ServerAnswer,
  ): Promise<AttemptEnd> {
    const { clock, pool, text, client, model, signal } = this.#options;
    const { identifier } = engine;
    let version = answer.weightVersion;
    let readAt = clock.monotonic();
    let events = 0;
    for await (const event of client.readEvents(answer.body)) {
      // A later step may go on with the text by now.
      if (signal.aborted) return "again";
      version = event.weightVersion ?? version;
      if (version === undefined || !this.#isUsable(version, route)) {
        answer.abandon();
        this.#unusableVersions += 1;
        pool.noteRefused(identifier);
        return "again";
      }
      if (text.lastEvent !== undefined && event.number !== text.lastEvent + 1) {
        answer.abandon();
        return this.#noteCut(identifier, "events do not follow");
      }
      text.lastEvent = event.number;
      text.parts.push(event.text);
      if (!text.versions.includes(version)) text.versions.push(version);
      pool.noteVersion(identifier, model, version);
      const now = clock.monotonic();
      if (events > 0) pool.notePace(identifier, now - readAt);
      readAt = now;
      events += 1;
      if (
        events % EVENTS_BETWEEN_LOOKS === 0 && this.#shouldMove(engine, route)
      ) {
        answer.abandon();
        this.#avoid = identifier;
        this.#moves += 1;
        return "again";
      }
    }
    return text.lastEvent === undefined
      ? this.#noteCut(identifier, "no events")
      : "whole";
  }

  // Either the engine fails part of its requests or the sample fails everywhere; another one tells.
  #noteError(identifier: string): AttemptEnd {
    this.#avoid = identifier;
    this.#options.pool.noteRefused(identifier);
    return "failedStatus";
  }

  #shouldMove(engine: BackendServerEntry, route: ServiceRoute): boolean {
    return this.#options.pool.hasFasterFree(
      engine.identifier,
      this.#need(route),
    );
  }

  #isUsable(version: number | undefined, route: ServiceRoute): boolean {
    const { text, minimumVersion } = this.#options;
    if (version === undefined || version < minimumVersion) return false;
    const [first] = text.versions;
    return !route.isSingleVersion || first === undefined || first === version;
  }

  #noteCut(identifier: string, reason: string): AttemptEnd {
    const { pool, log, sample, signal, text } = this.#options;
    if (signal.aborted) return "again";
    pool.noteFailure(identifier);
    this.#avoid = identifier;
    log.emit("sampleAttemptCut", {
      sample: sample.identifier,
      server: identifier,
      reason,
      afterEvent: text.lastEvent ?? -1,
    });
    return "again";
  }
}
