import type {
  EngineOutcome,
  EngineRequest,
  EngineTokens,
} from "../backends/engine_client.ts";
import { invariant } from "../utilities/invariant.ts";
import type { DispatchComponents } from "./dispatch_components.ts";

/** Inputs to one attempt at a completion. */
export interface CompletionAttemptOptions {
  readonly address: string;
  readonly request: EngineRequest;
  /**
   * Lowest weight version that may generate tokens; the attempt ends when the engine generates
   * tokens with an older one. 0 allows any version.
   */
  readonly minimumWeightVersion: number;
  readonly newConnection: boolean;
  /** Cancels the attempt when aborted. */
  readonly signal: AbortSignal;
  readonly onHead: () => void;
  readonly onTokens: (tokens: EngineTokens) => void;
}

/** Runs one attempt at a completion on one engine. */
export class CompletionAttempt {
  readonly #options: CompletionAttemptOptions;
  readonly #components: DispatchComponents;
  readonly #abortController = new AbortController();
  #staleVersion: number | undefined;
  #ended = false;

  /**
   * @param options - Engine, request and callbacks.
   * @param components - Components that all runs share.
   */
  constructor(
    options: CompletionAttemptOptions,
    components: DispatchComponents,
  ) {
    this.#options = options;
    this.#components = components;
  }

  /** Runs the attempt to its end. */
  async run(): Promise<EngineOutcome> {
    const { signal } = this.#options;
    const cancel = (): void => this.#abortController.abort(signal.reason);
    if (signal.aborted) cancel();
    signal.addEventListener("abort", cancel, { once: true });
    const outcome = await this.#complete();
    signal.removeEventListener("abort", cancel);
    this.#ended = true;
    return this.#staleVersion === undefined ? outcome : this.#staleOutcome();
  }

  async #complete(): Promise<EngineOutcome> {
    const { context, servers, engines } = this.#components.options;
    const { address, request, newConnection, onHead } = this.#options;
    return await engines.complete(address, request, {
      signal: this.#abortController.signal,
      silenceMilliseconds: context.settings.silenceMilliseconds,
      mayStart: () => servers.isAvailable(address),
      newConnection,
      onHead,
      onTokens: (tokens) => this.#receiveTokens(tokens),
    });
  }

  #receiveTokens(tokens: EngineTokens): void {
    if (this.#abortController.signal.aborted) return;
    invariant(!this.#ended, "Tokens arrived after the attempt had ended");
    if (tokens.weightVersion < this.#options.minimumWeightVersion) {
      this.#staleVersion = tokens.weightVersion;
      this.#abortController.abort(
        new Error("Engine generates with an outdated weight version"),
      );
      return;
    }
    this.#options.onTokens(tokens);
  }

  #staleOutcome(): EngineOutcome {
    const { minimumWeightVersion } = this.#options;
    return {
      kind: "unknown",
      cause: "status",
      reason: `Engine generates with weight version ${this.#staleVersion}, ` +
        `older than the required ${minimumWeightVersion}`,
    };
  }
}
