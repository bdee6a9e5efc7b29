import type { CacheKnowledge } from "./cache_knowledge.ts";
import type { Placement } from "./placement.ts";
import type { ServerRecord } from "./server_record.ts";
import type { ServiceRecord } from "./service_record.ts";

/** What a dispatch record writes to. */
export interface DispatchRecordOptions {
  readonly address: string;
  readonly placement: Placement;
  /** Monotonic time in milliseconds. */
  readonly startedAt: number;
  readonly server: ServerRecord;
  readonly service: ServiceRecord;
  readonly caches: CacheKnowledge;
}

/** How a dispatch ended. */
export type DispatchEnd =
  | {
    readonly kind: "finished";
    /** 0 for a plain call. */
    readonly generatedTokens: number;
    readonly cachedTokens: number;
  }
  | { readonly kind: "failed"; readonly serverFault: boolean };

/** Learns from one request while it runs on a server. */
export class DispatchRecord {
  readonly #options: DispatchRecordOptions;
  #lastTokensAt: number | undefined;
  #firstTokenMilliseconds: number | undefined;

  /** @param options - Where to write what is learnt. */
  constructor(options: DispatchRecordOptions) {
    this.#options = options;
    options.server.start(this, options.startedAt);
    options.caches.expect(options.address, options.placement.prefixDigests);
  }

  /** Notes that the head of the answer came. */
  noteHead(now: number): void {
    const { server, startedAt } = this.#options;
    server.noteHead(now - startedAt, now);
  }

  /** Notes generated tokens. */
  noteTokens(tokens: number, now: number): void {
    const { server, service, startedAt } = this.#options;
    if (this.#lastTokensAt === undefined) {
      this.#firstTokenMilliseconds = now - startedAt;
    } else {
      const milliseconds = now - this.#lastTokensAt;
      server.noteTokens(milliseconds, { tokens, now });
      service.noteTokens(milliseconds, { tokens, now });
    }
    this.#lastTokensAt = now;
  }

  /** Notes how the request ended. */
  end(end: DispatchEnd, now: number): void {
    const { server, startedAt } = this.#options;
    server.end(this, { startedAt, endedAt: now });
    if (end.kind === "finished") this.#noteFinished(end, now);
    else if (end.serverFault) server.noteFailure(now);
  }

  #noteFinished(
    end: Extract<DispatchEnd, { readonly kind: "finished" }>,
    now: number,
  ): void {
    const { server, service, startedAt, placement } = this.#options;
    server.noteSuccess(now);
    if (placement.maximumTokens === 0) {
      server.noteCall(now - startedAt, now);
      service.noteCall(now - startedAt, now);
      return;
    }
    const { maximumTokens, promptTokens } = placement;
    service.noteCompletion(end.generatedTokens, { maximumTokens, now });
    const first = this.#firstTokenMilliseconds;
    if (first !== undefined) {
      service.noteFirstToken(first, promptTokens - end.cachedTokens);
    }
  }
}
