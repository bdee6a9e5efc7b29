import type { Tier } from "../../source/platform/orders_client.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../../source/utilities/random_source.ts";

/** Duration of one step of the simulation. */
export const STEP_SECONDS = 10;

/** Failure domains of the simulation. */
export const FAILURE_DOMAINS: ReadonlyArray<string> = [
  "cluj-a",
  "iasi-b",
  "suceava-c",
];

/** State of the market and the load at one step; the same for every policy. */
export interface MarketStep {
  /** Concurrent requests if all of them are served. */
  readonly load: number;
  /** Failure domains whose cheap servers are all reclaimed at this step. */
  readonly reclaimed: ReadonlyArray<string>;
  /** Whether the platform accepts orders. */
  readonly acceptsOrders: boolean;
  /** Failure domains in which cheap servers are available. */
  readonly cheapDomains: ReadonlyArray<string>;
}

/** Seed, duration and rates of events. */
export interface MarketOptions {
  readonly seed: number;
  readonly days: number;
  /** Reclaims of all cheap servers of a failure domain, per failure domain and day. */
  readonly reclaimsPerDay: number;
  /** Periods per day in which no failure domain has cheap servers available. */
  readonly droughtsPerDay: number;
  /** Outages of the platform per day, in addition to those during a reclaim. */
  readonly outagesPerDay: number;
  /** Share of reclaims, from 0 to 1, with an outage of the platform. */
  readonly outageWithReclaimShare: number;
}

const STEPS_PER_DAY = 86_400 / STEP_SECONDS;
const BASE_LOAD = 20;
const DAILY_SWING = 12;
const BURST_SHARE = 0.5;
const BURSTS_PER_DAY = 4;

/**
 * Generates the market of each step from a seed.
 * @param options - Seed, duration and rates of events.
 * @example
 * ```ts
 * const steps = generateMarket({ seed: 1, days: 7, reclaimsPerDay: 3, ...rest });
 * ```
 */
export function generateMarket(
  options: MarketOptions,
): ReadonlyArray<MarketStep> {
  const random = createRandomSource(options.seed);
  const activeUntil: Record<string, number> = {};
  const isActive = (name: string, step: number): boolean =>
    step < (activeUntil[name] ?? 0);
  let noise = 0;
  return Array.from({ length: options.days * STEPS_PER_DAY }, (_, step) => {
    const reclaimed = FAILURE_DOMAINS.filter(() =>
      occurs(options.reclaimsPerDay, random)
    );
    for (const domain of reclaimed) {
      activeUntil[domain] = step + drawSteps(20, 60, random);
      if (random.next() < options.outageWithReclaimShare) {
        activeUntil["outage"] = step + drawSteps(2, 15, random);
      }
    }
    if (occurs(options.droughtsPerDay, random)) {
      activeUntil["drought"] = step + drawSteps(30, 90, random);
    }
    if (occurs(options.outagesPerDay, random)) {
      activeUntil["outage"] = step + drawSteps(5, 20, random);
    }
    if (occurs(BURSTS_PER_DAY, random)) {
      activeUntil["burst"] = step + drawSteps(5, 15, random);
    }
    noise = 0.98 * noise + (random.next() - 0.5) * 0.04;
    const hour = (2 * Math.PI * step) / STEPS_PER_DAY;
    const burst = isActive("burst", step) ? 1 + BURST_SHARE : 1;
    const load = (BASE_LOAD + DAILY_SWING * Math.sin(hour)) * (1 + noise) *
      burst;
    return {
      load,
      reclaimed,
      acceptsOrders: !isActive("outage", step),
      cheapDomains: isActive("drought", step)
        ? []
        : FAILURE_DOMAINS.filter((domain) => !isActive(domain, step)),
    };
  });
}

/** Price of one server by tier, in millionths of the currency unit per hour. */
export const MICROS_PER_HOUR: Readonly<Record<Tier, number>> = {
  steady: 1_000_000,
  cheap: 300_000,
};

function occurs(timesPerDay: number, random: RandomSource): boolean {
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
