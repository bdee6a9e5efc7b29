import type { InstallationSettings } from "../installation/installation_settings.ts";
import type { ServiceRoute } from "../installation/configuration.ts";
import {
  type Check,
  type CheckFinding,
  type CheckInput,
  quote,
} from "./finding.ts";
import type { DocumentEntry } from "../installation/configuration_document.ts";

/** Checks for entries that no request can match. */
export const REACH_CHECKS: Readonly<Record<string, Check>> = {
  coveredRoute: findCoveredRoutes,
  unmatchedHost: findUnmatchedHosts,
  prefixWithoutSlash: findPrefixesWithoutSlash,
  unusableWeight: findUnusableWeights,
  unusedService: findUnusedServices,
  organisationWithoutKeys: findOrganisationsWithoutKeys,
  routesWithoutKeys: findRoutesWithoutKeys,
  noCommonRegion: findListsWithoutCommonRegion,
  unknownRegion: findUnknownRegions,
  unknownFailureDomain: findUnknownFailureDomains,
};

// The longest prefix wins, and of equal ones the first.
function findCoveredRoutes(
  { document: { routes } }: CheckInput,
): ReadonlyArray<CheckFinding> {
  const first = new Map<string, DocumentEntry<ServiceRoute>>();
  return routes.flatMap((entry) => {
    const { host, pathPrefix } = entry.value;
    const place = JSON.stringify([host, pathPrefix]);
    const earlier = first.get(place);
    if (earlier === undefined) {
      first.set(place, entry);
      return [];
    }
    return [{
      severity: "error" as const,
      path: `routes[${entry.index}].pathPrefix`,
      message: `The route ${quote(earlier.value.name)} has the host ` +
        `${quote(host)} and the prefix ${quote(pathPrefix)} too and takes ` +
        "all requests",
      remedy: "Change the prefix or the host, or remove one of the routes",
    }];
  });
}

function findUnmatchedHosts(
  { document: { routes } }: CheckInput,
): ReadonlyArray<CheckFinding> {
  return routes.flatMap<CheckFinding>(({ index, value: { host } }) => {
    const path = `routes[${index}].host`;
    if (/^$|[:/\s]/.test(host)) {
      return [{
        severity: "error",
        path,
        message: `No request has the host ${quote(host)}; requests are ` +
          "matched by the host name without its port",
        remedy: "Write only the host name",
      }];
    }
    if (host === host.toLowerCase()) return [];
    return [{
      severity: "warning",
      path,
      message:
        `The host ${quote(host)} has capital letters, but most callers ` +
        "send host names in lower case",
      remedy: `Write ${quote(host.toLowerCase())}`,
    }];
  });
}

function findPrefixesWithoutSlash(
  { document: { routes } }: CheckInput,
): ReadonlyArray<CheckFinding> {
  return routes.flatMap<CheckFinding>(({ index, value: { pathPrefix } }) => {
    const path = `routes[${index}].pathPrefix`;
    if (!pathPrefix.startsWith("/")) {
      return [{
        severity: "error",
        path,
        message: `No path begins with ${quote(pathPrefix)}`,
        remedy: "Begin and end the prefix with a slash",
      }];
    }
    if (pathPrefix.endsWith("/")) return [];
    return [{
      severity: "warning",
      path,
      message: `The prefix ${quote(pathPrefix)} also takes paths such as ` +
        quote(`${pathPrefix}x`),
      remedy: "End the prefix with a slash",
    }];
  });
}

function findUnusableWeights(
  { document: { routes } }: CheckInput,
): ReadonlyArray<CheckFinding> {
  return routes.flatMap(({ index, value: { services } }) => {
    const total = services.reduce((sum, { weight }) => sum + weight, 0);
    return services.flatMap(({ service, weight }, share) => {
      if (weight > 0) return [];
      const isWarning = weight === 0 && total > 0;
      return [{
        severity: isWarning ? "warning" as const : "error" as const,
        path: `routes[${index}].services[${share}].weight`,
        message: `${weight} as the weight of ${quote(service)}: ` +
          (isWarning
            ? "it gets no requests"
            : "the requests are not divided as written"),
        remedy: "Give the service a weight above 0, or remove it",
      }];
    });
  });
}

function findUnusedServices(
  { document: { routes, services } }: CheckInput,
): ReadonlyArray<CheckFinding> {
  const used = new Set(
    routes.flatMap(({ value }) => value.services.map((each) => each.service)),
  );
  return services.filter(({ value: { name } }) => !used.has(name)).map((
    { index, value: { name } },
  ) => ({
    severity: "warning" as const,
    path: `services[${index}].name`,
    message: `No route uses the service ${quote(name)}`,
    remedy: "Add a route to it, or remove the service",
  }));
}

