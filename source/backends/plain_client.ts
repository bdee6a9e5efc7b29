import type { IncomingHttpHeaders } from "node:http";
import type { Readable } from "node:stream";
import type { ExchangeOptions } from "./engine_client.ts";
import type { ExchangeAnswer, ExchangeFailure } from "./http_exchange.ts";

/** A call to a plain service. */
export interface PlainCall {
  readonly requestIdentifier: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Headers of the caller; only those on an allow list are forwarded. */
  readonly headers: IncomingHttpHeaders;
  /** Absent when the caller sent no body. */
  readonly body?: Buffer | Readable;
  /** Whether the call must open a new connection. */
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
