import {
  type Route,
  ServiceKind,
} from "../../generated/snipepath/v1/declaration_pb.ts";
import { ClaimManager } from "./claims/claim_manager.ts";
import {
  type ClaimedCallOptions,
  serveClaimedCall,
} from "./claims/claimed_call.ts";
import {
  checkCaller,
  type DeclaredWork,
  findDeadline,
  findRoute,
} from "./declared_work.ts";
import type { EntryExchange } from "./entry_handler.ts";
import type { DeclaredRoute } from "./entry_server.ts";
import { type PlainCall, serveUnclaimedCall } from "./plain_call.ts";
import { NO_CONFIGURATION, type Refusal, sendRefusal } from "./refusal.ts";
import type { WorkHandlerOptions } from "./served_work.ts";

/**
 * Creates a function that finds the declared route of a path, whose handler passes calls to a plain service.
 * @param options - Components of the node that serve the calls.
 * @example
 * ```ts
 * const findDeclared = createPlainRouteFinder({ context, configuration, admission, dispatcher, usage });
 * ```
 */
export function createPlainRouteFinder(
  options: WorkHandlerOptions,
): (path: string) => DeclaredRoute | undefined {
  const claims = new ClaimManager(options.context);
  return (path) => {
    const declaration = options.configuration.current()?.declaration;
    if (declaration === undefined) return UNCONFIGURED_ROUTE;
    const route = findRoute(declaration, path);
    if (route === undefined) return undefined;
    // Model engines are reachable only through completions, which separate the caches of organisations.
    const isModel = declaration.services.some(({ name, kind }) =>
      name === route.service && kind === ServiceKind.MODEL
    );
    if (isModel) return undefined;
    return {
      authentication: route.open ? "none" : "key",
      handler: (exchange) =>
        handlePlainCall(exchange, { ...options, claims }, route),
    };
  };
}

async function handlePlainCall(
  exchange: EntryExchange,
  options: ClaimedCallOptions,
  route: Route,
): Promise<void> {
  const { response } = exchange;
  const refusal = checkCaller([route], exchange.caller);
  if (refusal !== undefined) return sendRefusal(response, refusal);
  const declared = findDeclaredWork(options, route);
  if (declared === undefined) return sendRefusal(response, NOT_DECLARED);
  const header = exchange.request.headers["x-deadline-milliseconds"];
  const deadline = findDeadline(declared.classOfWork, header);
  if (deadline.kind === "refused") {
    return sendRefusal(response, deadline.refusal);
  }
  const call: PlainCall = {
    route,
    declared,
    deadlineMilliseconds: deadline.milliseconds,
  };
  const key = exchange.request.headers["idempotency-key"];
  if (route.repeatable || key === undefined) {
    return await serveUnclaimedCall(exchange, options, call);
  }
  return await serveClaimedCall(exchange, options, {
    ...call,
    key: String(key),
  });
}

function findDeclaredWork(
  options: WorkHandlerOptions,
  route: Route,
): DeclaredWork | undefined {
  const declaration = options.configuration.current()?.declaration;
  const service = declaration?.services.find(({ name }) =>
    name === route.service
  );
  const classOfWork = declaration?.classes.find(({ name }) =>
    name === route.classOfWork
  );
  if (service === undefined || classOfWork === undefined) return undefined;
  return { service, classOfWork };
}

const UNCONFIGURED_ROUTE: DeclaredRoute = {
  authentication: "none",
  handler: async ({ response }) => sendRefusal(response, NO_CONFIGURATION),
};

const NOT_DECLARED: Refusal = {
  error: "unknownRoute",
  message: "The route's service or class of work is not declared",
  ran: "notRun",
  field: "path",
};
