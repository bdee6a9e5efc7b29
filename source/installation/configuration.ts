/** What may be repeated of a route's requests. */
export type RouteKind =
  | "idempotent"
  | "nonIdempotent"
  | "streaming"
  | "steps";

/** A service with its share of a route's requests. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/** How requests of one host and path prefix are served. */
export interface ServiceRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** At least one service. */
  readonly services: ReadonlyArray<ServiceShare>;
  readonly kind: RouteKind;
  /** Longest time that a request may be kept waiting. */
  readonly timeoutMilliseconds: number;
  /** Time in which an answer earns its full benefit. */
  readonly latencyTargetMilliseconds: number;
  /** Servers to which one request may be sent. */
  readonly maximumAttempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Whether a stream may go on at another server. */
  readonly isResumable: boolean;
  /** Whether one weight version must have made a whole text. */
  readonly isSingleVersion: boolean;
  /** From a step's submission until its samples may be given up. */
  readonly sampleLifeMilliseconds: number;
  /** From a step's submission until its results are due. */
  readonly resultDeadlineMilliseconds: number;
}

/** Bounds and prices of ordering a service's servers. */
export interface ServiceScaling {
  /** Fewest servers in each failure domain. */
  readonly minimum: number;
  /** Most servers in each failure domain. */
  readonly maximum: number;
  /** From an order until the server serves. */
  readonly startMilliseconds: number;
  /** Price of a reclaimable server as a share of another's. */
  readonly reclaimablePrice: number;
  /** Price of a server second by failure domain. */
  readonly domainPrices: ReadonlyMap<string, number>;
}

/** A service and how its servers may be used. */
export interface Service {
  readonly name: string;
  /** Connections that one server takes from all callers together. */
  readonly maximumConnections: number;
  /** Names of the models that its engines serve; empty for a plain service. */
  readonly models: ReadonlyArray<string>;
  /** Requests that one engine runs at once; 0 for a plain service. */
  readonly engineSlots: number;
  /** Absent when its servers can't be ordered. */
  readonly scaling: ServiceScaling | undefined;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** One configuration of the operator, in full. */
export interface Configuration {
  readonly version: number;
  readonly routes: ReadonlyArray<ServiceRoute>;
  readonly services: ReadonlyMap<string, Service>;
  readonly limits: CallerLimits;
  /** Names of organisations by key; undefined when no route needs a key. */
  readonly organisationsByKey: ReadonlyMap<string, string> | undefined;
}

/**
 * Finds the route with the longest prefix that begins a path.
 * @param configuration - The configuration in force.
 * @param host - The request's host, without a port.
 * @param path - The request's path without its query.
 * @example
 * ```ts
 * const route = findRoute(configuration, "a.example", "/orders/7");
 * ```
 */
export function findRoute(
  configuration: Configuration,
  host: string,
  path: string,
): ServiceRoute | undefined {
  let found: ServiceRoute | undefined;
  for (const route of configuration.routes) {
    if (route.host !== host || !path.startsWith(route.pathPrefix)) continue;
    const isLonger = found === undefined ||
      route.pathPrefix.length > found.pathPrefix.length;
    if (isLonger) found = route;
  }
  return found;
}

/**
 * Picks one of a route's services by their weights.
 * @param route - The route.
 * @param draw - From 0 up to but not including 1.
 */
export function pickService(route: ServiceRoute, draw: number): string {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
  let left = draw * total;
  for (const { service, weight } of route.services) {
    left -= weight;
    if (left < 0) return service;
  }
  return route.services.at(-1)?.service ?? "";
}
