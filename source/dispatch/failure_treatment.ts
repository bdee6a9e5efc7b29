import type { FailureCause } from "../backends/failure_cause.ts";
import type { Cause } from "../observability/cause_ledger.ts";

/** What follows from a failed attempt. */
export interface FailureTreatment {
  /** Whether the server is told to be unreachable. */
  readonly unreachable: boolean;
  /** Whether the tokens of the attempt can be relied on. */
  readonly keepsTokens: boolean;
  /** Whether the failure speaks against the server in later choices. */
  readonly serverFault: boolean;
  /** What the lost time is accounted for. */
  readonly ledgerCause: Cause;
}

/** What follows from each cause of failure. */
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
