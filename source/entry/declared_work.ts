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

const DEADLINE_TO_TARGET_RATIO = 2;
const DEFAULT_DEADLINE_MILLISECONDS = 60_000;
const MAXIMUM_DEADLINE_MILLISECONDS = 3_600_000;
const DEADLINE_PATTERN = /^[1-9][0-9]{0,8}$/;

/** The declared service and class of work of a request. */
export interface DeclaredWork {
  readonly service: Service;
  readonly classOfWork: ClassOfWork;
}

/**
 * Finds the route whose prefix matches a path; if several do, the one with the longest prefix.
 * @param declaration - The declaration in force.
 * @param path - Path of the request.
 * @example
 * ```ts
 * const route = findRoute(declaration, url.pathname);
 * ```
 */
export function findRoute(
  declaration: Declaration,
  path: string,
): Route | undefined {
  let longest: Route | undefined;
  for (const route of declaration.routes) {
    if (!hasPrefix(path, route.pathPrefix)) continue;
    const isLonger = longest === undefined ||
      route.pathPrefix.length > longest.pathPrefix.length;
    if (isLonger) longest = route;
  }
  return longest;
}

/**
 * Finds the service and class of work of a completion, and checks that the caller may use the service.
 * @param declaration - The declaration in force.
 * @param options - Name of the service, name of the class, which is empty for the default class, and the caller.
 * @returns The service and class, or a refusal that names the invalid field.
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
    return refuseInvalid(
      "model",
      `No model service is named ${model.slice(0, 64)}`,
    );
  }
  const routes = declaration.routes.filter((route) => route.service === model);
  const refusal = checkCaller(routes, caller);
  if (refusal !== undefined) return refusal;
  const name = options.classOfWork === ""
    ? findDefaultClass(declaration, routes)
    : options.classOfWork;
  const classOfWork = declaration.classes.find((each) => each.name === name);
  if (classOfWork === undefined) {
    const message = name === ""
      ? "No default class of work is declared for the model"
      : `No class of work is named ${name.slice(0, 64)}`;
    return refuseInvalid("class", message);
  }
  return { service, classOfWork };
}

/**
 * Returns a refusal if no route of a service admits a caller, and undefined if one does. A service without
 * routes admits every key.
 * @param routes - Routes of the service.
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

/** The time that a request may take, or a refusal of an invalid deadline. */
export type RequestDeadline =
  | { readonly kind: "deadline"; readonly milliseconds: number }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/**
 * Returns the deadline of a request in milliseconds after its arrival: the value of the header
 * x-deadline-milliseconds, or a multiple of the latency target of its class, or
 * DEFAULT_DEADLINE_MILLISECONDS for a class without a target.
 * @param classOfWork - Class of work of the request.
 * @param header - Value of the header; undefined if it is absent.
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
      ? DEFAULT_DEADLINE_MILLISECONDS
      : target * DEADLINE_TO_TARGET_RATIO;
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
  return { kind: "refused", refusal: refuseInvalid(field, message) };
}

function hasPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  return prefix.endsWith("/") || path.length === prefix.length ||
    path[prefix.length] === "/";
}

function findDefaultClass(
  declaration: Declaration,
  routes: ReadonlyArray<Route>,
): string {
  const declared = routes[0]?.classOfWork;
  if (declared !== undefined && declared !== "") return declared;
  const [only, second] = declaration.classes;
  return second === undefined ? only?.name ?? "" : "";
}

function refuseInvalid(field: string, message: string): Refusal {
  return { error: "invalidRequest", message, ran: "notRun", field };
}
