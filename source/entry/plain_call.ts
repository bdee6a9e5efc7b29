import type { Route } from "../../generated/snipepath/v1/declaration_pb.ts";
import type { PlainOutcome, PlainWork, Work } from "../dispatch/dispatcher.ts";
import type { DeclaredWork } from "./declared_work.ts";
import type { EntryExchange } from "./entry_handler.ts";
import { sendRefusal, toRefusal } from "./refusal.ts";
import { serveWork, type WorkHandlerOptions } from "./served_work.ts";

/** A plain call with its declared route, service and class of work. */
export interface PlainCall {
  readonly route: Route;
  readonly declared: DeclaredWork;
  /** Time from the arrival of the request to its deadline, in milliseconds. */
  readonly deadlineMilliseconds: number;
}

/**
 * Serves a plain call without an idempotency key; a call that is not repeatable runs at most once because the
 * node does not retry it.
 * @param exchange - The caller's exchange.
 * @param options - Components of the node that serve the call.
 * @param call - The call.
 * @example
 * ```ts
 * await serveUnclaimedCall(exchange, options, { route, declared, deadlineMilliseconds });
 * ```
 */
export async function serveUnclaimedCall(
  exchange: EntryExchange,
  options: WorkHandlerOptions,
  call: PlainCall,
): Promise<void> {
  const outcome = await serveWork<PlainOutcome>(options, {
    exchange,
    declared: call.declared,
    deadlineMilliseconds: call.deadlineMilliseconds,
    expectedTokens: 0,
    run: async (work) => {
      const plainWork = toPlainWork(exchange, call, work);
      return {
        tokens: 0,
        outcome: await options.dispatcher.runPlain(plainWork),
      };
    },
  });
  finishCall(exchange, options, outcome);
}

/**
 * Creates the dispatcher's work of a plain call.
 * @param exchange - The caller's exchange.
 * @param call - The call.
 * @param work - The admitted work.
 * @example
 * ```ts
 * await dispatcher.runPlain(toPlainWork(exchange, call, work));
 * ```
 */
export function toPlainWork(
  exchange: EntryExchange,
  call: PlainCall,
  work: Work,
): PlainWork {
  return {
    ...work,
    path: exchange.url.pathname + exchange.url.search,
    repeatable: call.route.repeatable,
    request: exchange.request,
    response: exchange.response,
  };
}

/**
 * Finishes a plain call: records its usage, sends a refusal, or destroys a response that was cut.
 * @param exchange - The caller's exchange.
 * @param options - Components of the node that serve the call.
 * @param outcome - Outcome of the call.
 * @example
 * ```ts
 * finishCall(exchange, options, outcome);
 * ```
 */
export function finishCall(
  exchange: EntryExchange,
  options: WorkHandlerOptions,
  outcome: PlainOutcome,
): void {
  if (outcome.kind === "finished") return recordUsage(exchange, options);
  if (outcome.kind === "cut") return void exchange.response.destroy();
  sendRefusal(exchange.response, toRefusal(outcome));
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
