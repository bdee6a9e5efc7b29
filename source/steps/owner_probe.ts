import type { Peer } from "../membership/peer_directory.ts";
import type { Clock } from "../utilities/clock.ts";

/** Time without a message from a peer after which the peer is probed. */
const PROBE_THRESHOLD_MILLISECONDS = 2500;
/** Minimum time between the starts of two probes of a peer. */
const PROBE_INTERVAL_MILLISECONDS = 500;
/** Number of probes that fail in a row before a peer counts as unreachable. */
const UNREACHABLE_FAILED_PROBES = 2;

/** Dependencies of the owner probe. */
export interface OwnerProbeOptions {
  readonly clock: Clock;
  /** Sends a small request to a peer; resolves to false when the peer does not respond. */
  readonly canReach: (peer: Peer) => Promise<boolean>;
}

interface ProbeState {
  failedProbes: number;
  /** Monotonic time at which the last probe was started, in milliseconds. */
  lastProbeAt: number;
  isRunning: boolean;
}

/**
 * Probes step owners from which no message has arrived for a while, so that another node can take
 * over a dead owner's step before the owner's facts expire. Declaring a live owner unreachable only
 * makes two nodes generate the same samples.
 * @example
 * ```ts
 * const probe = new OwnerProbe({ clock, canReach });
 * if (probe.isUnreachable(owner)) takeOver(step);
 * ```
 */
export class OwnerProbe {
  readonly #options: OwnerProbeOptions;
  /** Probe states by the name and incarnation of the peer. */
  readonly #states = new Map<string, ProbeState>();

  /** @param options - Clock and probe request. */
  constructor(options: OwnerProbeOptions) {
    this.#options = options;
  }

  /**
   * Returns whether a peer without recent messages has failed several probes in a row, and starts
   * the next probe when it is due.
   * @param peer - The peer.
   */
  isUnreachable(peer: Peer): boolean {
    const name = `${peer.node}/${peer.nodeStart}`;
    if (peer.ageMilliseconds <= PROBE_THRESHOLD_MILLISECONDS) {
      this.#states.delete(name);
      return false;
    }
    const state = this.#states.get(name) ??
      { failedProbes: 0, lastProbeAt: -Infinity, isRunning: false };
    this.#states.set(name, state);
    const now = this.#options.clock.monotonic();
    const isDue = now - state.lastProbeAt >= PROBE_INTERVAL_MILLISECONDS;
    if (isDue && !state.isRunning) void this.#probe(peer, state);
    return state.failedProbes >= UNREACHABLE_FAILED_PROBES;
  }

  async #probe(peer: Peer, state: ProbeState): Promise<void> {
    state.isRunning = true;
    state.lastProbeAt = this.#options.clock.monotonic();
    const isReachable = await this.#options.canReach(peer);
    state.failedProbes = isReachable ? 0 : state.failedProbes + 1;
    state.isRunning = false;
  }
}
