import { LRUCache } from "lru-cache";

/** Time after a request in which a second copy of its response may still arrive. */
const MEMORY_MILLISECONDS = 60_000;
/** Maximum number of requests that are remembered; beyond it, the oldest is forgotten. */
const MAXIMUM_REMEMBERED = 10_000;

/** What earlier sends of a request mean for the response to the next one. */
export type SendDoubt =
  /** The identifier was not sent to the server recently, so it names the response. */
  | "none"
  /** All earlier sends were refused, so a refusal may be a second copy of an earlier one. */
  | "ofRefusals"
  /** Any response may be a second copy of an earlier one, so the send needs a new connection. */
  | "ofAll";

/** The sends of requests with one identifier to one server. */
interface KnownSends {
  readonly sends: number;
  /** Number of those that the server has refused. */
  readonly refusals: number;
}

/**
 * Remembers which identifiers were sent to which server.
 *
 * An identifier names a request and not one send of it: a server may get a request again, and callers
 * may choose equal identifiers. So a late second copy of the response to one send could pass for the
 * response to the next one on the same connection.
 */
export class RecentIdentifiers {
  readonly #known = new LRUCache<string, KnownSends>({
    max: MAXIMUM_REMEMBERED,
    ttl: MEMORY_MILLISECONDS,
  });

  /**
   * Records a request that is about to be sent.
   * @param address - HOST:PORT of the server.
   * @param identifier - Identifier by which the response names the request.
   */
  recordSend(address: string, identifier: string): SendDoubt {
    const name = toName(address, identifier);
    const known = this.#known.get(name);
    const { sends, refusals } = known ?? { sends: 0, refusals: 0 };
    this.#known.set(name, { sends: sends + 1, refusals });
    if (sends === 0) return "none";
    return sends > refusals ? "ofAll" : "ofRefusals";
  }

  /** Records that the server has refused the last request that was sent with an identifier. */
  recordRefusal(address: string, identifier: string): void {
    const name = toName(address, identifier);
    const known = this.#known.get(name);
    if (known === undefined) return;
    this.#known.set(name, { ...known, refusals: known.refusals + 1 });
  }
}

function toName(address: string, identifier: string): string {
  return `${address} ${identifier}`;
}
