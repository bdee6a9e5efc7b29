import type { FailureCause } from "../backends/failure_cause.ts";
import type { Cause } from "../observability/cause_ledger.ts";

/** Consequences of a failed attempt. */
export interface FailureTreatment {
  /** Whether the server is marked as unreachable. */
  readonly unreachable: boolean;
  /** Whether the tokens of the attempt are valid and the completion may resume from them. */
  readonly keepsTokens: boolean;
  /** Whether the failure counts against the server in later routing. */
  readonly serverFault: boolean;
  /** Cause to which the lost time is attributed. */
  readonly ledgerCause: Cause;
}

/** Consequences of each cause of failure. */
export const FAILURE_TREATMENTS: Readonly<
  Record<FailureCause, FailureTreatment>
> = {
  connect: {
    unreachable: true,
    keepsTokens: true,
    serverFault: true,
    ledgerCause: "serverErrors",
  },
  withheld: {
    unreachable: false,
    keepsTokens: true,
    serverFault: false,
    ledgerCause: "reclaim",
  },
  refused: {
    unreachable: false,
    keepsTokens: true,
    serverFault: false,
    ledgerCause: "noCapacity",
  },
  cancelled: {
    unreachable: false,
    keepsTokens: true,
    serverFault: false,
    ledgerCause: "generation",
  },
  cut: {
    unreachable: false,
    keepsTokens: true,
    serverFault: true,
    ledgerCause: "serverErrors",
  },
  silent: {
    unreachable: false,
    keepsTokens: true,
    serverFault: true,
    ledgerCause: "slowServer",
  },
  status: {
    unreachable: false,
    keepsTokens: true,
    serverFault: true,
    ledgerCause: "serverErrors",
  },
  untrusted: {
    unreachable: false,
    keepsTokens: false,
    serverFault: true,
    ledgerCause: "serverErrors",
  },
};
