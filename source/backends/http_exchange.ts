import type { IncomingHttpHeaders } from "node:http";
import { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import type { Clock } from "../utilities/clock.ts";
import type { ConnectionPools } from "./connection_pools.ts";
import type { ExchangeOptions } from "./engine_client.ts";
import { ExchangeError } from "./exchange_error.ts";
import type { FailureCause } from "./failure_cause.ts";
import type { NotedOptions, SendNote } from "./send_noting_handler.ts";
import { SilenceWatch } from "./silence_watch.ts";

/** One request to a backend server. */
export interface ExchangeRequest {
  readonly address: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** A stream is read as fast as the server takes it, and is not destroyed on failure. */
  readonly body?: string | Buffer | Readable;
  /** Whether the request must not use a connection that served another one. */
  readonly newConnection?: boolean;
}

/** An exchange that ended before the head of an answer. */
export interface ExchangeFailure {
  readonly kind: "notRun" | "unknown";
  readonly reason: string;
  readonly cause: FailureCause;
}

/** An answer whose head has come. */
export interface ExchangeAnswer {
  readonly kind: "answered";
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Chunks of the body; ends with an error when the answer is cut, silent or cancelled. */
  readonly body: AsyncIterable<Buffer>;
  /** Cuts the connection unless the answer was read to its end. */
  readonly abandon: () => void;
}

/** What exchanges need. */
export interface ExchangeContext {
  readonly pools: ConnectionPools;
  readonly clock: Clock;
}

/**
 * Sends a request and waits for the head of its answer. Redirects are not followed.
 *
 * The outcome is `notRun` only when no byte was handed to a socket.
 * @param context - Connections and clock.
 * @param request - The request.
 * @param options - How the exchange is bounded.
 * @example
 * ```ts
 * const answer = await openExchange(context, request, { signal, silenceMilliseconds: 5000 });
 * ```
 */
export async function openExchange(
  context: ExchangeContext,
  request: ExchangeRequest,
  options: ExchangeOptions,
): Promise<ExchangeAnswer | ExchangeFailure> {
  if (options.signal.aborted) {
    return { kind: "notRun", reason: "Cancelled", cause: "cancelled" };
  }
  const exchange = new OpenExchange(context, request, options);
  return await exchange.open();
}

class OpenExchange {
  readonly #context: ExchangeContext;
  readonly #request: ExchangeRequest;
  readonly #signal: AbortSignal;
  readonly #cut = new AbortController();
  readonly #watch: SilenceWatch;
  readonly #note: SendNote;
  readonly #cancel = (): void => this.#end("cancelled", "Cancelled");

  constructor(
    context: ExchangeContext,
    request: ExchangeRequest,
    options: ExchangeOptions,
  ) {
    this.#context = context;
    this.#request = request;
    this.#signal = options.signal;
    const mayStart = options.mayStart ?? ((): boolean => true);
    this.#note = { started: false, mayStart };
    this.#watch = new SilenceWatch({
      clock: context.clock,
      silenceMilliseconds: options.silenceMilliseconds,
      onSilent: () => this.#onSilent(),
    });
    this.#signal.addEventListener("abort", this.#cancel, { once: true });
  }

  async open(): Promise<ExchangeAnswer | ExchangeFailure> {
    try {
      const head = await Promise.race([this.#send(), this.#untilCut()]);
      this.#watch.touch();
      return this.#toAnswer(head);
    } catch (error) {
      this.#finish();
      this.#cut.abort(error);
      return this.#toFailure(error);
    }
  }

  #send(): Promise<Dispatcher.ResponseData> {
    const { pools } = this.#context;
    const { address, method, path, headers } = this.#request;
    const pool = pools.pool(address, this.#request.newConnection ?? false);
    const options: NotedOptions & Dispatcher.RequestOptions = {
      method: method as Dispatcher.HttpMethod,
      path,
      headers: { ...headers },
      body: this.#outgoingBody() as Readable | string | null,
      signal: this.#cut.signal,
      sendNote: this.#note,
    };
    const sent = pool.request(options);
    sent.catch(() => {});
    return sent;
  }

  #outgoingBody(): string | Buffer | AsyncIterable<Buffer> | null {
    const body = this.#request.body ?? null;
    return body instanceof Readable ? this.#relay(body) : body;
  }

  async *#relay(body: Readable): AsyncGenerator<Buffer> {
    this.#watch.pause();
    for await (const chunk of body.iterator({ destroyOnReturn: false })) {
      this.#watch.resume();
      yield chunk as Buffer;
      this.#watch.pause();
    }
    this.#watch.resume();
  }

  // A request that waits for its connection does not notice the signal by itself.
  #untilCut(): Promise<never> {
    return new Promise((_resolve, reject) => {
      const signal = this.#cut.signal;
      signal.addEventListener("abort", () => reject(signal.reason), {
        once: true,
      });
    });
  }

  #toFailure(error: unknown): ExchangeFailure {
    const reason = describeError(error);
    if (this.#note.started) {
      return { kind: "unknown", reason, cause: findCause(error) };
    }
    const cause = error instanceof ExchangeError ? error.failure : "connect";
    return { kind: "notRun", reason, cause };
  }

  #toAnswer(head: Dispatcher.ResponseData): ExchangeAnswer {
    return {
      kind: "answered",
      status: head.statusCode,
      headers: head.headers,
      body: this.#readBody(head.body),
      abandon: () => this.#end("cancelled", "Abandoned"),
    };
  }

  async *#readBody(body: Readable): AsyncGenerator<Buffer> {
    try {
      for await (const chunk of body) {
        this.#watch.pause();
        yield chunk as Buffer;
        this.#watch.resume();
      }
    } finally {
      this.#finish();
    }
  }

  #onSilent(): void {
    this.#context.pools.retire(this.#request.address);
    this.#end("silent", "Connection went silent");
  }

  #end(cause: FailureCause, reason: string): void {
    this.#finish();
    this.#cut.abort(new ExchangeError(cause, reason));
  }

  #finish(): void {
    this.#watch.stop();
    this.#signal.removeEventListener("abort", this.#cancel);
  }
}

/**
 * Finds what kept an exchange from its whole answer after a byte had left.
 * @param error - What was thrown.
 */
export function findCause(error: unknown): FailureCause {
  return error instanceof ExchangeError ? error.failure : "cut";
}

/**
 * Describes an error of a connection in a few words.
 * @param error - What was thrown.
 */
export function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const code = (error as NodeJS.ErrnoException).code;
  return code === undefined ? error.message : `${error.message} (${code})`;
}
