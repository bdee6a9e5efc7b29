import type { Admission } from "../admission/admission.ts";
import type { UsageRecorder } from "../control/usage_recorder.ts";
import type { DispatchRefusal, Work } from "../dispatch/dispatcher.ts";
import type { Dispatcher } from "../dispatch/dispatcher.ts";
import type { ConfigurationView } from "../membership/configuration_view.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { DeclaredWork } from "./declared_work.ts";
import type { EntryExchange } from "./entry_handler.ts";

const FAILED_KINDS: ReadonlyArray<string> = ["notRun", "unknown", "cut"];

/** Components of the node that serve the work of callers. */
export interface WorkHandlerOptions {
  readonly context: NodeContext;
  readonly configuration: ConfigurationView;
  readonly admission: Admission;
  readonly dispatcher: Dispatcher;
  readonly usage: UsageRecorder;
}

/** The result of running admitted work. */
export interface WorkResult<Outcome> {
  readonly outcome: Outcome;
  /** Number of tokens that were used; 0 for a plain call. */
  readonly tokens: number;
}

/** Describes one piece of work to run. */
export interface WorkPlan<Outcome> {
  readonly exchange: EntryExchange;
  readonly declared: DeclaredWork;
  /** Time from the arrival of the request to its deadline, in milliseconds. */
  readonly deadlineMilliseconds: number;
  /** Expected number of tokens, including the prompt; 0 for a plain call. */
  readonly expectedTokens: number;
  /** Runs the work after it was admitted. */
  readonly run: (work: Work) => Promise<WorkResult<Outcome>>;
}

/**
 * Admits a piece of work, runs it, and accounts for its duration.
 * @param options - Components of the node that serve the work.
 * @param plan - The work to run.
 * @returns The outcome of the run, or the refusal of admission.
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
  let usedTokens = 0;
  try {
    const { outcome, tokens } = await plan.run(work);
    usedTokens = tokens;
    return outcome;
  } finally {
    ticket.release(usedTokens);
  }
}
