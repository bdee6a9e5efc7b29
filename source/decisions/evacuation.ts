import { toRetryAfter } from "./call_admission.ts";

/**
 * Time after which a caller of an evacuated service may return. An evacuation lasts for minutes as a
 * rule, and nodes see its end within about 1 s.
 */
const RETRY_MILLISECONDS = 1000;

/** The part of a server that decides whether an evacuation takes it away from its service. */
export interface EvacuableServer {
  readonly failureDomain: string;
  /** Whether the server takes requests, apart from evacuations. */
  readonly takesRequests: boolean;
}

/**
 * Whether evacuations are the reason that no server of a service takes requests.
 *
 * Load pattern: an operator evacuates the only failure domains of a service while its callers go on.
 * Waiting does not help them, unlike callers of servers that are restarted, so they are refused at
 * once.
 * @param servers - All registered servers of the service.
 * @param evacuatedDomains - Names of the evacuated failure domains.
 * @example
 * ```ts
 * const isEvacuated = isServiceEvacuated(servers, operator.evacuatedDomains);
 * ```
 */
export function isServiceEvacuated(
  servers: ReadonlyArray<EvacuableServer>,
  evacuatedDomains: ReadonlySet<string>,
): boolean {
  const available = servers.filter(({ takesRequests }) => takesRequests);
  return available.length > 0 &&
    available.every(({ failureDomain }) => evacuatedDomains.has(failureDomain));
}

/**
 * Returns the delay after which a refused caller of an evacuated service may return, in milliseconds.
 *
 * Load pattern: all callers of a service are refused in the same moment, so their returns are spread.
 * @param draw - Random number from 0 up to but not including 1.
 * @example
 * ```ts
 * const retryAfterMilliseconds = toEvacuationRetry(random.next());
 * ```
 */
export function toEvacuationRetry(draw: number): number {
  return toRetryAfter(RETRY_MILLISECONDS, draw);
}
