import type { IncomingMessage, ServerResponse } from "node:http";

const WINDOW_MILLISECONDS = 4000;

/** A request that arrived at a stand-in for a server. */
export interface ArrivedRequest {
  /** Monotonic time, in milliseconds. */
  readonly at: number;
  readonly path: string;
  /** Whether it goes on with a stream or text after its first event. */
  readonly isContinuation: boolean;
}

/**
 * The limit of a stand-in for a server, which names it in each answer and refuses what exceeds it.
 */
export class RequestLimit {
  /** Requests a second that the server accepts; undefined without a limit. */
  requestsPerSecond: number | undefined;
  /** Monotonic times of all requests that arrived, in milliseconds. */
  readonly arrivals: number[] = [];
  /** All requests that arrived, in order. */
  readonly requests: ArrivedRequest[] = [];
  #tokens = 1;
  #filledAt = performance.now();

  /**
   * Names the limit in the response, and refuses the request if it exceeds the limit.
   * @returns Whether the request may run.
   */
  admit(request: IncomingMessage, response: ServerResponse): boolean {
    const now = performance.now();
    this.arrivals.push(now);
    this.requests.push({
      at: now,
      path: request.url ?? "",
      isContinuation: "last-event-id" in request.headers,
    });
    const { requestsPerSecond } = this;
    if (requestsPerSecond === undefined) return true;
    response.setHeader("server-limit", String(requestsPerSecond));
    const earned = (now - this.#filledAt) / 1000 * requestsPerSecond;
    this.#tokens = Math.min(1 + requestsPerSecond, this.#tokens + earned);
    this.#filledAt = now;
    if (this.#tokens >= 1) {
      this.#tokens -= 1;
      return true;
    }
    response.writeHead(503, {
      "not-executed": "1",
      "request-id": String(request.headers["request-id"]),
    }).end();
    return false;
  }

  /** Returns the largest number of requests in a window that starts at `from` or later; 4 s if absent. */
  findBusiestWindow(from: number, milliseconds = WINDOW_MILLISECONDS): number {
    const late = this.arrivals.filter((time) => time >= from);
    const counts = late.map((start) =>
      late.filter((time) => time >= start && time < start + milliseconds)
        .length
    );
    return Math.max(0, ...counts);
  }
}

/** Returns the largest number of requests in 4 s that a server with a limit may get. */
export function toAllowedRequests(requestsPerSecond: number): number {
  return 1.5 * requestsPerSecond * WINDOW_MILLISECONDS / 1000 + 5;
}
