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
const REFUSED_BEFORE_SENDING: ReadonlyArray<Code> = [Code.Unavailable];

/** A generated client of one node's operators' service. */
export type OperatorServiceClient = Client<typeof OperatorService>;

/** Result of a call to some node. */
export type OperatorOutcome<Value> =
  | { readonly kind: "ok"; readonly value: Value; readonly address: string }
  | { readonly kind: "unavailable"; readonly reason: string };

/** Which nodes are asked, and how. */
export interface OperatorClientOptions {
  /** HOST:PORT of nodes, asked in this order until one answers. */
  readonly addresses: ReadonlyArray<string>;
  readonly secret: string;
  /** Milliseconds until a node counts as silent. */
  readonly timeoutMilliseconds?: number;
  /** Connects to a node; by default over HTTP/2. */
  readonly connect?: (address: string) => Transport;
}

/** Makes one call with a node's client. */
export type OperatorCall<Value> = (
  client: OperatorServiceClient,
) => Promise<Value>;

/**
 * Asks nodes in the operators' name.
 * @example
 * ```ts
 * const client = new OperatorClient({ addresses: ["127.0.0.1:8081"], secret: "" });
 * const outcome = await client.call((node) => node.getStatus({}));
 * ```
 */
export class OperatorClient {
  readonly #options: OperatorClientOptions;
  readonly #clients = new Map<string, OperatorServiceClient>();

  /** @param options - Which nodes are asked. */
  constructor(options: OperatorClientOptions) {
    this.#options = options;
  }

  /**
   * Asks the first node that answers. Use only for calls that may run twice.
   * @param call - The call.
   */
  async call<Value>(
    call: OperatorCall<Value>,
  ): Promise<OperatorOutcome<Value>> {
    const reasons: string[] = [];
    for (const address of this.#options.addresses) {
      const outcome = await this.callNode(address, call);
      if (outcome.kind === "ok") return outcome;
      reasons.push(`${address}: ${outcome.reason}`);
    }
    return { kind: "unavailable", reason: reasons.join("; ") };
  }

  /**
   * Asks one node, and another only when the first was never reached.
   * @param call - The call.
   */
  async callOnce<Value>(
    call: OperatorCall<Value>,
  ): Promise<OperatorOutcome<Value>> {
    const reasons: string[] = [];
    for (const address of this.#options.addresses) {
      const outcome = await this.callNode(address, call);
      if (outcome.kind === "ok") return outcome;
      reasons.push(`${address}: ${outcome.reason}`);
      if (!outcome.wasNeverReached) break;
    }
    return { kind: "unavailable", reason: reasons.join("; ") };
  }

  /**
   * Asks one node.
   * @param address - HOST:PORT of the node.
   * @param call - The call.
   */
  async callNode<Value>(
    address: string,
    call: OperatorCall<Value>,
  ): Promise<
    | { readonly kind: "ok"; readonly value: Value; readonly address: string }
    | {
      readonly kind: "unavailable";
      readonly reason: string;
      readonly wasNeverReached: boolean;
    }
  > {
    try {
      const value = await call(this.#clientOf(address));
      return { kind: "ok", value, address };
    } catch (error) {
      const failure = ConnectError.from(error);
      return {
        kind: "unavailable",
        reason: failure.rawMessage,
        wasNeverReached: REFUSED_BEFORE_SENDING.includes(failure.code) &&
          /ECONNREFUSED/.test(failure.message),
      };
    }
  }

  #clientOf(address: string): OperatorServiceClient {
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
