import type { IncomingHttpHeaders } from "node:http";

const MAXIMUM_ENTRIES = 20_000;

/** A request that a stand-in received. */
export interface LoggedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the whole response was sent. */
  finished: boolean;
}

/** Records the most recent requests for the assertions of a test. */
export class RequestLog {
  readonly #entries: LoggedRequest[] = [];

  /** Adds a request; the caller sets its `finished` once the response is sent. */
  add(entry: LoggedRequest): void {
    this.#entries.push(entry);
    if (this.#entries.length > MAXIMUM_ENTRIES) this.#entries.shift();
  }

  /** Returns the requests in the order of receipt. */
  entries(): ReadonlyArray<Readonly<LoggedRequest>> {
    return this.#entries;
  }
}
