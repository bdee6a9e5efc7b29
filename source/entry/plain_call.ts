import type { Route } from "../../generated/snipepath/v1/declaration_pb.ts";
import type { PlainOutcome, PlainWork, Work } from "../dispatch/dispatcher.ts";
import type { DeclaredWork } from "./declared_work.ts";
import type { EntryExchange } from "./entry_handler.ts";
import { sendRefusal, toRefusal } from "./refusal.ts";
import { serveWork, type WorkHandlerOptions } from "./served_work.ts";

/** A plain call as declared. */
export interface PlainCall {
  readonly route: Route;
  readonly declared: DeclaredWork;
  readonly deadlineMilliseconds: number;
}

/**
 * Serves a plain call without an idempotency key; one that may not be repeated runs at most once
 * because nothing repeats it.
 * @param exchange - The caller's exchange.
 * @param options - The parts of the node.
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
  endCall(exchange, options, outcome);
}

/**
 * Returns the work of a plain call as the dispatcher takes it.
 * @param exchange - The caller's exchange.
 * @param call - The call.
 * @param work - What admission let through.
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
 * Ends a plain call: counts it, or refuses it.
 * @param exchange - The caller's exchange.
 * @param options - The parts of the node.
 * @param outcome - How the call ended.
 * @example
 * ```ts
 * endCall(exchange, options, outcome);
 * ```
 */
export function endCall(
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
