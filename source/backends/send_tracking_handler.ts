import type { Socket } from "node:net";
import { type buildConnector, Client, type Dispatcher } from "undici";
import { ExchangeError } from "./exchange_error.ts";
import type { UnreadBytes } from "./unread_bytes.ts";

type Controller = Dispatcher.DispatchController;
type Handler = Dispatcher.DispatchHandler;
type Headers = Parameters<NonNullable<Handler["onResponseStart"]>>[2];

/** Records whether bytes of a request may have left this process. */
export interface SendState {
  /** True from just before the first byte is handed to a socket. */
  started: boolean;
  /** Called in the tick that writes the first byte; false aborts the request. */
  readonly mayStart: () => boolean;
  /** The connection that the request was sent on; undefined before. */
  connection?: TrackedConnection;
  /** Bytes of the response's body that were read and not passed on. */
  readonly unread?: UnreadBytes;
  /** Called with the head of the response in the tick in which it is read. */
  readonly onHead?: (status: number, headers: Headers) => void;
}

/** Options of a request whose send state is recorded. */
export interface TrackedRequestOptions extends Dispatcher.DispatchOptions {
  readonly sendState?: SendState;
}

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

/** Options of a connection; undici's pool passes its connector on as a function. */
export interface TrackedConnectionOptions
  extends Omit<Client.Options, "connect"> {
  readonly connect: buildConnector.connector;
}

/** One connection, which each request that is sent on it learns; it is opened again when it closes. */
export class TrackedConnection extends Client {
  #closes = 0;
  #socket: Socket | undefined;

  /**
   * @param origin - Scheme, host and port.
   * @param options - Timeouts and other options of undici's client.
   */
  constructor(
    origin: URL,
    { connect, ...options }: TrackedConnectionOptions,
  ) {
    super(origin, {
      ...options,
      connect: (target, callback) =>
        connect(target, (...result) => {
          this.#socket = result[1] ?? undefined;
          callback(...result);
        }),
    });
    this.on("disconnect", () => {
      this.#closes += 1;
    });
  }

  /** Number of times that the connection was closed. */
  get closes(): number {
    return this.#closes;
  }

  /**
   * Whether the server has reset the connection. When the bytes before a reset and the reset itself are
   * read at once, libuv reports the end of the stream; only the address of the peer is gone then.
   */
  get isReset(): boolean {
    return this.#socket !== undefined &&
      this.#socket.remoteAddress === undefined;
  }

  /** Sends a request, after those that were sent before. */
  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Handler,
  ): boolean {
    const state = (options as TrackedRequestOptions).sendState;
    if (state !== undefined) state.connection = this;
    return super.dispatch(options, handler);
  }
}

class SendTrackingHandler implements Handler {
  readonly #inner: Handler;
  readonly #state: SendState;
  /** Whether the end of the response is the end of its connection. */
  #endsWithConnection = false;

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
    this.#endsWithConnection = headers["content-length"] === undefined &&
      headers["transfer-encoding"] === undefined;
    this.#state.onHead?.(status, headers);
    this.#inner.onResponseStart?.(controller, status, headers, message);
  }

  onResponseData(controller: Controller, chunk: Buffer): void {
    this.#state.unread?.add(chunk);
    this.#inner.onResponseData?.(controller, chunk);
  }

  onResponseEnd(controller: Controller, trailers: Headers): void {
    if (this.#endsWithConnection && this.#state.connection?.isReset === true) {
      controller.abort(new ExchangeError("cut", "Connection was reset"));
      return;
    }
    this.#inner.onResponseEnd?.(controller, trailers);
  }

  onResponseError(controller: Controller, error: Error): void {
    this.#inner.onResponseError?.(controller, error);
  }
}
