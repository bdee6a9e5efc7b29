import {
  type Client,
  Code,
  ConnectError,
  createClient,
  type Transport,
} from "@connectrpc/connect";
import { createGrpcTransport } from "@connectrpc/connect-node";
import { SECRET_HEADER } from "../membership/peer_connection.ts";
import { OperatorService } from "../../generated/snipepath/v1/operator_pb.ts";

const CALL_TIMEOUT_MILLISECONDS = 15_000;
const CONNECTION_REFUSED_CODES: ReadonlyArray<Code> = [Code.Unavailable];

/** Generated client of the operator service of one node. */
export type OperatorServiceClient = Client<typeof OperatorService>;

/** Response of a node. */
export interface NodeAnswer<Value> {
  readonly kind: "ok";
  readonly value: Value;
  /** HOST:PORT of the node that responded. */
  readonly address: string;
}

/** Failure of a call to a node. */
export interface NodeUnavailable {
  readonly kind: "unavailable";
  readonly reason: string;
  /** Whether the node refused the connection, so that the call can't have had an effect. */
  readonly wasNeverReached: boolean;
}

/** Result of a call to any of several nodes. */
export type OperatorOutcome<Value> =
  | NodeAnswer<Value>
  | { readonly kind: "unavailable"; readonly reason: string };

/** Nodes to call, and connection options. */
export interface OperatorClientOptions {
  /** HOST:PORT of each node; the client tries them in this order. */
  readonly addresses: ReadonlyArray<string>;
  readonly secret: string;
  /** Timeout of a call, in milliseconds; 15,000 when absent. */
  readonly timeoutMilliseconds?: number;
  /** Creates the transport to a node; gRPC over HTTP/2 by default. */
  readonly connect?: (address: string) => Transport;
}

/** Makes one call with the client of a node. */
export type OperatorCall<Value> = (
  client: OperatorServiceClient,
) => Promise<Value>;

/**
 * Calls the operator service of nodes.
 * @example
 * ```ts
 * const client = new OperatorClient({ addresses: ["127.0.0.1:8081"], secret: "" });
 * const outcome = await client.call((node) => node.getStatus({}));
 * ```
 */
export class OperatorClient {
  readonly #options: OperatorClientOptions;
  readonly #clients = new Map<string, OperatorServiceClient>();

  /** @param options - Nodes to call, and connection options. */
  constructor(options: OperatorClientOptions) {
    this.#options = options;
  }

  /**
   * Calls the nodes in turn until one responds. Several nodes may run the call, so it must be safe
   * to repeat.
   * @param call - Call to make.
   */
  call<Value>(call: OperatorCall<Value>): Promise<OperatorOutcome<Value>> {
    return this.#callInTurn(call, () => true);
  }

  /**
   * Calls the nodes in turn until one does not refuse the connection, so that at most one node
   * receives the call.
   * @param call - Call to make.
   */
  callOnce<Value>(call: OperatorCall<Value>): Promise<OperatorOutcome<Value>> {
    return this.#callInTurn(call, (failure) => failure.wasNeverReached);
  }

  /**
   * Calls one node.
   * @param address - HOST:PORT of the node.
   * @param call - Call to make.
   */
  async callNode<Value>(
    address: string,
    call: OperatorCall<Value>,
  ): Promise<NodeAnswer<Value> | NodeUnavailable> {
    try {
      const value = await call(this.#getClient(address));
      return { kind: "ok", value, address };
    } catch (error) {
      const failure = ConnectError.from(error);
      return {
        kind: "unavailable",
        reason: failure.rawMessage,
        wasNeverReached: CONNECTION_REFUSED_CODES.includes(failure.code) &&
          /ECONNREFUSED/.test(failure.message),
      };
    }
  }

  async #callInTurn<Value>(
    call: OperatorCall<Value>,
    mayTryNext: (failure: NodeUnavailable) => boolean,
  ): Promise<OperatorOutcome<Value>> {
    const reasons: string[] = [];
    for (const address of this.#options.addresses) {
      const outcome = await this.callNode(address, call);
      if (outcome.kind === "ok") return outcome;
      reasons.push(`${address}: ${outcome.reason}`);
      if (!mayTryNext(outcome)) break;
    }
    return { kind: "unavailable", reason: reasons.join("; ") };
  }

  #getClient(address: string): OperatorServiceClient {
    const known = this.#clients.get(address);
    if (known !== undefined) return known;
    const connect = this.#options.connect ?? ((to) => this.#connect(to));
    const client = createClient(OperatorService, connect(address));
    this.#clients.set(address, client);
    return client;
  }

  #connect(address: string): Transport {
    return createGrpcTransport({
      baseUrl: `http://${address}`,
      defaultTimeoutMs: this.#options.timeoutMilliseconds ??
        CALL_TIMEOUT_MILLISECONDS,
      idleConnectionTimeoutMs: 1,
      interceptors: [(next) => (request) => {
        request.header.set(SECRET_HEADER, this.#options.secret);
        return next(request);
      }],
    });
  }
}
