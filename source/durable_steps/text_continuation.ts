import { mayProcess } from "../decisions/allowed_regions.ts";
import { toContinuationPatience } from "../decisions/text_continuation.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { ServerStarts } from "../installation/server_starts.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "../utilities/clock.ts";
import type { EnginePool } from "./engine_pool.ts";
import type { EngineRequirements } from "./engine_request.ts";
import type { SampleText } from "./sample_text.ts";
import type { SampleRequest } from "./step_submission.ts";

/** The text and the engines that could go on with it. */
export interface TextContinuationOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly pool: EnginePool;
  readonly servers: ServerView;
  readonly serverStarts: Pick<ServerStarts, "mayHaveChanged">;
  readonly sample: SampleRequest;
  readonly text: SampleText;
}

/** Lets the text of a sample go on only at the software version that began it. */
export class TextContinuation {
  readonly #options: TextContinuationOptions;
  /** Monotonic time, in milliseconds, since which the text waits to be continued. */
  #interruptedAt: number | undefined;
  /** Whether the engine that began the text was checked for having had another software version. */
  #isBeginningChecked = false;

  /** @param options - The text and the engines. */
  constructor(options: TextContinuationOptions) {
    this.#options = options;
  }

  /**
   * Whether an engine should generate the interrupted text from its start: its software version is
   * unknown or doubtful, or none of its version could go on with it for some time and another
   * version can.
   */
  async mustRestart(requirements: EngineRequirements): Promise<boolean> {
    const { pool, text, clock } = this.#options;
    if (text.softwareVersion === undefined) return true;
    if (await this.#isVersionDoubtful(text.softwareVersion)) return true;
    const now = clock.monotonic();
    this.#interruptedAt ??= now;
    if (pool.hasAvailable(requirements)) return false;
    const anyVersion = {
      ...requirements,
      exactVersion: undefined,
      softwareVersion: undefined,
    };
    return now - this.#interruptedAt >= this.#getPatience(requirements) &&
      pool.hasAvailable(anyVersion);
  }

  /** Discards the text, so that it is generated from its start. */
  restart(): void {
    const { text, log, sample } = this.#options;
    log.emit("textRestarted", {
      sample: sample.identifier,
      softwareVersion: text.softwareVersion ?? "",
      events: text.parts.length,
    });
    text.parts.length = 0;
    text.versions.length = 0;
    text.softwareVersion = undefined;
    text.begunBy = undefined;
    text.lastEvent = undefined;
    this.#interruptedAt = undefined;
  }

  /**
   * Begins or goes on with the text at an engine, whose entry may have changed since it was asked.
   * @returns Whether the engine has the software version that began the text.
   */
  begin(
    { identifier, startedAt, softwareVersion }: BackendServerEntry,
  ): boolean {
    const { text, log, sample, servers } = this.#options;
    const current = servers.servers.get(identifier)?.softwareVersion ??
      softwareVersion;
    const begunAt = text.softwareVersion ?? softwareVersion;
    if (current === softwareVersion && begunAt === softwareVersion) {
      if (text.softwareVersion === undefined) {
        text.softwareVersion = softwareVersion;
        text.begunBy = { identifier, startedAt };
        this.#isBeginningChecked = false;
      }
      this.#interruptedAt = undefined;
      return true;
    }
    log.emit("softwareVersionChanged", {
      sample: sample.identifier,
      server: identifier,
      softwareVersion: current,
      begunAt,
      afterEvent: text.lastEvent ?? -1,
    });
    return false;
  }

  async #isVersionDoubtful(softwareVersion: string): Promise<boolean> {
    const { text, serverStarts } = this.#options;
    if (this.#isBeginningChecked || text.begunBy === undefined) return false;
    this.#isBeginningChecked = true;
    return await serverStarts.mayHaveChanged(text.begunBy, softwareVersion);
  }

  #getPatience(
    { service, softwareVersion, allowedRegions }: EngineRequirements,
  ): number {
    const { pool, servers, text } = this.#options;
    const engines = servers.ofService(service).filter((engine) =>
      mayProcess(allowedRegions, engine)
    );
    return toContinuationPatience({
      events: text.parts.length,
      eventMilliseconds: pool.usualEventMilliseconds,
      isVersionServing: engines.some((engine) =>
        engine.softwareVersion === softwareVersion
      ),
      isOtherServing: engines.some((engine) =>
        engine.softwareVersion !== softwareVersion
      ),
    });
  }
}
