import {
  type ClassOfWork,
  type Declaration,
  type Route,
  type Service,
  ServiceKind,
} from "../../generated/snipepath/v1/declaration_pb.ts";
import type { Caller } from "./entry_handler.ts";
import { FORBIDDEN, KEY_MISSING } from "./common_refusals.ts";
import type { Refusal } from "./refusal.ts";

const DEADLINE_PER_TARGET = 2;
const DEADLINE_WITHOUT_TARGET_MILLISECONDS = 60_000;
const MAXIMUM_DEADLINE_MILLISECONDS = 3_600_000;
const DEADLINE_PATTERN = /^[1-9][0-9]{0,8}$/;

/** What a piece of work is declared to be. */
export interface DeclaredWork {
  readonly service: Service;
  readonly classOfWork: ClassOfWork;
}

/**
 * Finds the route of a path: the one with the longest prefix.
 * @param declaration - The declaration in force.
 * @param path - The request's path.
 * @example
 * ```ts
 * const route = findRoute(declaration, url.pathname);
 * ```
 */
export function findRoute(
  declaration: Declaration,
  path: string,
): Route | undefined {
  let best: Route | undefined;
  for (const route of declaration.routes) {
    if (!hasPrefix(path, route.pathPrefix)) continue;
    const isLonger = best === undefined ||
      route.pathPrefix.length > best.pathPrefix.length;
    if (isLonger) best = route;
  }
  return best;
}

/**
 * Finds service and class of a completion, and whether the caller may have it.
 * @param declaration - The declaration in force.
 * @param options - The service's and class's name, the class's empty for the default, and the caller.
 * @returns What is declared, or a refusal that names the field.
 * @example
 * ```ts
 * const work = findCompletionWork(declaration, { model, classOfWork, caller });
 * if ("error" in work) return sendRefusal(response, work);
 * ```
 */
export function findCompletionWork(
  declaration: Declaration,
  options: {
    readonly model: string;
    readonly classOfWork: string;
    readonly caller: Caller;
  },
): DeclaredWork | Refusal {
  const { model, caller } = options;
  const service = declaration.services.find(({ name, kind }) =>
    name === model && kind === ServiceKind.MODEL
  );
  if (service === undefined) {
    return invalid("model", `No model service is named ${model.slice(0, 64)}`);
  }
  const routes = declaration.routes.filter((route) => route.service === model);
  const refusal = checkCaller(routes, caller);
  if (refusal !== undefined) return refusal;
  const name = options.classOfWork === ""
    ? defaultClass(declaration, routes)
    : options.classOfWork;
  const classOfWork = declaration.classes.find((each) => each.name === name);
  if (classOfWork === undefined) {
    const message = name === ""
      ? "No default class of work is declared for the model"
      : `No class of work is named ${name.slice(0, 64)}`;
    return invalid("class", message);
  }
  return { service, classOfWork };
}

/**
 * Returns why a caller may not use a service, going by its routes; undefined when it may. An
 * organisation needs one route that admits it; a service without routes admits every key.
 * @param routes - The routes of the service.
 * @param caller - The caller.
 * @example
 * ```ts
 * const refusal = checkCaller([route], exchange.caller);
 * ```
 */
export function checkCaller(
  routes: ReadonlyArray<Route>,
  caller: Caller,
): Refusal | undefined {
  if (caller.keyIdentifier === "") {
    return routes.some((route) => route.open) ? undefined : KEY_MISSING;
  }
  const isAdmitted = routes.length === 0 ||
    routes.some((route) =>
      route.open || route.organisations.length === 0 ||
      route.organisations.includes(caller.organisation)
    );
  return isAdmitted ? undefined : FORBIDDEN;
}

/** How long a request may take. */
export type RequestDeadline =
  | { readonly kind: "deadline"; readonly milliseconds: number }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/**
 * Returns after how many milliseconds a request is given up: what the caller says in the header
 * x-deadline-milliseconds, or a multiple of its class's target.
 * @param classOfWork - The class.
 * @param header - The header's value; undefined when it is absent.
 * @example
 * ```ts
 * const deadline = findDeadline(classOfWork, request.headers["x-deadline-milliseconds"]);
 * ```
 */
export function findDeadline(
  classOfWork: ClassOfWork,
  header: string | ReadonlyArray<string> | undefined,
): RequestDeadline {
  if (header === undefined) {
    const target = classOfWork.latencyP99Milliseconds;
    const milliseconds = target === 0
      ? DEADLINE_WITHOUT_TARGET_MILLISECONDS
      : target * DEADLINE_PER_TARGET;
    return { kind: "deadline", milliseconds };
  }
  const text = String(header);
  const milliseconds = Number(text);
  const isValid = DEADLINE_PATTERN.test(text) &&
    milliseconds <= MAXIMUM_DEADLINE_MILLISECONDS;
  if (isValid) return { kind: "deadline", milliseconds };
  const message =
    `The deadline must be a whole number from 1 to ${MAXIMUM_DEADLINE_MILLISECONDS}`;
  const field = "header x-deadline-milliseconds";
  return { kind: "refused", refusal: invalid(field, message) };
}

function hasPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  return prefix.endsWith("/") || path.length === prefix.length ||
    path[prefix.length] === "/";
}

function defaultClass(
  declaration: Declaration,
  routes: ReadonlyArray<Route>,
): string {
  const declared = routes[0]?.classOfWork;
  if (declared !== undefined && declared !== "") return declared;
  const [only, second] = declaration.classes;
  return second === undefined ? only?.name ?? "" : "";
}

function invalid(field: string, message: string): Refusal {
  return { error: "invalidRequest", message, ran: "notRun", field };
}
