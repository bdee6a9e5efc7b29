import type { ExchangeFailure } from "../backends/http_exchange.ts";
import type { ServerAnswer } from "../backends/server_client.ts";
import { choosePeer } from "../decisions/peer_choice.ts";
import type { NodeRecord } from "../installation/node_record.ts";
import { selectHighCapacityNodes } from "../installation/select_high_capacity_nodes.ts";
import type { ServerPaths } from "../installation/server_paths.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "../utilities/clock.ts";
import type { RandomSource } from "../utilities/random_source.ts";
import type { PeerClient, RelayedRequest } from "./peer_client.ts";

/** Time for which a node that did not answer gets no calls. */
const AVOIDANCE_MILLISECONDS = 2000;

/** A node that forwards calls for this one. */
export interface Peer {
  readonly node: string;
  /** HOST:PORT at which it serves other nodes. */
  readonly address: string;
}

/** Dependencies of a call relay. */
export interface CallRelayOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly random: RandomSource;
  readonly client: PeerClient;
  readonly paths: ServerPaths;
  readonly failureDomain: string;
  /** Whether a failure domain is in this node's region, which calls must not leave. */
  readonly isInRegion: (failureDomain: string) => boolean;
  /** Returns the other running nodes. */
  readonly listOthers: () => ReadonlyArray<NodeRecord>;
}

/** Sends calls through other nodes while this node does not reach the servers. */
export class CallRelay {
  readonly #options: CallRelayOptions;
  /** Monotonic times, in milliseconds, until which nodes that did not answer are avoided. */
  readonly #avoidedUntil = new Map<string, number>();

  /** @param options - The other nodes and the client that reaches them. */
  constructor(options: CallRelayOptions) {
    this.#options = options;
  }

  /** Whether this node is cut off from the servers and another node is known that is not. */
  get isNodeReplaceable(): boolean {
    return this.#options.paths.isCutOff && this.#peers.length > 0;
  }

  /** Whether calls go through other nodes, as this node is cut off and one of them may answer. */
  get isNeeded(): boolean {
    return this.#options.paths.isCutOff && this.#available.length > 0;
  }

  /** Checks, after an attempt has failed or hangs, whether this node reaches the servers. */
  async check(): Promise<void> {
    await this.#options.paths.check();
  }

  /** Whether no server has answered this node since a monotonic time in milliseconds. */
  isQuietSince(time: number): boolean {
    return !this.#options.paths.hasHeardSince(time);
  }

  /** Chooses the node that forwards a call; undefined if there is none. */
  choosePeer(): Peer | undefined {
    const { random, failureDomain } = this.#options;
    const chosen = choosePeer(this.#available, { failureDomain, random });
    if (chosen?.peerAddress === undefined) return undefined;
    return { node: chosen.node, address: chosen.peerAddress };
  }

  /** Sends a call to a node. */
  async send(
    { node, address }: Peer,
    request: RelayedRequest,
    signal: AbortSignal,
  ): Promise<ServerAnswer | ExchangeFailure> {
    const { client, clock, log } = this.#options;
    const answer = await client.open(address, request, {
      signal,
      silenceMilliseconds: Math.max(1, request.budgetMilliseconds),
    });
    if (answer.kind === "answered" || answer.cause === "refused") return answer;
    if (answer.cause !== "cancelled" && answer.cause !== "status") {
      this.#avoidedUntil.set(node, clock.monotonic() + AVOIDANCE_MILLISECONDS);
      const { reason } = answer;
      log.emit("relayFailed", { request: request.identifier, node, reason });
    }
    return answer;
  }

  // The peers without those that did not answer recently.
  get #available(): ReadonlyArray<NodeRecord> {
    const now = this.#options.clock.monotonic();
    for (const [node, until] of this.#avoidedUntil) {
      if (until <= now) this.#avoidedUntil.delete(node);
    }
    return this.#peers.filter(({ node }) => !this.#avoidedUntil.has(node));
  }

  get #peers(): ReadonlyArray<NodeRecord> {
    const { listOthers, isInRegion } = this.#options;
    const usable = listOthers().filter(
      ({ isCutOff, peerAddress, failureDomain }) =>
        !isCutOff && peerAddress !== undefined && isInRegion(failureDomain),
    );
    return selectHighCapacityNodes(usable);
  }
}
