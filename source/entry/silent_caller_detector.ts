import type { RunningExchange } from "./exchange_registry.ts";

const CALLER_SILENCE_FACTOR = 4;

interface Progress {
  /** Number of bytes that passed through the caller's connection in both directions. */
  readonly bytes: number;
  /**
   * Monotonic time of the last check at which the number had changed or the caller was not awaited,
   * in milliseconds.
   */
  readonly at: number;
}

/**
 * Finds exchanges whose caller makes no progress: the caller stopped sending a body that the node is reading, or
 * stopped reading a response that the node has written.
 */
export class SilentCallerDetector {
  readonly #progress = new WeakMap<RunningExchange, Progress>();
  readonly #silenceMilliseconds: number;

  /**
   * @param silenceMilliseconds - Longest silence of a connection inside the deployment, in milliseconds; callers
   * may be silent for CALLER_SILENCE_FACTOR times as long.
   */
  constructor(silenceMilliseconds: number) {
    this.#silenceMilliseconds = silenceMilliseconds * CALLER_SILENCE_FACTOR;
  }

  /**
   * Returns the exchanges whose caller is silent.
   * @param exchanges - All running exchanges.
   * @param now - Monotonic time in milliseconds.
   */
  find(
    exchanges: ReadonlyArray<RunningExchange>,
    now: number,
  ): ReadonlyArray<RunningExchange> {
    return exchanges.filter((exchange) => this.#isSilent(exchange, now));
  }

  #isSilent(exchange: RunningExchange, now: number): boolean {
    const bytes = countBytes(exchange);
    const previous = this.#progress.get(exchange);
    const hasProgressed = previous === undefined || previous.bytes !== bytes;
    if (hasProgressed || !isWaitingForCaller(exchange)) {
      this.#progress.set(exchange, { bytes, at: now });
      return false;
    }
    return now - previous.at >= this.#silenceMilliseconds;
  }
}

function countBytes({ request }: RunningExchange): number {
  const { socket } = request;
  return socket.bytesRead + socket.bytesWritten - socket.writableLength;
}

function isWaitingForCaller({ request, response }: RunningExchange): boolean {
  const isBodyAwaited = !request.complete && request.readableLength === 0 &&
    request.readableFlowing === true;
  const isResponseUnread = response.writableLength > 0 ||
    request.socket.writableLength > 0;
  return isBodyAwaited || isResponseUnread;
}
