import type { Admission } from "../admission/admission.ts";
import type { UsageCounters } from "../control/usage_counters.ts";
import type { DispatchRefusal, Work } from "../dispatch/dispatcher.ts";
import type { Dispatcher } from "../dispatch/dispatcher.ts";
import type { ConfigurationView } from "../membership/configuration_view.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { DeclaredWork } from "./declared_work.ts";
import type { EntryExchange } from "./entry_handler.ts";

const FAILED_KINDS: ReadonlyArray<string> = ["notRun", "unknown", "cut"];

/** What the handlers of callers' work are made from. */
export interface WorkHandlerOptions {
  readonly context: NodeContext;
  readonly configuration: ConfigurationView;
  readonly admission: Admission;
  readonly dispatcher: Dispatcher;
  readonly usage: UsageCounters;
}

/** What one run of admitted work served. */
export interface ServedAmount<Outcome> {
  readonly outcome: Outcome;
  /** Tokens, or 0 for a plain call. */
  readonly tokens: number;
}

/** How one piece of work is to be run. */
export interface WorkPlan<Outcome> {
  readonly exchange: EntryExchange;
  readonly declared: DeclaredWork;
  readonly deadlineMilliseconds: number;
  /** Tokens that the work is expected to take, prompt included; 0 for a plain call. */
  readonly expectedTokens: number;
  /** Runs the work after admission. */
  readonly run: (work: Work) => Promise<ServedAmount<Outcome>>;
}

/**
 * Admits a piece of work, runs it, and accounts for its time.
 * @param options - The parts of the node.
 * @param plan - The work.
 * @returns What the run returned, or the refusal of admission.
 * @example
 * ```ts
 * const outcome = await serveWork(options, { exchange, declared, deadlineMilliseconds, expectedTokens, run });
 * ```
 */
export async function serveWork<Outcome extends { readonly kind: string }>(
  options: WorkHandlerOptions,
  plan: WorkPlan<Outcome>,
): Promise<Outcome | DispatchRefusal> {
  const { exchange, declared } = plan;
  const { context } = options;
  const subject = {
    organisation: exchange.caller.organisation,
    classOfWork: declared.classOfWork.name,
    service: declared.service.name,
  };
  const ledger = context.ledger.open({
    kind: "request",
    identifier: exchange.requestIdentifier,
    ...subject,
  });
  const work: Work = {
    requestIdentifier: exchange.requestIdentifier,
    ...subject,
    deadline: exchange.arrivedAt + plan.deadlineMilliseconds,
    ledger,
    signal: exchange.signal,
  };
  const outcome = await runAdmitted(options, work, plan);
  const milliseconds = context.clock.monotonic() - exchange.arrivedAt;
  const target = declared.classOfWork.latencyP99Milliseconds;
  const isLate = target > 0 && milliseconds > target;
  ledger.close(isLate || FAILED_KINDS.includes(outcome.kind));
  const tags = { ...subject, outcome: outcome.kind };
  context.metrics.histogram("request.milliseconds", milliseconds, tags);
  return outcome;
}

async function runAdmitted<Outcome>(
  options: WorkHandlerOptions,
  work: Work,
  plan: WorkPlan<Outcome>,
): Promise<Outcome | DispatchRefusal> {
  const { expectedTokens } = plan;
  const ticket = await options.admission.admit({ ...work, expectedTokens });
  if (ticket.kind !== "admitted") return ticket;
  let served = 0;
  try {
    const { outcome, tokens } = await plan.run(work);
    served = tokens;
    return outcome;
  } finally {
    ticket.release(served);
  }
}
