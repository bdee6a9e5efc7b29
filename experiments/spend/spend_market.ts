import type { Tier } from "../../source/platform/orders_client.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../../source/utilities/random_source.ts";

/** Length of one step of the run. */
export const STEP_SECONDS = 10;

/** Failure domains of the run. */
export const FAILURE_DOMAINS: ReadonlyArray<string> = [
  "cluj-a",
  "iasi-b",
  "suceava-c",
];

/** What the market and the callers do at one step; the same for every policy. */
export interface MarketStep {
  /** Requests that run at once when all are served. */
  readonly load: number;
  /** Failure domains whose cheap servers are all reclaimed now. */
  readonly reclaimed: ReadonlyArray<string>;
  /** Whether the platform takes orders. */
  readonly takesOrders: boolean;
  /** Failure domains where cheap servers can be had. */
  readonly cheapDomains: ReadonlyArray<string>;
}

/** How often things happen. */
export interface MarketOptions {
  readonly seed: number;
  readonly days: number;
  /** Whole-domain reclaims of each failure domain in a day. */
  readonly reclaimsPerDay: number;
  /** Times a day at which no cheap server can be had anywhere for a while. */
  readonly droughtsPerDay: number;
  /** Outages of the platform in a day, besides those that come with a reclaim. */
  readonly outagesPerDay: number;
  /** Share of reclaims during which the platform is away. */
  readonly outageWithReclaimShare: number;
}

const STEPS_PER_DAY = 86_400 / STEP_SECONDS;
const BASE_LOAD = 20;
const DAILY_SWING = 12;
const BURST_SHARE = 0.5;
const BURSTS_PER_DAY = 4;

/**
 * Draws what happens at each step from a seed.
 * @param options - How often things happen.
 * @example
 * ```ts
 * const steps = drawMarket({ seed: 1, days: 7, reclaimsPerDay: 3, ...rest });
 * ```
 */
export function drawMarket(
  options: MarketOptions,
): ReadonlyArray<MarketStep> {
  const random = createRandomSource(options.seed);
  const until: Record<string, number> = {};
  const isOn = (name: string, step: number): boolean =>
    step < (until[name] ?? 0);
  let noise = 0;
  return Array.from({ length: options.days * STEPS_PER_DAY }, (_, step) => {
    const reclaimed = FAILURE_DOMAINS.filter(() =>
      happens(options.reclaimsPerDay, random)
    );
    for (const domain of reclaimed) {
      until[domain] = step + drawSteps(20, 60, random);
      if (random.next() < options.outageWithReclaimShare) {
        until["outage"] = step + drawSteps(2, 15, random);
      }
    }
    if (happens(options.droughtsPerDay, random)) {
      until["drought"] = step + drawSteps(30, 90, random);
    }
    if (happens(options.outagesPerDay, random)) {
      until["outage"] = step + drawSteps(5, 20, random);
    }
    if (happens(BURSTS_PER_DAY, random)) {
      until["burst"] = step + drawSteps(5, 15, random);
    }
    noise = 0.98 * noise + (random.next() - 0.5) * 0.04;
    const hour = (2 * Math.PI * step) / STEPS_PER_DAY;
    const burst = isOn("burst", step) ? 1 + BURST_SHARE : 1;
    const load = (BASE_LOAD + DAILY_SWING * Math.sin(hour)) * (1 + noise) *
      burst;
    return {
      load,
      reclaimed,
      takesOrders: !isOn("outage", step),
      cheapDomains: isOn("drought", step)
        ? []
        : FAILURE_DOMAINS.filter((domain) => !isOn(domain, step)),
    };
  });
}

/** Prices for one server, in millionths of the currency unit an hour. */
export const MICROS_PER_HOUR: Readonly<Record<Tier, number>> = {
  steady: 1_000_000,
  cheap: 300_000,
};

function happens(timesPerDay: number, random: RandomSource): boolean {
  return random.next() < timesPerDay / STEPS_PER_DAY;
}

function drawSteps(
  leastMinutes: number,
  mostMinutes: number,
  random: RandomSource,
): number {
  const minutes = leastMinutes + random.next() * (mostMinutes - leastMinutes);
  return Math.round((minutes * 60) / STEP_SECONDS);
}
