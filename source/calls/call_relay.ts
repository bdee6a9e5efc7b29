import type { ExchangeFailure } from "../backends/http_exchange.ts";
import type { ServerAnswer } from "../backends/server_client.ts";
import {
  type AllowedRegions,
  selectBodyReceivers,
} from "../decisions/allowed_regions.ts";
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
  /** This node's region, which is assumed to be that of its callers. */
  readonly region: string;
  /**
   * Whether a failure domain is in this node's region, which only calls with a list of allowed regions
   * may leave.
   */
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

  /**
   * Whether a call goes through another node, as this node is cut off and one of them may answer.
   * @param allowed - Regions that the call may use; undefined for any.
   */
  isNeededFor(allowed?: AllowedRegions): boolean {
    return this.#options.paths.isCutOff &&
      this.#listAvailable(allowed).length > 0;
  }

  /** Checks, after an attempt has failed or hangs, whether this node reaches the servers. */
  async check(): Promise<void> {
    await this.#options.paths.check();
  }

  /** Whether no server has answered this node since a monotonic time in milliseconds. */
  isQuietSince(time: number): boolean {
    return !this.#options.paths.hasHeardSince(time);
  }

  /**
   * Chooses the node that forwards a call; undefined if there is none.
   * @param allowed - Regions that the call may use; undefined for any.
   */
  choosePeer(allowed?: AllowedRegions): Peer | undefined {
    const { random, failureDomain } = this.#options;
    const chosen = choosePeer(this.#listAvailable(allowed), {
      failureDomain,
      random,
    });
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
  #listAvailable(
    allowed: AllowedRegions | undefined,
  ): ReadonlyArray<NodeRecord> {
    const now = this.#options.clock.monotonic();
    for (const [node, until] of this.#avoidedUntil) {
      if (until <= now) this.#avoidedUntil.delete(node);
    }
    const isAvailable = ({ node }: NodeRecord): boolean =>
      !this.#avoidedUntil.has(node);
    return allowed === undefined
      ? this.#peers.filter(isAvailable)
      : this.#selectReceivers(allowed, this.#reachable.filter(isAvailable));
  }

  // Calls with a list stay in this node's region if the list allows it and a node is left there.
  #selectReceivers(
    allowed: AllowedRegions,
    nodes: ReadonlyArray<NodeRecord>,
  ): ReadonlyArray<NodeRecord> {
    const { isInRegion, region: callerRegion } = this.#options;
    const receivers = selectBodyReceivers(nodes, { allowed, callerRegion });
    const near = receivers.filter(({ failureDomain }) =>
      isInRegion(failureDomain)
    );
    return selectHighCapacityNodes(near.length > 0 ? near : receivers);
  }

  get #reachable(): ReadonlyArray<NodeRecord> {
    return this.#options.listOthers().filter(({ isCutOff, peerAddress }) =>
      !isCutOff && peerAddress !== undefined
    );
  }

  get #peers(): ReadonlyArray<NodeRecord> {
    const { isInRegion } = this.#options;
    return selectHighCapacityNodes(
      this.#reachable.filter(({ failureDomain }) => isInRegion(failureDomain)),
    );
  }
}
