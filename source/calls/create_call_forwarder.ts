import { HedgeTiming } from "../decisions/hedge_timing.ts";
import { RetryBudget } from "../decisions/retry_budget.ts";
import { CallForwarder } from "./call_forwarder.ts";
import type { CallForwarderOptions } from "./call_forwarder_options.ts";
import { CallGate, type CallGateOptions } from "./call_gate.ts";

/** Dependencies of a call forwarder that are not its own. */
export type ForwardingDependencies =
  & Omit<CallForwarderOptions, "gate" | "retryBudget" | "hedgeTiming">
  & Pick<CallGateOptions, "work" | "report">;

/** Creates a call forwarder with a gate and a retry budget of its own. */
export function createCallForwarder(
  dependencies: ForwardingDependencies,
): CallForwarder {
  return new CallForwarder({
    ...dependencies,
    gate: new CallGate(dependencies),
    retryBudget: new RetryBudget(),
    hedgeTiming: new HedgeTiming(),
  });
}
