import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { Clock } from "../utilities/clock.ts";
import type { RandomSource } from "../utilities/random_source.ts";

const FIRST_REST_MILLISECONDS = 250;
const LONGEST_REST_MILLISECONDS = 4000;
const DURATION_WEIGHT = 0.2;
const FIRST_DURATION_MILLISECONDS = 50;
/** A request sent to another failure domain costs its bytes; a tie goes to the own one. */
const OTHER_DOMAIN_FACTOR = 1.3;
/** A new connection has its price, and holds a place of the server for a moment. */
const NEW_CONNECTION_FACTOR = 1.4;

interface Use {
  running: number;
  failures: number;
  restUntil: number;
  milliseconds: number;
}

/** What server use works with. */
export interface ServerUseOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly failureDomain: string;
  /** Whether a request could be sent without opening a connection. */
  readonly isConnected: (server: BackendServerEntry) => boolean;
}

/**
 * What this node knows of servers from its own requests: how many run there, how long they take,
 * and which servers failed lately.
 */
export class ServerUse {
  readonly #options: ServerUseOptions;
  readonly #uses = new Map<string, Use>();

  /** @param options - Time, randomness and the node's place. */
  constructor(options: ServerUseOptions) {
    this.#options = options;
  }

  /** Requests of this node that run at a server. */
  running(identifier: string): number {
    return this.#uses.get(identifier)?.running ?? 0;
  }

  /** Whether a server failed lately and should get no request while others are free. */
  isResting(identifier: string): boolean {
    const use = this.#uses.get(identifier);
    return use !== undefined && use.restUntil > this.#options.clock.monotonic();
  }

  /** Notes that a request was sent. */
  begin(identifier: string): void {
    this.#use(identifier).running += 1;
  }

  /** Notes that a request has ended, whatever its outcome. */
  end(identifier: string): void {
    this.#use(identifier).running -= 1;
  }

  /** Notes a whole answer and how long it took. */
  noteSuccess(identifier: string, milliseconds: number): void {
    const use = this.#use(identifier);
    use.failures = 0;
    use.restUntil = 0;
    use.milliseconds += DURATION_WEIGHT * (milliseconds - use.milliseconds);
  }

  /** Notes that an answer is at least so late, so that a slow server is seen before it answers. */
  noteSlow(identifier: string, milliseconds: number): void {
    const use = this.#use(identifier);
    if (milliseconds <= use.milliseconds) return;
    use.milliseconds += DURATION_WEIGHT * (milliseconds - use.milliseconds);
  }

  /** Notes a failure; the server rests, longer each time in a row. */
  noteFailure(identifier: string): void {
    const use = this.#use(identifier);
    const rest = FIRST_REST_MILLISECONDS * 2 ** use.failures;
    use.failures += 1;
    use.restUntil = this.#options.clock.monotonic() +
      Math.min(rest, LONGEST_REST_MILLISECONDS);
  }

  /**
   * Picks the server that is likely to answer first.
   * @param servers - Servers that may be used.
   * @returns The server; undefined when there is none.
   */
  pick(
    servers: ReadonlyArray<BackendServerEntry>,
  ): BackendServerEntry | undefined {
    const rested = servers.filter(({ identifier }) =>
      !this.isResting(identifier)
    );
    const candidates = rested.length > 0 ? rested : servers;
    let best: BackendServerEntry | undefined;
    let lowest = Infinity;
    for (const server of candidates) {
      const cost = this.#cost(server);
      if (cost < lowest) [best, lowest] = [server, cost];
    }
    return best;
  }

  /** Forgets servers that are gone. */
  forget(isKnown: (identifier: string) => boolean): void {
    for (const [identifier, use] of this.#uses) {
      if (use.running === 0 && !isKnown(identifier)) {
        this.#uses.delete(identifier);
      }
    }
  }

  #cost(server: BackendServerEntry): number {
    const { failureDomain, random, isConnected } = this.#options;
    const use = this.#uses.get(server.identifier);
    const running = use?.running ?? 0;
    const milliseconds = use?.milliseconds ?? FIRST_DURATION_MILLISECONDS;
    const waiting = 1 + running / server.slots;
    const domain = server.failureDomain === failureDomain
      ? 1
      : OTHER_DOMAIN_FACTOR;
    // Spreads first requests of many nodes, which know nothing of one another.
    const spread = 1 + 0.2 * random.next();
    const connection = isConnected(server) ? 1 : NEW_CONNECTION_FACTOR;
    return milliseconds * waiting * domain * connection * spread;
  }

  #use(identifier: string): Use {
    let use = this.#uses.get(identifier);
    if (use === undefined) {
      use = {
        running: 0,
        failures: 0,
        restUntil: 0,
        milliseconds: FIRST_DURATION_MILLISECONDS,
      };
      this.#uses.set(identifier, use);
    }
    return use;
  }
}
