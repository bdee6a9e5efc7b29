import { create } from "@bufbuild/protobuf";
import {
  type Declaration,
  ServiceKind,
} from "../../generated/snipepath/v1/declaration_pb.ts";
import {
  type DeclarationFault,
  DeclarationFaultSchema,
} from "../../generated/snipepath/v1/operator_pb.ts";

type Check = (declaration: Declaration) => ReadonlyArray<DeclarationFault>;

const NAME_PATTERN = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/;
const RESERVED_PATH_PREFIX = "/v1/";
const RESERVED_ORGANISATION = "open";

const CHECKS: ReadonlyArray<Check> = [
  checkNames,
  checkOrganisations,
  checkClasses,
  checkServices,
  checkRoutes,
  checkTrainers,
];

/**
 * Finds everything that is wrong with a declaration.
 * @param declaration - A declaration whose fields have the right kinds.
 * @returns All faults; none when the declaration can be put in force.
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

function fault(
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
      faults.push(fault(
        field,
        `"${name}" is not a name`,
        "Use 1 to 63 small letters, digits and inner hyphens",
      ));
    } else if (seen.has(name)) {
      faults.push(fault(field, `"${name}" stands twice`, "Rename one of them"));
    }
    seen.add(name);
  });
  return faults;
}

function checkOrganisations(declaration: Declaration): DeclarationFault[] {
  return declaration.organisations.flatMap(({ name }, index) =>
    name === RESERVED_ORGANISATION
      ? [fault(
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
      faults.push(fault(
        `${field}.latencyP99Milliseconds`,
        "The class has no latency target",
        "State the time within which 99 of 100 answers must be whole",
      ));
    }
    if (each.firstTokenP99Milliseconds > each.latencyP99Milliseconds) {
      faults.push(fault(
        `${field}.firstTokenP99Milliseconds`,
        "The first token may come later than the whole answer",
        `State at most ${each.latencyP99Milliseconds}`,
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
        fault(`${field}.kind`, "The kind is missing", "State model or plain"),
      );
    }
    if (service.failureDomains.length === 0) {
      faults.push(fault(
        `${field}.failureDomains`,
        "No failure domain is listed",
        "List the failure domains in which the service may run",
      ));
    }
    if (service.maximumServers < service.minimumServers) {
      faults.push(fault(
        `${field}.maximumServers`,
        `${service.maximumServers} is less than minimumServers`,
        `State at least ${service.minimumServers}`,
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
      faults.push(fault(
        `${field}.organisations`,
        "An open route can't tell organisations apart",
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
  const isTwice = seen.has(prefix);
  seen.add(prefix);
  if (!prefix.startsWith("/") || prefix === "/") {
    return [fault(
      field,
      `"${prefix}" is not a path`,
      'Start with "/" and a name',
    )];
  }
  if (`${prefix}/`.startsWith(RESERVED_PATH_PREFIX)) {
    return [fault(
      field,
      `${RESERVED_PATH_PREFIX} is reserved`,
      "Choose another path",
    )];
  }
  return isTwice
    ? [fault(field, `"${prefix}" stands twice`, "Choose another path")]
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
      faults.push(fault(
        `${field}.service`,
        `"${trainer.service}" is not a model service`,
        "Name a service of kind model",
      ));
    }
    if (trainer.stepDeadlineSeconds === 0) {
      faults.push(fault(
        `${field}.stepDeadlineSeconds`,
        "A step has no deadline",
        "State the seconds within which a step must be whole",
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
    fault(
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