function findOrganisationsWithoutKeys(
  { document: { routes, organisations = [] } }: CheckInput,
): ReadonlyArray<CheckFinding> {
  const areAllKeyed = routes.every(({ value }) => !value.isPublic);
  return organisations.filter(({ value }) => (value.keys ?? []).length === 0)
    .map(({ index, value: { name } }) => ({
      severity: areAllKeyed ? "warning" as const : "information" as const,
      path: `organisations[${index}].keys`,
      message: `The organisation ${quote(name)} has no key` +
        (areAllKeyed ? ", but all routes need one" : ""),
      remedy: "Give it a key, or remove the organisation",
    }));
}

function findRoutesWithoutKeys(
  { document: { routes, organisations } }: CheckInput,
): ReadonlyArray<CheckFinding> {
  const keyed = routes.filter(({ value }) => !value.isPublic);
  if (keyed.length === 0) return [];
  const names = keyed.map(({ value }) => quote(value.name)).join(", ");
  if (organisations === undefined) {
    return [{
      severity: "warning",
      path: "organisations",
      message: "Without organisations no route needs a key; anyone may use " +
        names,
      remedy: "Add organisations with keys, or mark these routes as public",
    }];
  }
  if (organisations.some(({ value }) => (value.keys ?? []).length > 0)) {
    return [];
  }
  return [{
    severity: "error",
    path: "organisations",
    message: `No organisation has a key; nobody may use ${names}`,
    remedy: "Give an organisation a key",
  }];
}

function findListsWithoutCommonRegion(
  { document: { routes, organisations = [] } }: CheckInput,
): ReadonlyArray<CheckFinding> {
  return routes.flatMap(({ index, value: { allowedRegions, isPublic } }) =>
    isPublic || allowedRegions === undefined
      ? []
      : organisations.flatMap(({ value: { name, regions } }) =>
        regions === undefined ||
          [...regions].some((region) => allowedRegions.has(region))
          ? []
          : [{
            severity: "warning" as const,
            path: `routes[${index}].allowedRegions`,
            message: `${formatRegions(allowedRegions)} and ` +
              `${formatRegions(regions)}, the regions of the organisation ` +
              `${quote(name)}, have no region in common; its requests are ` +
              "refused",
            remedy: "Add a common region, unless the organisation must not " +
              "use the route",
          }]
      )
  );
}

function findUnknownRegions(
  { document: { routes, organisations = [] }, settings }: CheckInput,
): ReadonlyArray<CheckFinding> {
  if (settings === undefined) return [];
  const known = new Set(readDomains(settings).values());
  const lists = [
    ...routes.map(({ index, value }) => ({
      path: `routes[${index}].allowedRegions`,
      regions: value.allowedRegions,
    })),
    ...organisations.map(({ index, value }) => ({
      path: `organisations[${index}].regions`,
      regions: value.regions,
    })),
  ];
  return lists.flatMap(({ path, regions = new Set<string>() }) => {
    const unknown = [...regions].filter((region) => !known.has(region));
    if (unknown.length === 0) return [];
    const isNoneKnown = unknown.length === regions.size;
    return [{
      severity: isNoneKnown ? "error" as const : "warning" as const,
      path,
      message: `No failure domain of the settings is in ` +
        formatRegions(unknown) +
        (isNoneKnown ? "; all requests are refused" : ""),
      remedy: "Correct the names, or add failure domains to the settings of " +
        "all nodes first",
    }];
  });
}

function findUnknownFailureDomains(
  { document: { services }, settings }: CheckInput,
): ReadonlyArray<CheckFinding> {
  if (settings === undefined) return [];
  const known = readDomains(settings);
  return services.flatMap(({ index, value: { scaling } }) =>
    [...scaling?.domainPrices.keys() ?? []]
      .filter((domain) => !known.has(domain))
      .map((domain) => ({
        severity: "warning" as const,
        path: `services[${index}].scaling.domainPrices`,
        message: `The settings have no failure domain ${quote(domain)}`,
        remedy: "Correct the name, or add it to the settings of all nodes",
      }))
  );
}

// A node also knows its own region.
function readDomains(
  { failureDomain, region, regions }: InstallationSettings,
): ReadonlyMap<string, string> {
  return new Map([[failureDomain, region], ...regions]);
}

function formatRegions(regions: Iterable<string>): string {
  return [...regions].map(quote).join(", ");
}
