import {
  type Route,
  ServiceKind,
} from "../../generated/snipepath/v1/declaration_pb.ts";
import type { PlainOutcome } from "../dispatch/dispatcher.ts";
import {
  checkCaller,
  type DeclaredWork,
  findDeadline,
  findRoute,
} from "./declared_work.ts";
import type { EntryExchange } from "./entry_handler.ts";
import type { DeclaredRoute } from "./entry_server.ts";
import { type Refusal, sendRefusal, toRefusal } from "./refusal.ts";
import { serveWork, type WorkHandlerOptions } from "./served_work.ts";

/**
 * Creates what finds the declared route of a path and passes its calls to a plain service.
 * @param options - The parts of the node.
 * @example
 * ```ts
 * const findDeclared = createPlainRoutes({ context, configuration, admission, dispatcher, usage });
 * ```
 */
export function createPlainRoutes(
  options: WorkHandlerOptions,
): (path: string) => DeclaredRoute | undefined {
  return (path) => {
    const declaration = options.configuration.current()?.declaration;
    if (declaration === undefined) return undefined;
    const route = findRoute(declaration, path);
    if (route === undefined) return undefined;
    // Model engines are reached by completions alone, which keep organisations' caches apart.
    const isModel = declaration.services.some(({ name, kind }) =>
      name === route.service && kind === ServiceKind.MODEL
    );
    if (isModel) return undefined;
    return {
      authentication: route.open ? "none" : "key",
      handler: (exchange) => handlePlain(exchange, options, route),
    };
  };
}

async function handlePlain(
  exchange: EntryExchange,
  options: WorkHandlerOptions,
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
  const outcome = await serveWork<PlainOutcome>(options, {
    exchange,
    declared,
    deadlineMilliseconds: deadline.milliseconds,
    expectedTokens: 0,
    run: async (work) => ({
      tokens: 0,
      outcome: await options.dispatcher.runPlain({
        ...work,
        path: exchange.url.pathname + exchange.url.search,
        repeatable: route.repeatable,
        request: exchange.request,
        response,
      }),
    }),
  });
  if (outcome.kind === "finished") return recordUsage(exchange, options);
  if (outcome.kind === "cut") return void response.destroy();
  sendRefusal(response, toRefusal(outcome));
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

function recordUsage(
  exchange: EntryExchange,
  options: WorkHandlerOptions,
): void {
  options.usage.record(exchange.caller.organisation, {
    requests: 1,
    promptTokens: 0,
    generatedTokens: 0,
  });
}

const NOT_DECLARED: Refusal = {
  error: "unknownRoute",
  message: "The route's service or class of work is not declared",
  ran: "notRun",
  field: "path",
};
