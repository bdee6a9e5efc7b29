import { create } from "@bufbuild/protobuf";
import {
  type Declaration,
  ServiceKind,
} from "../../generated/snipepath/v1/declaration_pb.ts";
import {
  type DeclarationFault,
  DeclarationFaultSchema,
} from "../../generated/snipepath/v1/operator_pb.ts";

type DeclarationCheck = (
  declaration: Declaration,
) => ReadonlyArray<DeclarationFault>;

const NAME_PATTERN = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/;
const RESERVED_PATH_PREFIX = "/v1/";
const RESERVED_ORGANISATION = "open";

const CHECKS: ReadonlyArray<DeclarationCheck> = [
  checkNames,
  checkOrganisations,
  checkClasses,
  checkServices,
  checkRoutes,
  checkTrainers,
];

/**
 * Finds all faults of a declaration.
 * @param declaration - Declaration whose fields have the right types.
 * @returns All faults; empty when the declaration can be applied.
 * @example
 * ```ts
 * const faults = checkDeclaration(declaration);
 * ```
 */
export function checkDeclaration(
  declaration: Declaration,
): ReadonlyArray<DeclarationFault> {
  return CHECKS.flatMap((check) => check(declaration));
}

function createFault(
  field: string,
  problem: string,
  remedy: string,
): DeclarationFault {
  return create(DeclarationFaultSchema, { field, problem, remedy });
}

function checkNames(declaration: Declaration): DeclarationFault[] {
  const lists = {
    classes: declaration.classes,
    organisations: declaration.organisations,
    services: declaration.services,
    routes: declaration.routes,
    trainers: declaration.trainers,
  };
  return Object.entries(lists).flatMap(([list, items]) =>
    checkNamesOfList(list, items)
  );
}

function checkNamesOfList(
  list: string,
  items: ReadonlyArray<{ readonly name: string }>,
): DeclarationFault[] {
  const faults: DeclarationFault[] = [];
  const seen = new Set<string>();
  items.forEach(({ name }, index) => {
    const field = `${list}[${index}].name`;
    if (!NAME_PATTERN.test(name)) {
      faults.push(createFault(
        field,
        `"${name}" is not a valid name`,
        "Use 1 to 63 lowercase letters, digits and inner hyphens",
      ));
    } else if (seen.has(name)) {
      faults.push(
        createFault(field, `"${name}" is used twice`, "Rename one of them"),
      );
    }
    seen.add(name);
  });
  return faults;
}

function checkOrganisations(declaration: Declaration): DeclarationFault[] {
  return declaration.organisations.flatMap(({ name }, index) =>
    name === RESERVED_ORGANISATION
      ? [createFault(
        `organisations[${index}].name`,
        `"${RESERVED_ORGANISATION}" is reserved for callers without a key`,
        "Choose another name",
      )]
      : []
  );
}

function checkClasses(declaration: Declaration): DeclarationFault[] {
  return declaration.classes.flatMap((each, index) => {
    const field = `classes[${index}]`;
    const faults: DeclarationFault[] = [];
    if (each.latencyP99Milliseconds === 0) {
      faults.push(createFault(
        `${field}.latencyP99Milliseconds`,
        "The class has no latency target",
        "Set the time within which 99 of 100 responses must be complete",
      ));
    }
    if (each.firstTokenP99Milliseconds > each.latencyP99Milliseconds) {
      faults.push(createFault(
        `${field}.firstTokenP99Milliseconds`,
        "The first token's target is longer than the whole response's",
        `Set at most ${each.latencyP99Milliseconds}`,
      ));
    }
    return faults;
  });
}

function checkServices(declaration: Declaration): DeclarationFault[] {
  return declaration.services.flatMap((service, index) => {
    const field = `services[${index}]`;
    const faults: DeclarationFault[] = [];
    if (service.kind === ServiceKind.UNSPECIFIED) {
      faults.push(
        createFault(
          `${field}.kind`,
          "The kind is missing",
          "Set model or plain",
        ),
      );
    }
    if (service.failureDomains.length === 0) {
      faults.push(createFault(
        `${field}.failureDomains`,
        "No failure domain is listed",
        "List the failure domains in which the service may run",
      ));
    }
    if (service.maximumServers < service.minimumServers) {
      faults.push(createFault(
        `${field}.maximumServers`,
        `${service.maximumServers} is less than minimumServers`,
        `Set at least ${service.minimumServers}`,
      ));
    }
    return faults;
  });
}

