import type { ExchangeOptions } from "../backends/engine_client.ts";
import type { ExchangeFailure } from "../backends/http_exchange.ts";
import type {
  ServerAnswer,
  ServerClient,
  ServerRequest,
  TextEvent,
} from "../backends/server_client.ts";
import type { BackendServerEntry } from "./backend_server_entry.ts";
import type { ServerStarts } from "./server_starts.ts";

/**
 * Client for streams and texts, which go on only at the start of a server that its entry describes.
 * @example
 * ```ts
 * const client = new ContinuationClient({ client: serverClient, serverStarts });
 * const answer = await client.open(server, { ...request, afterEvent: 7 }, options);
 * ```
 */
export class ContinuationClient
  implements Pick<ServerClient, "open" | "readEvents"> {
  readonly #options: {
    readonly client: Pick<ServerClient, "open" | "readEvents">;
    readonly serverStarts: Pick<ServerStarts, "isReplaced">;
  };

  /** @param options - The client of the servers and the check of their starts. */
  constructor(options: {
    readonly client: Pick<ServerClient, "open" | "readEvents">;
    readonly serverStarts: Pick<ServerStarts, "isReplaced">;
  }) {
    this.#options = options;
  }

  /**
   * Sends a request and reads the answer's head.
   * @returns `notRun` also for a request that goes on with a stream at a server that was replaced.
   */
  async open(
    server: BackendServerEntry,
    request: ServerRequest,
    options: ExchangeOptions,
  ): Promise<ServerAnswer | ExchangeFailure> {
    const { client, serverStarts } = this.#options;
    return request.afterEvent !== undefined &&
        await serverStarts.isReplaced(server)
      ? REPLACED
      : await client.open(server, request, options);
  }

  /** Reads the complete events of a generated text; throws when the body ends early. */
  readEvents(body: AsyncIterable<Buffer>): AsyncGenerator<TextEvent> {
    return this.#options.client.readEvents(body);
  }
}

const REPLACED: ExchangeFailure = {
  kind: "notRun",
  reason: "The server has started again under its identifier",
  cause: "refused",
};
