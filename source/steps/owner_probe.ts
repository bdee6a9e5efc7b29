import type { Peer } from "../membership/peer_directory.ts";
import type { Clock } from "../utilities/clock.ts";

const QUIET_MILLISECONDS = 2500;
const PROBE_INTERVAL_MILLISECONDS = 500;
const FAILED_PROBES = 2;

/** How owners are asked. */
export interface OwnerProbeOptions {
  readonly clock: Clock;
  /** Asks a peer for anything small; false when it did not answer. */
  readonly ask: (peer: Peer) => Promise<boolean>;
}

interface ProbeState {
  failed: number;
  lastAt: number;
  isRunning: boolean;
}

/**
 * Asks owners of steps that have been quiet for a while whether they are there, so that a dead
 * owner's step need not wait until the owner's facts expire. A wrong verdict only costs tokens.
 * @example
 * ```ts
 * const probe = new OwnerProbe({ clock, ask: (peer) => canReach(peer) });
 * if (probe.isGone(owner)) takeOver(step);
 * ```
 */
export class OwnerProbe {
  readonly #options: OwnerProbeOptions;
  readonly #states = new Map<string, ProbeState>();

  /** @param options - How owners are asked. */
  constructor(options: OwnerProbeOptions) {
    this.#options = options;
  }

  /**
   * Returns whether a quiet peer has left several questions unanswered. Asks it when that is due.
   * @param peer - The peer.
   */
  isGone(peer: Peer): boolean {
    const name = `${peer.node}/${peer.nodeStart}`;
    if (peer.ageMilliseconds <= QUIET_MILLISECONDS) {
      this.#states.delete(name);
      return false;
    }
    const state = this.#states.get(name) ??
      { failed: 0, lastAt: -Infinity, isRunning: false };
    this.#states.set(name, state);
    const now = this.#options.clock.monotonic();
    const isDue = now - state.lastAt >= PROBE_INTERVAL_MILLISECONDS;
    if (isDue && !state.isRunning) void this.#probe(peer, state);
    return state.failed >= FAILED_PROBES;
  }

  async #probe(peer: Peer, state: ProbeState): Promise<void> {
    state.isRunning = true;
    state.lastAt = this.#options.clock.monotonic();
    const isThere = await this.#options.ask(peer);
    state.failed = isThere ? 0 : state.failed + 1;
    state.isRunning = false;
  }
}
