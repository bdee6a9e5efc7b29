import type { IncomingHttpHeaders } from "node:http";
import { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import type { Clock } from "../utilities/clock.ts";
import type { ConnectionPools } from "./connection_pools.ts";
import type { ExchangeOptions } from "./engine_client.ts";
import { ExchangeError } from "./exchange_error.ts";
import type { FailureCause } from "./failure_cause.ts";
import {
  type SendState,
  type TrackedRequestOptions,
  trackSends,
} from "./send_tracking_handler.ts";
import { InactivityTimer } from "./inactivity_timer.ts";
import { UnreadBytes } from "./unread_bytes.ts";

/** One request to a backend server. */
export interface ExchangeRequest {
  readonly address: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** A stream is read only as fast as the server accepts it, and is not destroyed on failure. */
  readonly body?: string | Buffer | Readable;
  /** Whether the request must open a new connection. */
  readonly newConnection?: boolean;
  /** What shows whether the answer belongs to this send; absent if its head shows it. */
  readonly check?: AnswerCheck;
}

/**
 * A request that is sent behind another one whose answer is in doubt. A server answers the requests of
 * a connection in their order, so the answer to the check shows whether there is another answer before.
 */
export interface AnswerCheck {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Whether an answer with this head is in doubt. */
  readonly isDoubtful: (
    status: number,
    headers: IncomingHttpHeaders,
  ) => boolean;
  /** Whether this is the head of another answer to the request that is checked. */
  readonly isOtherAnswer: (headers: IncomingHttpHeaders) => boolean;
}

/** An exchange that ended without a usable answer. */
export interface ExchangeFailure {
  /**
   * `notRun`: no byte was handed to a socket, or the server reported that it did not run the
   * request. `unknown`: the server may have run it.
   */
  readonly kind: "notRun" | "unknown";
  /** Message of the error, for people. */
  readonly reason: string;
  /** Category of the failure, for code that decides on it. */
  readonly cause: FailureCause;
}

/** An answer whose head has arrived. */
export interface ExchangeAnswer {
  readonly kind: "answered";
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Chunks of the body; throws when the connection closes early, times out or is aborted. */
  readonly body: AsyncIterable<Buffer>;
  /** Closes the connection unless the answer was read to its end. */
  readonly abandon: () => void;
  /** The next answer on the connection, if this one is in doubt. */
  readonly next?: Promise<ExchangeAnswer | ExchangeFailure>;
}

/** Dependencies of exchanges. */
export interface ExchangeContext {
  readonly pools: ConnectionPools;
  readonly clock: Clock;
}

/**
 * Sends a request and waits for the head of its answer. Redirects are not followed.
 *
 * The outcome is `notRun` only when no byte was handed to a socket.
 * @param context - Connection pools and clock.
 * @param request - Request to send.
 * @param options - Limits of the exchange.
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
  readonly #callerSignal: AbortSignal;
  readonly #abortController = new AbortController();
  readonly #inactivityTimer: InactivityTimer;
  readonly #sendState: SendState;
  readonly #unread = new UnreadBytes();
  readonly #nextUnread = new UnreadBytes();
  /** Head of the answer to the check, if there is a check. */
  #checkHead: Promise<Dispatcher.ResponseData> | undefined;
  readonly #cancel = (): void => this.#abort("cancelled", "Cancelled");

  constructor(
    context: ExchangeContext,
    request: ExchangeRequest,
    options: ExchangeOptions,
  ) {
    this.#context = context;
    this.#request = request;
    this.#callerSignal = options.signal;
    const mayStart = options.mayStart ?? ((): boolean => true);
    this.#sendState = {
      started: false,
      mayStart,
      unread: this.#unread,
      onHead: (status, headers) => this.#startCheck(status, headers),
    };
    this.#inactivityTimer = new InactivityTimer({
      clock: context.clock,
      silenceMilliseconds: options.silenceMilliseconds,
      onTimeout: () => this.#onTimeout(),
    });
    this.#callerSignal.addEventListener("abort", this.#cancel, { once: true });
  }

  async open(): Promise<ExchangeAnswer | ExchangeFailure> {
    try {
      const head = await Promise.race([this.#send(), this.#waitForAbort()]);
      this.#inactivityTimer.recordActivity();
      const answer = this.#toAnswer(head, this.#unread);
      if (this.#checkHead === undefined) return answer;
      // The connection is free for the next answer once the one in doubt was read.
      void head.body.dump().catch(() => {});
      return { ...answer, next: this.#readNext(this.#checkHead) };
    } catch (error) {
      this.#release();
      this.#abortController.abort(error);
      return this.#toFailure(error);
    }
  }

  #send(): Promise<Dispatcher.ResponseData> {
    const { pools } = this.#context;
    const { address, method, path, headers } = this.#request;
    const pool = pools.getDispatcher(
      address,
      this.#request.newConnection ?? false,
    );
    const options: TrackedRequestOptions & Dispatcher.RequestOptions = {
      method: method as Dispatcher.HttpMethod,
      path,
      headers: { ...headers },
      body: this.#createRequestBody() as Readable | string | null,
      signal: this.#abortController.signal,
      sendState: this.#sendState,
    };
    const sent = pool.request(options);
    sent.catch(() => {});
    return sent;
  }

  #createRequestBody(): string | Buffer | AsyncIterable<Buffer> | null {
    const body = this.#request.body ?? null;
    return body instanceof Readable ? this.#relayBody(body) : body;
  }

  async *#relayBody(body: Readable): AsyncGenerator<Buffer> {
    this.#inactivityTimer.pause();
    for await (const chunk of body.iterator({ destroyOnReturn: false })) {
      this.#inactivityTimer.resume();
      yield chunk as Buffer;
      this.#inactivityTimer.pause();
    }
    this.#inactivityTimer.resume();
  }

  // undici does not reject an aborted request while it waits for a connection.
  #waitForAbort(): Promise<never> {
    return new Promise((_resolve, reject) => {
      const signal = this.#abortController.signal;
      signal.addEventListener("abort", () => reject(signal.reason), {
        once: true,
      });
    });
  }

  #toFailure(error: unknown): ExchangeFailure {
    const reason = describeError(error);
    if (this.#sendState.started) {
      return { kind: "unknown", reason, cause: toFailureCause(error) };
    }
    const cause = error instanceof ExchangeError
      ? error.failureCause
      : "connect";
    return { kind: "notRun", reason, cause };
  }

  // Sends the check in the tick in which the head is read, so that it is the next request on the
  // connection.
  #startCheck(status: number, headers: IncomingHttpHeaders): void {
    const { check, address } = this.#request;
    const { connection } = this.#sendState;
    if (check === undefined || connection === undefined) return;
    if (!check.isDoubtful(status, headers)) return;
    const { closes } = connection;
    const options: TrackedRequestOptions & Dispatcher.RequestOptions = {
      method: check.method as Dispatcher.HttpMethod,
      path: check.path,
      headers: { ...check.headers },
      signal: this.#abortController.signal,
      sendState: {
        started: false,
        mayStart: () => connection.closes === closes,
        unread: this.#nextUnread,
        // The answer to the check is still to come, so no other request may use the connection.
        onHead: (_status, next) => {
          if (check.isOtherAnswer(next)) this.#context.pools.retire(address);
        },
      },
    };
    this.#checkHead = connection.compose(trackSends).request(options);
    this.#checkHead.catch(() => {});
  }

  async #readNext(
    head: Promise<Dispatcher.ResponseData>,
  ): Promise<ExchangeAnswer | ExchangeFailure> {
    try {
      const next = await Promise.race([head, this.#waitForAbort()]);
      return this.#toAnswer(next, this.#nextUnread);
    } catch (error) {
      this.#release();
      return this.#toFailure(error);
    }
  }

  #toAnswer(
    head: Dispatcher.ResponseData,
    unread: UnreadBytes,
  ): ExchangeAnswer {
    return {
      kind: "answered",
      status: head.statusCode,
      headers: head.headers,
      body: this.#readBody(head.body, unread),
      abandon: () => this.#abort("cancelled", "Answer abandoned"),
    };
  }

  async *#readBody(
    body: Readable,
    unread: UnreadBytes,
  ): AsyncGenerator<Buffer> {
    try {
      for await (const chunk of body) {
        const bytes = chunk as Buffer;
        unread.remove(bytes.length);
        this.#inactivityTimer.pause();
        yield bytes;
        this.#inactivityTimer.resume();
      }
    } catch (error) {
      const rest = unread.takeAll();
      const isCut = !(error instanceof ExchangeError);
      if (isCut && rest.length > 0) yield rest;
      throw error;
    } finally {
      this.#release();
    }
  }

  #onTimeout(): void {
    this.#context.pools.retire(this.#request.address);
    this.#abort("silent", "Connection timed out without receiving a byte");
  }

  #abort(cause: FailureCause, reason: string): void {
    this.#release();
    this.#abortController.abort(new ExchangeError(cause, reason));
  }

  #release(): void {
    this.#inactivityTimer.stop();
    this.#callerSignal.removeEventListener("abort", this.#cancel);
  }
}

/**
 * Returns why an exchange that had sent its first byte has no complete answer.
 * @param error - Value that was thrown.
 */
export function toFailureCause(error: unknown): FailureCause {
  return error instanceof ExchangeError ? error.failureCause : "cut";
}

/**
 * Returns the message of an error, with its code if it has one; other values as text.
 * @param error - Value that was thrown.
 */
export function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const code = (error as NodeJS.ErrnoException).code;
  return code === undefined ? error.message : `${error.message} (${code})`;
}
