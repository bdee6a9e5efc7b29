import type { Clock } from "../utilities/clock.ts";
import { ConnectionPools } from "./connection_pools.ts";
import type { ExchangeOptions } from "./engine_client.ts";
import { pickRequestHeaders } from "./forwarded_headers.ts";
import {
  type ExchangeAnswer,
  type ExchangeFailure,
  openExchange,
} from "./http_exchange.ts";
import type { PlainCall, PlainClient } from "./plain_client.ts";

const REQUEST_IDENTIFIER_HEADER = "x-request-id";

/** Dependencies of a plain client. */
export interface HttpPlainClientOptions {
  readonly clock: Clock;
  /** Connection pools; the client creates its own when absent. */
  readonly pools?: ConnectionPools;
}

/**
 * Client of plain services over HTTP/1.1.
 * @example
 * ```ts
 * const client = new HttpPlainClient({ clock: new SystemClock() });
 * const answer = await client.open("127.0.0.1:8000", call, options);
 * ```
 */
export class HttpPlainClient implements PlainClient {
  readonly #context: { readonly pools: ConnectionPools; readonly clock: Clock };

  /** @param options - Clock and connection pools. */
  constructor(options: HttpPlainClientOptions) {
    this.#context = {
      clock: options.clock,
      pools: options.pools ?? new ConnectionPools(),
    };
  }

  /**
   * Sends a call and waits for the head of its answer.
   * @param address - HOST:PORT of the backend server.
   * @param call - Call to send.
   * @param options - Limits of the exchange.
   * @returns The answer; `unknown` if it names another request; else the failure of the exchange.
   */
  async open(
    address: string,
    call: PlainCall,
    options: ExchangeOptions,
  ): Promise<ExchangeAnswer | ExchangeFailure> {
    const answer = await openExchange(this.#context, {
      address,
      method: call.method,
      path: call.path,
      headers: {
        ...pickRequestHeaders(call.headers),
        [REQUEST_IDENTIFIER_HEADER]: call.requestIdentifier,
      },
      ...(call.body === undefined ? {} : { body: call.body }),
      newConnection: call.newConnection,
    }, options);
    if (answer.kind !== "answered") return answer;
    const echoed = answer.headers[REQUEST_IDENTIFIER_HEADER];
    if (echoed === undefined || echoed === call.requestIdentifier) {
      return answer;
    }
    answer.abandon();
    return {
      kind: "unknown",
      reason: `Answer belongs to request ${echoed}`,
      cause: "untrusted",
    };
  }

  /** Closes all connections and aborts the calls that run on them. */
  async close(): Promise<void> {
    await this.#context.pools.close();
  }
}
