/** Regions that a list allows; undefined for any region. */
export type RegionList = ReadonlySet<string> | undefined;

/** A node that may receive bodies of requests, or that callers may connect to. */
export interface RegionNode {
  readonly failureDomain: string;
}

/** Input for deciding which regions a request may use. */
export interface RegionLists {
  /** The lists that apply, as those of the route and of the organisation. */
  readonly lists: ReadonlyArray<RegionList>;
  /** Returns the region of a failure domain; undefined when it is in no known region. */
  readonly regionOf: (failureDomain: string) => string | undefined;
}

/**
 * Decides which regions a request may use: those that are in all of its lists.
 *
 * Load pattern: servers, nodes and callers in a few regions, requests of some routes and organisations
 * that must stay in some of these regions, and losses of whole regions. Requests without a list use
 * all servers as before; those with one neither leave their regions nor occupy, by their waiting,
 * servers of other regions.
 * @returns The allowed regions; undefined when no list applies.
 * @example
 * ```ts
 * const allowed = decideAllowedRegions({ lists: [route, organisation], regionOf });
 * const usable = servers.filter((server) => mayProcess(allowed, server));
 * ```
 */
export function decideAllowedRegions(
  { lists, regionOf }: RegionLists,
): AllowedRegions | undefined {
  const common = intersect(lists);
  return common === undefined
    ? undefined
    : new AllowedRegions(common, regionOf);
}

/** The regions that a request may use, at least one list of which applies. */
export class AllowedRegions {
  /** Names of the regions; none if the lists that apply have no region in common. */
  readonly names: ReadonlySet<string>;
  /** Equal for the same regions and different for others. */
  readonly key: string;
  readonly #regionOf: RegionLists["regionOf"];

  /**
   * @param names - Names of the regions.
   * @param regionOf - Returns the region of a failure domain.
   */
  constructor(
    names: ReadonlySet<string>,
    regionOf: RegionLists["regionOf"],
  ) {
    this.names = names;
    this.key = JSON.stringify([...names].sort());
    this.#regionOf = regionOf;
  }

  /** Whether no region remains, so that the request can't run. */
  get isEmpty(): boolean {
    return this.names.size === 0;
  }

  /** Whether other regions contain all of these. */
  isWithin(other: AllowedRegions): boolean {
    return [...this.names].every((name) => other.names.has(name));
  }

  /** Whether servers of a failure domain may process the request. */
  allows(failureDomain: string): boolean {
    const region = this.#regionOf(failureDomain);
    return region !== undefined && this.names.has(region);
  }

  /**
   * Whether a node may receive the body of the request, besides the node to which the caller
   * connected.
   * @param failureDomain - Failure domain of the node.
   * @param callerRegion - Region of the caller; undefined when it is not known.
   */
  mayReceiveBody(
    failureDomain: string,
    callerRegion: string | undefined,
  ): boolean {
    return this.allows(failureDomain) ||
      (callerRegion !== undefined &&
        this.#regionOf(failureDomain) === callerRegion);
  }
}

/**
 * Whether a server may process a request.
 * @param allowed - Regions that the request may use; undefined for any.
 * @param server - The server.
 * @example
 * ```ts
 * const usable = servers.filter((server) => mayProcess(allowed, server));
 * ```
 */
export function mayProcess(
  allowed: AllowedRegions | undefined,
  { failureDomain }: RegionNode,
): boolean {
  return allowed === undefined || allowed.allows(failureDomain);
}

/**
 * Selects the nodes that may receive the body of a request. The region of the caller is only assumed,
 * from the node to which it connected, so nodes of allowed regions are used while there are any.
 * @param nodes - The nodes that could receive it.
 * @param request - Regions that the request may use, undefined for any, and the caller's region.
 * @returns All nodes if no list applies; otherwise those of allowed regions or, if there are none, of
 * the caller's region.
 * @example
 * ```ts
 * const owners = selectBodyReceivers(nodes, { allowed, callerRegion: "north" });
 * ```
 */
export function selectBodyReceivers<Node extends RegionNode>(
  nodes: ReadonlyArray<Node>,
  { allowed, callerRegion }: {
    readonly allowed: AllowedRegions | undefined;
    readonly callerRegion: string | undefined;
  },
): ReadonlyArray<Node> {
  if (allowed === undefined) return nodes;
  const inAllowed = nodes.filter(({ failureDomain }) =>
    allowed.allows(failureDomain)
  );
  return inAllowed.length > 0
    ? inAllowed
    : nodes.filter(({ failureDomain }) =>
      allowed.mayReceiveBody(failureDomain, callerRegion)
    );
}

/** Input for selecting the nodes that the directory names to a caller. */
export interface NamedNodesInput extends Pick<RegionLists, "regionOf"> {
  /** Region of the caller; undefined when it is not known. */
  readonly callerRegion: string | undefined;
  /** Lists of the host's routes. */
  readonly routeLists: ReadonlyArray<RegionList>;
  /** Lists of the organisations that may use the host. */
  readonly organisationLists: ReadonlyArray<RegionList>;
}

/**
 * Selects the nodes that the directory may name to callers of a host.
 *
 * Load pattern: callers of one host use routes and keys with different lists, and the directory does
 * not know which ones. After the loss of all nodes of a region, its callers all go to nodes of others.
 * These are in regions that every list of a route allows and, of these, in the ones that the most
 * lists of organisations allow.
 * @param nodes - The running nodes.
 * @param input - The caller's region and the lists that apply at the host.
 * @returns All nodes if no list applies.
 * @example
 * ```ts
 * const named = selectNamedNodes(running, {
 *   callerRegion: "north",
 *   routeLists: [new Set(["north", "south"])],
 *   organisationLists: [],
 *   regionOf,
 * });
 * ```
 */
export function selectNamedNodes<Node extends RegionNode>(
  nodes: ReadonlyArray<Node>,
  input: NamedNodesInput,
): ReadonlyArray<Node> {
  const { callerRegion, routeLists, organisationLists, regionOf } = input;
  const organisations = organisationLists.filter((list) => list !== undefined);
  const common = intersect(routeLists);
  if (common === undefined && organisations.length === 0) return nodes;
  const near = callerRegion === undefined ? [] : nodes.filter((
    { failureDomain },
  ) => regionOf(failureDomain) === callerRegion);
  if (near.length > 0) return near;
  const countOrganisations = ({ failureDomain }: Node): number => {
    const region = regionOf(failureDomain);
    if (region === undefined) return -1;
    if (common !== undefined && !common.has(region)) return -1;
    return organisations.filter((list) => list.has(region)).length;
  };
  const counts = nodes.map(countOrganisations);
  const most = Math.max(...counts, 0);
  return nodes.filter((_node, index) => counts[index] === most);
}

function intersect(
  lists: ReadonlyArray<RegionList>,
): ReadonlySet<string> | undefined {
  const [first, ...others] = lists.filter((list) => list !== undefined);
  return first === undefined ? undefined : new Set(
    [...first].filter((name) => others.every((list) => list.has(name))),
  );
}
