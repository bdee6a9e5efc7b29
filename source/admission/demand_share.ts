import type { OrganisationDemand } from "./use_ledger.ts";

const RISE_DELAY_MILLISECONDS = 2000;
const MEASUREMENT_INTERVAL_MILLISECONDS = 200;

interface ShareMeasurement {
  /** Monotonic time in milliseconds. */
  readonly measuredAt: number;
  readonly share: number;
}

/**
 * Computes this node's share of an organisation's demand. The share falls immediately, and rises
 * only after demand has justified the rise for about 2 s, within which the other nodes' demand
 * arrives here.
 */
export class DemandShare {
  #measurements: ReadonlyArray<ShareMeasurement> = [];

  /** Measures the current demand and returns the share, from 0 to 1. */
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
    let total = demand.localRequestsPerSecond;
    for (const rate of demand.peerRequestsPerSecond.values()) total += rate;
    const equal = 1 / liveNodes;
    this.#add({
      measuredAt: now,
      share: total === 0 ? equal : demand.localRequestsPerSecond / total,
    });
    const lowest = Math.min(...this.#measurements.map(({ share }) => share));
    return this.#coversDelay(now) ? lowest : Math.min(lowest, equal);
  }

  // Merges measurements within one interval into the lowest of them.
  #add(measurement: ShareMeasurement): void {
    const recent = this.#measurements.filter(({ measuredAt }) =>
      measurement.measuredAt - measuredAt <=
        RISE_DELAY_MILLISECONDS + MEASUREMENT_INTERVAL_MILLISECONDS
    );
    const last = recent.at(-1);
    if (
      last !== undefined &&
      measurement.measuredAt - last.measuredAt <
        MEASUREMENT_INTERVAL_MILLISECONDS
    ) {
      const share = Math.min(last.share, measurement.share);
      this.#measurements = [...recent.slice(0, -1), {
        measuredAt: last.measuredAt,
        share,
      }];
      return;
    }
    this.#measurements = [...recent, measurement];
  }

  #coversDelay(now: number): boolean {
    const oldest = this.#measurements[0]?.measuredAt ?? now;
    return now - oldest >=
      RISE_DELAY_MILLISECONDS - MEASUREMENT_INTERVAL_MILLISECONDS;
  }
}
