import type { ExchangeOptions } from "../backends/engine_client.ts";
import type { ExchangeFailure } from "../backends/http_exchange.ts";
import type { ServerAnswer, ServerRequest } from "../backends/server_client.ts";

/** A call that another node forwards to a server. */
export interface RelayedRequest
  extends Omit<ServerRequest, "organisation" | "budgetMilliseconds"> {
  /** API key of the caller, which the other node checks itself; undefined if it sent none. */
  readonly key: string | undefined;
  readonly budgetMilliseconds: number;
  /** Version of the configuration that this node has applied; the other node refuses the call before it. */
  readonly configurationVersion: number;
}

/** Client for the other nodes, which forward calls to servers that this node can't reach. */
export interface PeerClient {
  /**
   * Sends a call to another node, which makes one attempt at a server.
   * @param address - HOST:PORT at which the node serves other nodes.
   * @param request - The call.
   * @param options - Limits of the exchange.
   */
  open(
    address: string,
    request: RelayedRequest,
    options: ExchangeOptions,
  ): Promise<ServerAnswer | ExchangeFailure>;
}
