import type { OrganisationDemand } from "./use_ledger.ts";

const RISE_DELAY_MILLISECONDS = 2000;
const SAMPLE_MILLISECONDS = 200;

interface ShareSample {
  readonly at: number;
  readonly share: number;
}

/**
 * This node's part of an organisation's demand. It rises only after it was wanted for a whole delay,
 * in which the other nodes' demand is heard, and falls at once.
 */
export class DemandShare {
  #samples: ReadonlyArray<ShareSample> = [];

  /** Takes the present demand in and returns the share, from 0 to 1. */
  update(
    options: {
      readonly demand: OrganisationDemand;
      /** Monotonic time in milliseconds. */
      readonly now: number;
      /** Live nodes, this one included. */
      readonly liveNodes: number;
    },
  ): number {
    const { demand, now, liveNodes } = options;
    let total = demand.here;
    for (const rate of demand.elsewhere.values()) total += rate;
    const equal = 1 / liveNodes;
    this.#add({ at: now, share: total === 0 ? equal : demand.here / total });
    const least = Math.min(...this.#samples.map(({ share }) => share));
    return this.#coversDelay(now) ? least : Math.min(least, equal);
  }

  // Samples of a short interval are kept as their least one.
  #add(sample: ShareSample): void {
    const recent = this.#samples.filter(({ at }) =>
      sample.at - at <= RISE_DELAY_MILLISECONDS + SAMPLE_MILLISECONDS
    );
    const last = recent.at(-1);
    if (last !== undefined && sample.at - last.at < SAMPLE_MILLISECONDS) {
      const share = Math.min(last.share, sample.share);
      this.#samples = [...recent.slice(0, -1), { at: last.at, share }];
      return;
    }
    this.#samples = [...recent, sample];
  }

  #coversDelay(now: number): boolean {
    const oldest = this.#samples[0]?.at ?? now;
    return now - oldest >= RISE_DELAY_MILLISECONDS - SAMPLE_MILLISECONDS;
  }
}
