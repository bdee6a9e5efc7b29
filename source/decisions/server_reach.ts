import type { RandomSource } from "../utilities/random_source.ts";

/** Maximum number of servers that are checked at once. */
const MAXIMUM_CHECKS = 6;

/** The part of a server that decides whether it is checked. */
export interface CheckableServer {
  readonly service: string;
  readonly failureDomain: string;
}

/** Result of opening a connection to a server. */
export type ConnectionCheck = "accepted" | "refused" | "unreachable";

/**
 * Selects the servers whose checks tell whether a node reaches any server.
 *
 * Load pattern: servers of one service or failure domain are lost together, so the selected ones
 * differ in both as far as possible.
 * @param servers - All servers.
 * @param random - Lets each check select others.
 * @example
 * ```ts
 * const checked = selectCheckedServers([...servers.values()], random);
 * ```
 */
export function selectCheckedServers<Server extends CheckableServer>(
  servers: ReadonlyArray<Server>,
  random: RandomSource,
): ReadonlyArray<Server> {
  const remaining = [...servers];
  const selected: Server[] = [];
  while (remaining.length > 0 && selected.length < MAXIMUM_CHECKS) {
    const start = random.nextBelow(remaining.length);
    const rotated = [...remaining.slice(start), ...remaining.slice(0, start)];
    const next = rotated.reduce((best, server) =>
      countSimilar(server, selected) < countSimilar(best, selected)
        ? server
        : best
    );
    selected.push(next);
    remaining.splice(remaining.indexOf(next), 1);
  }
  return selected;
}

/**
 * Whether a node is cut off from the servers: several were checked and none accepted a connection. A
 * server that accepts one but does not answer is reached.
 * @param checks - Results for the selected servers.
 */
export function isCutOff(checks: ReadonlyArray<ConnectionCheck>): boolean {
  return checks.length > 1 && checks.every((check) => check !== "accepted");
}

function countSimilar(
  { service, failureDomain }: CheckableServer,
  selected: ReadonlyArray<CheckableServer>,
): number {
  return selected.reduce(
    (sum, other) =>
      sum + Number(other.service === service) +
      Number(other.failureDomain === failureDomain),
    0,
  );
}
