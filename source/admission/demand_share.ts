import type { OrganisationDemand } from "./use_ledger.ts";

const RISE_DELAY_MILLISECONDS = 2000;
const SAMPLE_INTERVAL_MILLISECONDS = 200;

interface ShareSample {
  readonly at: number;
  readonly share: number;
}

/**
 * Computes this node's share of an organisation's demand. The share rises only after demand justified
 * it for a whole delay, within which the other nodes' demand arrives here, and falls immediately.
 */
export class DemandShare {
  #samples: ReadonlyArray<ShareSample> = [];

  /** Samples the current demand and returns the share, from 0 to 1. */
  update(
    options: {
      readonly demand: OrganisationDemand;
      /** Monotonic time in milliseconds. */
      readonly now: number;
      /** Number of live nodes, this one included. */
      readonly liveNodes: number;
    },
  ): number {
    const { demand, now, liveNodes } = options;
    let total = demand.localRate;
    for (const rate of demand.peerRates.values()) total += rate;
    const equal = 1 / liveNodes;
    this.#add({
      at: now,
      share: total === 0 ? equal : demand.localRate / total,
    });
    const lowest = Math.min(...this.#samples.map(({ share }) => share));
    return this.#coversDelay(now) ? lowest : Math.min(lowest, equal);
  }

  // Samples within one interval are merged into the lowest of them.
  #add(sample: ShareSample): void {
    const recent = this.#samples.filter(({ at }) =>
      sample.at - at <= RISE_DELAY_MILLISECONDS + SAMPLE_INTERVAL_MILLISECONDS
    );
    const last = recent.at(-1);
    if (
      last !== undefined && sample.at - last.at < SAMPLE_INTERVAL_MILLISECONDS
    ) {
      const share = Math.min(last.share, sample.share);
      this.#samples = [...recent.slice(0, -1), { at: last.at, share }];
      return;
    }
    this.#samples = [...recent, sample];
  }

  #coversDelay(now: number): boolean {
    const oldest = this.#samples[0]?.at ?? now;
    return now - oldest >=
      RISE_DELAY_MILLISECONDS - SAMPLE_INTERVAL_MILLISECONDS;
  }
}
