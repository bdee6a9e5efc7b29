import type { ServerStart } from "../installation/backend_server_entry.ts";

/** Service and software version of the server that began a stream. */
export interface StreamOrigin {
  readonly service: string;
  readonly softwareVersion: string;
  /** Start of that server that its entry described; undefined if it is not known. */
  readonly server: ServerStart | undefined;
}

/** What a node could find out about the beginning of a stream. */
export type StreamOriginFinding =
  | { readonly kind: "found"; readonly origin: StreamOrigin }
  /** The node that began the stream recorded nothing, as it could not reach the store. */
  | { readonly kind: "absent" }
  | { readonly kind: "unreadable" };

/** The servers that could go on with a stream. */
export interface ContinuationServers {
  /** Services to which the route sends requests. */
  readonly services: ReadonlyArray<string>;
  /** Whether the server that began the stream may have had another software version than recorded. */
  readonly isOriginDoubtful: boolean;
  /** Returns the software versions that serve in a service. */
  readonly serving: (service: string) => ReadonlySet<string>;
  /**
   * Returns the software versions that may have served in a service since the oldest stream began;
   * undefined if the node has not followed the servers for so long.
   */
  readonly seen: (service: string) => ReadonlySet<string> | undefined;
}

/** Where a stream goes on, or why it can't. */
export type StreamContinuation =
  | { readonly kind: "continue"; readonly origin: StreamOrigin }
  | { readonly kind: "reject"; readonly refusal: "noServer" | "storeAway" };

/**
 * Decides where a stream goes on that a caller takes up.
 *
 * Load pattern: nodes are killed and connections reset while engines of two software versions serve
 * side by side, so many callers take their streams up at other nodes at the same time. A stream goes
 * on only at the version that began it; when that is not known, only if no other version can have
 * begun it. A server may have had another version than recorded if it had started again under its
 * identifier.
 * @example
 * ```ts
 * const continuation = decideStreamContinuation({ kind: "absent" }, servers);
 * ```
 */
export function decideStreamContinuation(
  finding: StreamOriginFinding,
  servers: ContinuationServers,
): StreamContinuation {
  if (finding.kind === "unreadable") {
    return { kind: "reject", refusal: "storeAway" };
  }
  const origin = finding.kind === "found"
    ? finding.origin
    : inferOrigin(servers);
  const isServing = origin !== undefined && !servers.isOriginDoubtful &&
    servers.services.includes(origin.service) &&
    servers.serving(origin.service).has(origin.softwareVersion);
  return isServing
    ? { kind: "continue", origin }
    : { kind: "reject", refusal: "noServer" };
}

function inferOrigin(
  { services, seen }: ContinuationServers,
): StreamOrigin | undefined {
  const [service, ...otherServices] = services;
  if (service === undefined || otherServices.length > 0) return undefined;
  const [softwareVersion, ...otherVersions] = seen(service) ?? [];
  return softwareVersion === undefined || otherVersions.length > 0
    ? undefined
    : { service, softwareVersion, server: undefined };
}
