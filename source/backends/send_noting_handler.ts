import type { Dispatcher } from "undici";
import { ExchangeError } from "./exchange_error.ts";

/** Notes whether bytes of a request may have left this process. */
export interface SendNote {
  /** True from just before the first byte is handed to a socket. */
  started: boolean;
  /** Asked in the tick in which the first byte would leave. */
  readonly mayStart: () => boolean;
}

/** Options of a request whose sending is noted. */
export interface NotedOptions extends Dispatcher.DispatchOptions {
  readonly sendNote?: SendNote;
}

type Controller = Dispatcher.DispatchController;
type Handler = Dispatcher.DispatchHandler;
type Headers = Parameters<NonNullable<Handler["onResponseStart"]>>[2];

/**
 * Interceptor that fills in the send note of each request that carries one.
 * @param dispatch - The next step of the chain.
 * @example
 * ```ts
 * const dispatcher = pool.compose(noteSends);
 * ```
 */
export function noteSends(
  dispatch: Dispatcher["dispatch"],
): Dispatcher["dispatch"] {
  return (options, handler) => {
    const note = (options as NotedOptions).sendNote;
    if (note === undefined) return dispatch(options, handler);
    return dispatch(options, new SendNotingHandler(handler, note));
  };
}

class SendNotingHandler implements Handler {
  readonly #inner: Handler;
  readonly #note: SendNote;

  constructor(inner: Handler, note: SendNote) {
    this.#inner = inner;
    this.#note = note;
  }

  // Called in the tick in which the head is written, just before that.
  onRequestStart(controller: Controller, context: unknown): void {
    if (this.#note.started) {
      controller.abort(new ExchangeError("cut", "Connection was cut"));
      return;
    }
    if (!this.#note.mayStart()) {
      controller.abort(
        new ExchangeError("withheld", "Server may not get new work"),
      );
      return;
    }
    this.#inner.onRequestStart?.(controller, context);
    this.#note.started = !controller.aborted;
  }

  onResponseStart(
    controller: Controller,
    status: number,
    headers: Headers,
    message?: string,
  ): void {
    this.#inner.onResponseStart?.(controller, status, headers, message);
  }

  onResponseData(controller: Controller, chunk: Buffer): void {
    this.#inner.onResponseData?.(controller, chunk);
  }

  onResponseEnd(controller: Controller, trailers: Headers): void {
    this.#inner.onResponseEnd?.(controller, trailers);
  }

  onResponseError(controller: Controller, error: Error): void {
    this.#inner.onResponseError?.(controller, error);
  }
}
