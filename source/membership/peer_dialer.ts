import type { NodeContext } from "../context/node_context.ts";
import { choosePeers, type PeerCandidate } from "./peer_choice.ts";
import type { PeerStreams } from "./peer_streams.ts";
import type { Rendezvous } from "./rendezvous.ts";

const CHECK_INTERVAL_MILLISECONDS = 500;
const MINIMUM_BACKOFF_MILLISECONDS = 250;
const MAXIMUM_BACKOFF_MILLISECONDS = 5000;
const MAXIMUM_BACKOFF_DOUBLINGS = 5;
/**
 * Number of consecutive failures after which another candidate is chosen while the address is in
 * backoff.
 */
const FAILURES_BEFORE_REPLACEMENT = 2;
/** Duration above which a stream counts as successful and resets the backoff when it ends. */
const STABLE_MILLISECONDS = 10_000;

/** Options of a peer dialer. */
export interface PeerDialerOptions {
  readonly context: NodeContext;
  readonly streams: PeerStreams;
  readonly rendezvous: Rendezvous;
  readonly candidates: () => ReadonlyArray<PeerCandidate>;
}

interface Backoff {
  /** Number of consecutive failures. */
  readonly failures: number;
  /** Monotonic time at which the address may be dialled again, in milliseconds. */
  readonly until: number;
}

/** Maintains streams to the peers that rendezvous hashing chooses for this node. */
export class PeerDialer {
  readonly #options: PeerDialerOptions;
  readonly #backoffs = new Map<string, Backoff>();

  /** @param options - Candidates, streams and context of the node. */
  constructor(options: PeerDialerOptions) {
    this.#options = options;
  }

  /** Until the node stops, dials the chosen peers that have no stream; then closes all streams. */
  async run(): Promise<void> {
    const { clock, random, stopping } = this.#options.context;
    while (!stopping.aborted) {
      this.#dialMissing();
      const pause = CHECK_INTERVAL_MILLISECONDS * (0.5 + random.next());
      await clock.sleep(pause, stopping);
    }
    this.#options.streams.closeAll();
  }

  #dialMissing(): void {
    const { context, rendezvous, streams } = this.#options;
    const all = this.#options.candidates();
    const usable = all.filter(({ peerAddress }) =>
      !this.#isFailing(peerAddress)
    );
    const chosen = choosePeers(usable, {
      node: context.settings.node,
      streams: context.settings.peerStreams,
      rendezvous,
    });
    const chosenAddresses = new Set(chosen.map((peer) => peer.peerAddress));
    streams.closeDialled((address, node) =>
      !chosenAddresses.has(address) || this.#isRedundant(node)
    );
    for (const peer of chosen) {
      if (streams.isDialled(peer.peerAddress)) continue;
      if (streams.has(peer.node, "accepted")) continue;
      if (this.#isBackedOff(peer.peerAddress)) continue;
      void this.#dial(peer);
    }
    this.#removeUnusedBackoffs(all);
  }

  /**
   * Returns whether the dialled stream to a node is redundant: of two streams between a pair of
   * nodes, only the one dialled by the node with the smaller name is kept.
   */
  #isRedundant(node: string): boolean {
    const isLarger = this.#options.context.settings.node > node;
    return node !== "" && isLarger &&
      this.#options.streams.has(node, "accepted");
  }

  async #dial(peer: PeerCandidate): Promise<void> {
    const { clock, random } = this.#options.context;
    const durationMilliseconds = await this.#options.streams.dial(peer);
    const failures = durationMilliseconds > STABLE_MILLISECONDS
      ? 0
      : (this.#backoffs.get(peer.peerAddress)?.failures ?? 0) + 1;
    const doublings = Math.min(failures, MAXIMUM_BACKOFF_DOUBLINGS);
    const maximumDelay = Math.min(
      MINIMUM_BACKOFF_MILLISECONDS * 2 ** doublings,
      MAXIMUM_BACKOFF_MILLISECONDS,
    );
    const until = clock.monotonic() + maximumDelay * random.next();
    this.#backoffs.set(peer.peerAddress, { failures, until });
  }

  #isBackedOff(address: string): boolean {
    const until = this.#backoffs.get(address)?.until ?? 0;
    return this.#options.context.clock.monotonic() < until;
  }

  #isFailing(address: string): boolean {
    const failures = this.#backoffs.get(address)?.failures ?? 0;
    return failures >= FAILURES_BEFORE_REPLACEMENT &&
      this.#isBackedOff(address);
  }

  #removeUnusedBackoffs(candidates: ReadonlyArray<PeerCandidate>): void {
    const known = new Set(candidates.map(({ peerAddress }) => peerAddress));
    for (const address of this.#backoffs.keys()) {
      if (!known.has(address)) this.#backoffs.delete(address);
    }
  }
}
