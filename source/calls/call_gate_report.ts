import type { Metrics } from "../observability/metrics.ts";
import type { GateOutcome } from "./gate_outcome.ts";

/** Outcome of the gate as a label, and whether the call was served. */
const RESULTS: Readonly<Record<GateOutcome["kind"], string>> = {
  open: "served",
  rejected: "refused",
  outdated: "outdated",
  stopping: "refused",
  cancelled: "cancelled",
};

/** Counts the calls that a gate let through and refused, by rank. */
export class CallGateReport {
  readonly #metrics: Metrics;

  /** @param metrics - The node's metrics. */
  constructor(metrics: Metrics) {
    this.#metrics = metrics;
  }

  /** Counts a call. */
  recordOutcome(
    { priority }: { readonly priority: number },
    outcome: GateOutcome["kind"],
  ): void {
    this.#metrics.count("gated_calls", {
      rank: String(priority),
      result: RESULTS[outcome],
    });
  }
}
