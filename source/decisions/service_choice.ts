/** Wait for a free engine of one service after which a sample may use another one of its route. */
const PATIENCE_MILLISECONDS = 1000;

/** A service among which a route is split, and what a sample finds there. */
export interface SplitService {
  readonly service: string;
  /** Share of the route's requests, relative to the other services. */
  readonly weight: number;
  /** Whether the service has engines that the sample may use, free or not. */
  readonly isUsable: boolean;
  /** Whether one of them is free. */
  readonly hasFree: boolean;
}

/**
 * Selects one of several shares with a probability proportional to its weight.
 * @param shares - The shares; negative weights count as 0.
 * @param draw - Random number from 0 up to but not including 1.
 * @returns The share; the last one if no weight is above 0, undefined without shares.
 * @example
 * ```ts
 * selectShare([{ service: "a", weight: 25 }, { service: "b", weight: 75 }], 0.3)?.service; // "b"
 * ```
 */
export function selectShare<Share extends { readonly weight: number }>(
  shares: ReadonlyArray<Share>,
  draw: number,
): Share | undefined {
  const total = shares.reduce(
    (sum, { weight }) => sum + Math.max(0, weight),
    0,
  );
  let remaining = draw * total;
  for (const share of shares) {
    remaining -= Math.max(0, share.weight);
    if (remaining < 0) return share;
  }
  return shares.at(-1);
}

/**
 * Whether a request that waits at a service of its route must choose anew.
 *
 * Load pattern: a configuration splits the route, takes a service's weight away, or the servers of one
 * service leave, while requests wait for a slot there.
 * @param services - The services of the route that is in force.
 * @param wait - The service at which the request waits, and which services have usable servers.
 * @returns Whether the route gives the service nothing any more, or it has no usable server while
 * another one has.
 * @example
 * ```ts
 * const services = [{ service: "a", weight: 0 }, { service: "b", weight: 1 }];
 * mustLeaveService(services, { current: "a", isUsable: () => true }); // true
 * ```
 */
export function mustLeaveService(
  services: ReadonlyArray<Pick<SplitService, "service" | "weight">>,
  { current, isUsable }: {
    readonly current: string;
    readonly isUsable: (service: string) => boolean;
  },
): boolean {
  const weighted = services.filter(({ weight }) => weight > 0);
  const eligible = weighted.length > 0 ? weighted : services;
  if (!eligible.some(({ service }) => service === current)) return true;
  return !isUsable(current) &&
    eligible.some(({ service }) => isUsable(service));
}

/**
 * Chooses the service at which a sample of a split route waits for an engine.
 *
 * Load pattern: a step has more samples than one of the services has slots, while others are idle; or
 * the engines of one service leave. Samples are divided by the weights. One that has found no free
 * engine for a while uses a free one of another service, so that no slot is idle while samples wait.
 * @param services - The services of the route.
 * @param sample - Number from 0 up to 1 that is drawn for the sample's group, whose samples share a
 * prompt; how long the sample has waited; and the service that began its text, if any.
 * @returns The service; undefined if the route has none.
 * @example
 * ```ts
 * const service = chooseService(services, { draw: 0.3, waitedMilliseconds: 0, begunAt: undefined });
 * ```
 */
export function chooseService(
  services: ReadonlyArray<SplitService>,
  { draw, waitedMilliseconds, begunAt }: {
    readonly draw: number;
    readonly waitedMilliseconds: number;
    readonly begunAt: string | undefined;
  },
): string | undefined {
  const weighted = services.filter(({ weight }) => weight > 0);
  const usable = weighted.filter(({ isUsable }) => isUsable);
  const eligible = usable.length > 0 ? usable : weighted;
  const preferred = eligible.find(({ service }) => service === begunAt) ??
    selectShare(eligible, draw) ?? services.at(-1);
  if (preferred === undefined || preferred.hasFree) return preferred?.service;
  if (waitedMilliseconds < PATIENCE_MILLISECONDS) return preferred.service;
  const free = eligible.filter(({ hasFree }) => hasFree);
  return (selectShare(free, draw) ?? preferred).service;
}
