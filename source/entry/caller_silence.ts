import type { RunningExchange } from "./exchange_registry.ts";

const CALLER_PATIENCE = 4;

interface Progress {
  readonly bytes: number;
  readonly at: number;
}

/**
 * Finds exchanges whose caller's connection is silent: the caller stopped sending a body that is waited
 * for, or stopped taking an answer that has been written.
 */
export class CallerSilence {
  readonly #progress = new WeakMap<RunningExchange, Progress>();
  readonly #silenceMilliseconds: number;

  /** @param silenceMilliseconds - How long a near connection may be silent; callers get a multiple of it. */
  constructor(silenceMilliseconds: number) {
    this.#silenceMilliseconds = silenceMilliseconds * CALLER_PATIENCE;
  }

  /**
   * Returns the silent exchanges.
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
    const before = this.#progress.get(exchange);
    const hasMoved = before === undefined || before.bytes !== bytes;
    if (hasMoved || !isCallersTurn(exchange)) {
      this.#progress.set(exchange, { bytes, at: now });
      return false;
    }
    return now - before.at >= this.#silenceMilliseconds;
  }
}

function countBytes({ request }: RunningExchange): number {
  const { socket } = request;
  return socket.bytesRead + socket.bytesWritten - socket.writableLength;
}

function isCallersTurn({ request, response }: RunningExchange): boolean {
  const isBodyAwaited = !request.complete && request.readableLength === 0 &&
    request.readableFlowing === true;
  const isAnswerUntaken = response.writableLength > 0 ||
    request.socket.writableLength > 0;
  return isBodyAwaited || isAnswerUntaken;
}
