import type { PrefixCacheIndex } from "./prefix_cache_index.ts";
import type { Placement } from "./placement.ts";
import type { ServerStatistics } from "./server_statistics.ts";
import type { ServiceStatistics } from "./service_statistics.ts";

/** One dispatch, and the statistics that it updates. */
export interface DispatchObserverOptions {
  readonly address: string;
  readonly placement: Placement;
  /** Monotonic time in milliseconds. */
  readonly startedAt: number;
  readonly server: ServerStatistics;
  readonly service: ServiceStatistics;
  readonly caches: PrefixCacheIndex;
}

/** Result of a dispatch. */
export type DispatchEnd =
  | {
    readonly kind: "finished";
    /** Number of generated tokens; 0 for a plain call. */
    readonly generatedTokens: number;
    readonly cachedTokens: number;
  }
  | {
    readonly kind: "failed";
    /** Whether the failure counts against the server. */
    readonly serverFault: boolean;
  };

/** Updates the routing statistics from one request while it runs on a server. */
export class DispatchObserver {
  readonly #options: DispatchObserverOptions;
  #lastTokensAt: number | undefined;
  #firstTokenMilliseconds: number | undefined;

  /** @param options - The dispatch, and the statistics to update. */
  constructor(options: DispatchObserverOptions) {
    this.#options = options;
    options.server.start(this, options.startedAt);
    options.caches.assumeCached(
      options.address,
      options.placement.prefixDigests,
    );
  }

  /** Records that the response headers arrived. */
  recordHead(now: number): void {
    const { server, startedAt } = this.#options;
    server.recordHeadTime(now - startedAt, now);
  }

  /** Records that generated tokens arrived. */
  recordTokens(tokens: number, now: number): void {
    const { server, service, startedAt } = this.#options;
    if (this.#lastTokensAt === undefined) {
      this.#firstTokenMilliseconds = now - startedAt;
    } else {
      const milliseconds = now - this.#lastTokensAt;
      server.recordTokenTime(milliseconds, { tokens, now });
      service.recordTokenTime(milliseconds, { tokens, now });
    }
    this.#lastTokensAt = now;
  }

  /** Records how the request ended. */
  end(end: DispatchEnd, now: number): void {
    const { server, startedAt } = this.#options;
    server.end(this, { startedAt, endedAt: now });
    if (end.kind === "finished") this.#recordFinished(end, now);
    else if (end.serverFault) server.recordFailure(now);
  }

  #recordFinished(
    end: Extract<DispatchEnd, { readonly kind: "finished" }>,
    now: number,
  ): void {
    const { server, service, startedAt, placement } = this.#options;
    server.recordSuccess(now);
    if (placement.maximumTokens === 0) {
      server.recordCallTime(now - startedAt, now);
      service.recordCallTime(now - startedAt, now);
      return;
    }
    const { maximumTokens, promptTokens } = placement;
    service.recordCompletion(end.generatedTokens, { maximumTokens, now });
    const first = this.#firstTokenMilliseconds;
    if (first !== undefined) {
      service.recordFirstTokenTime(first, promptTokens - end.cachedTokens);
    }
  }
}
