import type { Dispatcher } from "undici";
import { ExchangeError } from "./exchange_error.ts";

/** Records whether bytes of a request may have left this process. */
export interface SendState {
  /** True from just before the first byte is handed to a socket. */
  started: boolean;
  /** Called in the tick that writes the first byte; false aborts the request. */
  readonly mayStart: () => boolean;
}

/** Options of a request whose send state is recorded. */
export interface TrackedRequestOptions extends Dispatcher.DispatchOptions {
  readonly sendState?: SendState;
}

type Controller = Dispatcher.DispatchController;
type Handler = Dispatcher.DispatchHandler;
type Headers = Parameters<NonNullable<Handler["onResponseStart"]>>[2];

/**
 * Interceptor that updates the send state of each request that has one.
 * @param dispatch - Next dispatch function in the interceptor chain.
 * @example
 * ```ts
 * const dispatcher = pool.compose(trackSends);
 * ```
 */
export function trackSends(
  dispatch: Dispatcher["dispatch"],
): Dispatcher["dispatch"] {
  return (options, handler) => {
    const state = (options as TrackedRequestOptions).sendState;
    if (state === undefined) return dispatch(options, handler);
    return dispatch(options, new SendTrackingHandler(handler, state));
  };
}

class SendTrackingHandler implements Handler {
  readonly #inner: Handler;
  readonly #state: SendState;

  constructor(inner: Handler, state: SendState) {
    this.#inner = inner;
    this.#state = state;
  }

  // undici calls this just before it writes the head, in the same tick.
  onRequestStart(controller: Controller, context: unknown): void {
    if (this.#state.started) {
      controller.abort(new ExchangeError("cut", "Connection was closed"));
      return;
    }
    if (!this.#state.mayStart()) {
      controller.abort(
        new ExchangeError("withheld", "Server may get no new work"),
      );
      return;
    }
    this.#inner.onRequestStart?.(controller, context);
    this.#state.started = !controller.aborted;
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
