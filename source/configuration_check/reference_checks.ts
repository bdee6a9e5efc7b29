import {
  type DocumentEntry,
  type OrganisationEntry,
  toConfiguration,
} from "../installation/configuration_document.ts";
import { digestKey } from "./digest_key.ts";
import {
  type Check,
  type CheckFinding,
  type CheckInput,
  quote,
} from "./finding.ts";

/** Checks of names, references and the version. */
export const REFERENCE_CHECKS: Readonly<Record<string, Check>> = {
  versionNotAboveInForce: findOldVersion,
  ignoredInForce: findIgnoredInForce,
  documentTooLarge: findLargeDocument,
  duplicateName: findDuplicateNames,
  missingService: findMissingServices,
  serviceWithoutModels: findServicesWithoutModels,
  sharedKey: findSharedKeys,
};

function findOldVersion(
  { document: { version }, inForce }: CheckInput,
): ReadonlyArray<CheckFinding> {
  const versionInForce = inForce?.version;
  if (version === undefined || versionInForce === undefined) return [];
  if (version > versionInForce) return [];
  return [{
    severity: "error",
    path: "version",
    message: `${version} is not above ${versionInForce}, the version in ` +
      "force; nodes ignore the configuration",
    remedy: `Set it to ${Math.floor(versionInForce) + 1} or more`,
  }];
}

function findIgnoredInForce(
  { inForce }: CheckInput,
): ReadonlyArray<CheckFinding> {
  if (inForce === undefined || toConfiguration(inForce) !== undefined) {
    return [];
  }
  return [{
    severity: "warning",
    path: "",
    message: "Nodes ignore the configuration that this one is compared with; " +
      "they use an earlier one or none",
    remedy: "Check it by itself, and compare with the nodes' event " +
      "configurationInForce",
  }];
}

function findLargeDocument(
  { bytes, settings }: CheckInput,
): ReadonlyArray<CheckFinding> {
  if (settings === undefined || bytes <= settings.rowBytes) return [];
  return [{
    severity: "error",
    path: "",
    message: `${bytes} bytes are more than the ${settings.rowBytes} bytes of ` +
      "a row; the store refuses it",
    remedy: "Remove entries, or write it without white space",
  }];
}

const DUPLICATE_EFFECTS = {
  routes: "logs and metrics can't tell them apart",
  services: "nodes use only the last one",
  organisations: "nodes join their keys and use the priority and regions of " +
    "the last one that has them",
} as const;

function findDuplicateNames(
  { document }: CheckInput,
): ReadonlyArray<CheckFinding> {
  const { routes, services, organisations = [] } = document;
  const lists = { routes, services, organisations };
  return Object.entries(DUPLICATE_EFFECTS).flatMap(([list, effect]) => {
    const first = new Map<string, number>();
    const entries: ReadonlyArray<DocumentEntry<{ readonly name: string }>> =
      lists[list as keyof typeof lists];
    return entries.flatMap(({ index, value: { name } }) => {
      const earlier = first.get(name);
      if (earlier === undefined) {
        first.set(name, index);
        return [];
      }
      return [{
        severity: "error" as const,
        path: `${list}[${index}].name`,
        message: `Entry ${earlier} has the name ${quote(name)} too; ${effect}`,
        remedy: "Give each entry its own name",
      }];
    });
  });
}

function findMissingServices(
  { document: { routes, services } }: CheckInput,
): ReadonlyArray<CheckFinding> {
  const names = new Set(services.map(({ value }) => value.name));
  return routes.flatMap(({ index, value: route }) =>
    route.services.flatMap(({ service }, share) =>
      names.has(service) ? [] : [{
        severity: "error" as const,
        path: `routes[${index}].services[${share}].service`,
        message: `No service has the name ${quote(service)}; no server takes ` +
          "the requests",
        remedy: "Name a service of the list, or add the service",
      }]
    )
  );
}

function findServicesWithoutModels(
  { document: { routes, services } }: CheckInput,
): ReadonlyArray<CheckFinding> {
  const byName = new Map(services.map(({ value }) => [value.name, value]));
  return routes.filter(({ value }) => value.kind === "steps").flatMap((
    { index, value: route },
  ) =>
    route.services.flatMap(({ service }, share) =>
      byName.get(service)?.models.length !== 0 ? [] : [{
        severity: "error" as const,
        path: `routes[${index}].services[${share}].service`,
        message:
          `The service ${quote(service)} has no engine models, but the ` +
          "route takes steps",
        remedy: "Name a service with engine models, or add its models",
      }]
    )
  );
}

interface KeyHolder {
  readonly name: string;
  readonly index: number;
}

function findSharedKeys(
  { document: { organisations = [] } }: CheckInput,
): ReadonlyArray<CheckFinding> {
  const holders = new Map<string, KeyHolder>();
  return organisations.flatMap(({ index, value }) =>
    (value.keys ?? []).flatMap((key, position) => {
      const earlier = holders.get(key);
      holders.set(key, { name: value.name, index });
      if (earlier === undefined) return [];
      const path = `organisations[${index}].keys[${position}]`;
      return [describeSharedKey(key, { earlier, path, value })];
    })
  );
}

function describeSharedKey(
  key: string,
  { earlier, path, value }: {
    readonly earlier: KeyHolder;
    readonly path: string;
    readonly value: OrganisationEntry;
  },
): CheckFinding {
  const isSame = earlier.name === value.name;
  return {
    severity: isSame ? "warning" : "error",
    path,
    message: isSame
      ? `The key with digest ${digestKey(key)} is listed twice`
      : `The organisation ${quote(earlier.name)} has the key with digest ` +
        `${digestKey(key)} too; nodes count its requests for ` +
        quote(value.name),
    remedy: isSame
      ? "Remove one of the two"
      : "Withdraw the key, and give each organisation its own",
  };
}
