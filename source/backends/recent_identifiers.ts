import { LRUCache } from "lru-cache";

/** Time after a request in which a second copy of its response may still arrive. */
const MEMORY_MILLISECONDS = 60_000;
/** Maximum number of requests that are remembered; beyond it, the oldest is forgotten. */
const MAXIMUM_REMEMBERED = 5000;

/** A request whose identifier its caller chose. */
export interface IdentifiedRequest {
  readonly identifier: string;
  readonly organisation?: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly body: Buffer;
}

/**
 * Remembers which requests were sent to which server. Identifiers are unique for one caller only, so
 * of two callers with the same one, the second could get a late copy of the first one's response.
 */
export class RecentIdentifiers {
  readonly #requests = new LRUCache<string, string>({
    max: MAXIMUM_REMEMBERED,
    ttl: MEMORY_MILLISECONDS,
  });

  /**
   * Records a request that is about to be sent.
   * @param address - HOST:PORT of the server.
   * @returns Whether another request with its identifier was sent there recently.
   */
  record(address: string, request: IdentifiedRequest): boolean {
    const { identifier, organisation = "", method, path, body } = request;
    const name = `${address} ${identifier}`;
    const content = [organisation, method, path, body.length].join(" ");
    const known = this.#requests.get(name);
    this.#requests.set(name, content);
    return known !== undefined && known !== content;
  }
}