function checkRoutes(declaration: Declaration): DeclarationFault[] {
  const prefixes = new Set<string>();
  return declaration.routes.flatMap((route, index) => {
    const field = `routes[${index}]`;
    const faults = [
      ...checkReference(declaration, `${field}.service`, route.service),
      ...checkReference(declaration, `${field}.classOfWork`, route.classOfWork),
      ...route.organisations.flatMap((name, position) =>
        checkReference(
          declaration,
          `${field}.organisations[${position}]`,
          name,
        )
      ),
      ...checkPathPrefix(`${field}.pathPrefix`, route.pathPrefix, prefixes),
    ];
    if (route.open && route.organisations.length > 0) {
      faults.push(createFault(
        `${field}.organisations`,
        "An open route takes no keys, so it can't be limited to organisations",
        "Remove organisations, or set open to false",
      ));
    }
    return faults;
  });
}

function checkPathPrefix(
  field: string,
  prefix: string,
  seen: Set<string>,
): DeclarationFault[] {
  const isRepeated = seen.has(prefix);
  seen.add(prefix);
  if (!prefix.startsWith("/") || prefix === "/") {
    return [createFault(
      field,
      `"${prefix}" is not a valid path prefix`,
      'Start with "/" and a name',
    )];
  }
  if (`${prefix}/`.startsWith(RESERVED_PATH_PREFIX)) {
    return [createFault(
      field,
      `${RESERVED_PATH_PREFIX} is reserved`,
      "Choose another path",
    )];
  }
  return isRepeated
    ? [createFault(field, `"${prefix}" is used twice`, "Choose another path")]
    : [];
}

function checkTrainers(declaration: Declaration): DeclarationFault[] {
  return declaration.trainers.flatMap((trainer, index) => {
    const field = `trainers[${index}]`;
    const faults = [
      ...checkReference(declaration, `${field}.service`, trainer.service),
      ...checkReference(
        declaration,
        `${field}.classOfWork`,
        trainer.classOfWork,
      ),
      ...checkReference(
        declaration,
        `${field}.organisation`,
        trainer.organisation,
      ),
    ];
    const service = findByName(declaration.services, trainer.service);
    if (service !== undefined && service.kind !== ServiceKind.MODEL) {
      faults.push(createFault(
        `${field}.service`,
        `"${trainer.service}" is not a model service`,
        "Use a service of kind model",
      ));
    }
    if (trainer.stepDeadlineSeconds === 0) {
      faults.push(createFault(
        `${field}.stepDeadlineSeconds`,
        "The deadline of a step is missing",
        "Set the seconds within which a step must be complete",
      ));
    }
    return faults;
  });
}

const REFERENCE_TARGETS: Readonly<
  Record<
    string,
    (declaration: Declaration) => ReadonlyArray<{ readonly name: string }>
  >
> = {
  service: (declaration) => declaration.services,
  classOfWork: (declaration) => declaration.classes,
  organisation: (declaration) => declaration.organisations,
  organisations: (declaration) => declaration.organisations,
};

function checkReference(
  declaration: Declaration,
  field: string,
  name: string,
): DeclarationFault[] {
  const kind = /\.(\w+)(\[\d+\])?$/.exec(field)?.[1] ?? "";
  const candidates = REFERENCE_TARGETS[kind]?.(declaration) ?? [];
  if (findByName(candidates, name) !== undefined) return [];
  const names = candidates.map((each) => each.name).join(", ");
  return [
    createFault(
      field,
      name === "" ? "Missing" : `"${name}" is not declared`,
      names === "" ? "Declare it" : `Declare it, or use one of ${names}`,
    ),
  ];
}

function findByName<Item extends { readonly name: string }>(
  items: ReadonlyArray<Item>,
  name: string,
): Item | undefined {
  return items.find((item) => item.name === name);
}
