import type { IncomingHttpHeaders } from "node:http";
import type { Readable } from "node:stream";
import type { ExchangeOptions } from "./engine_client.ts";
import type { ExchangeAnswer, ExchangeFailure } from "./http_exchange.ts";

/** A call of a plain service. */
export interface PlainCall {
  readonly requestIdentifier: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** The caller's headers; only those on an allow list are sent on. */
  readonly headers: IncomingHttpHeaders;
  /** Absent when the caller sent no body. */
  readonly body?: Buffer | Readable;
  /** Whether to use no connection that served another request. */
  readonly newConnection: boolean;
}

/** Client of plain services. */
export interface PlainClient {
  /** Sends a call and returns the head of the answer, whose body is streamed. */
  open(
    address: string,
    call: PlainCall,
    options: ExchangeOptions,
  ): Promise<ExchangeAnswer | ExchangeFailure>;
}
