import type { NodeContext } from "../context/node_context.ts";
import { choosePeers, type PeerCandidate } from "./peer_choice.ts";
import type { PeerStreams } from "./peer_streams.ts";
import type { Rendezvous } from "./rendezvous.ts";

const CHECK_INTERVAL_MILLISECONDS = 500;
const MINIMUM_BACKOFF_MILLISECONDS = 250;
const MAXIMUM_BACKOFF_MILLISECONDS = 5000;
const MAXIMUM_BACKOFF_DOUBLINGS = 5;
/** Failures in a row after which another candidate is tried instead. */
const FAILURES_BEFORE_REPLACEMENT = 2;
const STABLE_MILLISECONDS = 10_000;

/** What dialling needs. */
export interface PeerDialerOptions {
  readonly context: NodeContext;
  readonly streams: PeerStreams;
  readonly rendezvous: Rendezvous;
  readonly candidates: () => ReadonlyArray<PeerCandidate>;
}

interface Backoff {
  readonly failures: number;
  /** Monotonic time before which the address isn't dialled again, in milliseconds. */
  readonly until: number;
}

/** Keeps streams open to the peers that rendezvous hashing gives this node. */
export class PeerDialer {
  readonly #options: PeerDialerOptions;
  readonly #backoffs = new Map<string, Backoff>();

  /** @param options - Candidates, and where streams are opened. */
  constructor(options: PeerDialerOptions) {
    this.#options = options;
  }

  /** Dials until the node stops. */
  async run(): Promise<void> {
    const { clock, random, stopping } = this.#options.context;
    while (!stopping.aborted) {
      this.#dialMissing();
      const pause = CHECK_INTERVAL_MILLISECONDS * (0.5 + random.next());
      await clock.sleep(pause, stopping);
    }
    this.#options.streams.cutAll();
  }

  #dialMissing(): void {
    const { context, rendezvous, streams } = this.#options;
    const all = this.#options.candidates();
    const usable = all.filter(({ peerAddress }) =>
      !this.#isFailing(peerAddress)
    );
    const wanted = choosePeers(usable, {
      node: context.settings.node,
      streams: context.settings.peerStreams,
      rendezvous,
    });
    const wantedAddresses = new Set(wanted.map((peer) => peer.peerAddress));
    streams.cutDialled((address, node) =>
      !wantedAddresses.has(address) || this.#isRedundant(node)
    );
    for (const peer of wanted) {
      if (streams.isDialled(peer.peerAddress)) continue;
      if (streams.has(peer.node, "accepted")) continue;
      if (this.#isBackedOff(peer.peerAddress)) continue;
      void this.#dial(peer);
    }
    this.#forgetBackoffs(all);
  }

  /** Of two streams between a pair of nodes, the one that the smaller name dialled stays. */
  #isRedundant(node: string): boolean {
    const isLarger = this.#options.context.settings.node > node;
    return node !== "" && isLarger &&
      this.#options.streams.has(node, "accepted");
  }

  async #dial(peer: PeerCandidate): Promise<void> {
    const { clock, random } = this.#options.context;
    const lasted = await this.#options.streams.dial(peer);
    const failures = lasted > STABLE_MILLISECONDS
      ? 0
      : (this.#backoffs.get(peer.peerAddress)?.failures ?? 0) + 1;
    const doublings = Math.min(failures, MAXIMUM_BACKOFF_DOUBLINGS);
    const longest = Math.min(
      MINIMUM_BACKOFF_MILLISECONDS * 2 ** doublings,
      MAXIMUM_BACKOFF_MILLISECONDS,
    );
    const until = clock.monotonic() + longest * random.next();
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

  #forgetBackoffs(candidates: ReadonlyArray<PeerCandidate>): void {
    const known = new Set(candidates.map(({ peerAddress }) => peerAddress));
    for (const address of this.#backoffs.keys()) {
      if (!known.has(address)) this.#backoffs.delete(address);
    }
  }
}
