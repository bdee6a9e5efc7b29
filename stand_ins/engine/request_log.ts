import type { IncomingHttpHeaders } from "node:http";

const MAXIMUM_ENTRIES = 20_000;

/** A request that a stand-in has seen. */
export interface LoggedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer was sent whole. */
  finished: boolean;
}

/** Keeps the newest requests seen, for checkers. */
export class RequestLog {
  readonly #entries: LoggedRequest[] = [];

  /** Adds a request; its `finished` is set later. */
  add(entry: LoggedRequest): void {
    this.#entries.push(entry);
    if (this.#entries.length > MAXIMUM_ENTRIES) this.#entries.shift();
  }

  /** Returns the requests in the order of their arrival. */
  entries(): ReadonlyArray<Readonly<LoggedRequest>> {
    return this.#entries;
  }
}
