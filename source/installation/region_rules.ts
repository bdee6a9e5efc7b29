import {
  type AllowedRegions,
  decideAllowedRegions,
  selectNamedNodes,
} from "../decisions/allowed_regions.ts";
import type { EventLog } from "../observability/event_log.ts";
import { type Configuration, findRoute } from "./configuration.ts";
import type { InstallationSettings } from "./installation_settings.ts";
import type { NodeRecord } from "./node_record.ts";

/** Text of the lists while there are none. */
const NO_LISTS = JSON.stringify([[], []]);

/** Dependencies of region rules. */
export interface RegionRulesOptions {
  readonly log: EventLog;
  /** This node's place and the regions of failure domains. */
  readonly settings: Pick<
    InstallationSettings,
    "failureDomain" | "region" | "regions"
  >;
  /** Returns the configuration in force; undefined until the first one was read. */
  readonly configuration: () => Configuration | undefined;
}

/** A request as far as it decides on the regions that it may use. */
export interface RegionRequest {
  readonly host: string;
  /** Path without the query. */
  readonly path: string;
  /** Organisation that sent the request; undefined when it has none. */
  readonly organisation: string | undefined;
}

/** A caller that looks up node addresses. */
export interface AddressLookup {
  /** Host that it wants to call; undefined when it names none. */
  readonly host: string | undefined;
  readonly region: string | undefined;
  readonly failureDomain: string | undefined;
}

/** Applies the lists of allowed regions of the configuration in force. */
export class RegionRules {
  readonly #options: RegionRulesOptions;
  #configuration: Configuration | undefined;
  #listCount = 0;
  /** The lists of the configuration as text, to detect changes. */
  #lists = NO_LISTS;
  /** Allowed regions by route and organisation. */
  readonly #known = new Map<string, AllowedRegions | undefined>();
  readonly #loggedDomains = new Set<string>();

  /** @param options - The regions and the configuration. */
  constructor(options: RegionRulesOptions) {
    this.#options = options;
  }

  /** Region of this node. */
  get ownRegion(): string {
    return this.#options.settings.region;
  }

  /** Failure domain of this node. */
  get ownFailureDomain(): string {
    return this.#options.settings.failureDomain;
  }

  /** Number of routes and organisations that have a list. */
  get listCount(): number {
    this.#adopt();
    return this.#listCount;
  }

  /** Returns the region of a failure domain; undefined when the settings do not name it. */
  readonly regionOf = (failureDomain: string): string | undefined => {
    const { settings, log } = this.#options;
    const region = settings.regions.get(failureDomain);
    if (region !== undefined) return region;
    if (failureDomain === settings.failureDomain) return settings.region;
    if (!this.#loggedDomains.has(failureDomain)) {
      this.#loggedDomains.add(failureDomain);
      log.emit("failureDomainWithoutRegion", { failureDomain });
    }
    return undefined;
  };

  /** Whether a failure domain is in this node's region; an unknown one counts as in it. */
  isInOwnRegion(failureDomain: string): boolean {
    const { regions, region } = this.#options.settings;
    return (regions.get(failureDomain) ?? region) === region;
  }

  /** Returns the regions that a request may use now; undefined for any. */
  find(
    { host, path, organisation = "" }: RegionRequest,
  ): AllowedRegions | undefined {
    this.#adopt();
    if (this.#configuration === undefined || this.#listCount === 0) {
      return undefined;
    }
    const route = findRoute(this.#configuration, host, path);
    const key = JSON.stringify([route?.host, route?.pathPrefix, organisation]);
    if (!this.#known.has(key)) {
      const { organisationRegions } = this.#configuration;
      const lists = [
        route?.allowedRegions,
        organisationRegions.get(organisation),
      ];
      const { regionOf } = this;
      this.#known.set(key, decideAllowedRegions({ lists, regionOf }));
    }
    return this.#known.get(key);
  }

  /** Selects the running nodes that the directory may name to a caller. */
  selectNamed(
    nodes: ReadonlyArray<NodeRecord>,
    { host, region, failureDomain }: AddressLookup,
  ): ReadonlyArray<NodeRecord> {
    this.#adopt();
    const { regionOf } = this;
    if (this.#listCount === 0) return nodes;
    const configuration = this.#configuration;
    const routes = configuration?.routes.filter((route) => route.host === host);
    const isKeyed = routes?.some(({ isPublic }) => !isPublic) === true;
    const organisations = new Set(
      isKeyed ? configuration?.organisationsByKey?.values() : [],
    );
    return selectNamedNodes(
      nodes.filter(({ isServing }) => isServing),
      {
        callerRegion: region ??
          (failureDomain === undefined ? undefined : regionOf(failureDomain)),
        routeLists: routes?.map((route) => route.allowedRegions) ?? [],
        organisationLists: [...organisations].map((name) =>
          configuration?.organisationRegions.get(name)
        ),
        regionOf,
      },
    );
  }

  #adopt(): void {
    const configuration = this.#options.configuration();
    if (configuration === this.#configuration) return;
    this.#configuration = configuration;
    this.#known.clear();
    const routes =
      configuration?.routes.filter((route) =>
        route.allowedRegions !== undefined
      ) ?? [];
    const organisations = [...configuration?.organisationRegions ?? []];
    this.#listCount = routes.length + organisations.length;
    const lists = JSON.stringify([
      routes.map(({ host, pathPrefix, allowedRegions = [] }) => [
        host,
        pathPrefix,
        [...allowedRegions],
      ]),
      organisations.map(([name, regions]) => [name, [...regions]]),
    ]);
    if (lists === this.#lists) return;
    this.#lists = lists;
    this.#options.log.emit("allowedRegionsInForce", {
      version: configuration?.version ?? -1,
      routes: routes.length,
      organisations: organisations.length,
    });
  }
}
