import type {
  EngineOutcome,
  EngineRequest,
  EngineTokens,
} from "../backends/engine_client.ts";
import { invariant } from "../utilities/invariant.ts";
import type { DispatchTools } from "./dispatch_tools.ts";

/** What one attempt at a completion is given. */
export interface CompletionAttemptOptions {
  readonly address: string;
  readonly request: EngineRequest;
  /** Tokens of an older version end the attempt; 0 for any. */
  readonly minimumWeightVersion: number;
  readonly newConnection: boolean;
  /** Ends the attempt when aborted. */
  readonly signal: AbortSignal;
  readonly onHead: () => void;
  readonly onTokens: (tokens: EngineTokens) => void;
}

/** Runs a completion on one engine, once. */
export class CompletionAttempt {
  readonly #options: CompletionAttemptOptions;
  readonly #tools: DispatchTools;
  readonly #end = new AbortController();
  #staleVersion: number | undefined;
  #ended = false;

  /**
   * @param options - Engine, request and bounds.
   * @param tools - What all runs share.
   */
  constructor(options: CompletionAttemptOptions, tools: DispatchTools) {
    this.#options = options;
    this.#tools = tools;
  }

  /** Runs to the end. */
  async run(): Promise<EngineOutcome> {
    const { signal } = this.#options;
    const cancel = (): void => this.#end.abort(signal.reason);
    if (signal.aborted) cancel();
    signal.addEventListener("abort", cancel, { once: true });
    const outcome = await this.#complete();
    signal.removeEventListener("abort", cancel);
    this.#ended = true;
    return this.#staleVersion === undefined ? outcome : this.#toStale();
  }

  async #complete(): Promise<EngineOutcome> {
    const { context, servers, engines } = this.#tools.options;
    const { address, request, newConnection, onHead } = this.#options;
    return await engines.complete(address, request, {
      signal: this.#end.signal,
      silenceMilliseconds: context.settings.silenceMilliseconds,
      mayStart: () => servers.isAvailable(address),
      newConnection,
      onHead,
      onTokens: (tokens) => this.#take(tokens),
    });
  }

  #take(tokens: EngineTokens): void {
    if (this.#end.signal.aborted) return;
    invariant(!this.#ended, "Tokens came after the end of an attempt");
    if (tokens.weightVersion < this.#options.minimumWeightVersion) {
      this.#staleVersion = tokens.weightVersion;
      this.#end.abort(new Error("Engine generates with an old version"));
      return;
    }
    this.#options.onTokens(tokens);
  }

  #toStale(): EngineOutcome {
    const { minimumWeightVersion } = this.#options;
    return {
      kind: "unknown",
      cause: "status",
      reason: `Engine generates with version ${this.#staleVersion}, ` +
        `older than ${minimumWeightVersion}`,
    };
  }
}
