import { LeaseElector } from "../control/lease_elector.ts";
import { DutyLease } from "../duties/duty_lease.ts";
import { LeaseTable } from "../duties/lease_table.ts";
import type { NodeRegister } from "../installation/node_register.ts";
import type { RandomSource } from "../utilities/random_source.ts";
import type {
  CommonDependencies,
  InstallationNodeOptions,
} from "./installation_node_options.ts";

/**
 * Length of the duty lease, short enough that another node takes it over about 2 s after its holder
 * is lost.
 */
const LEASE_MILLISECONDS = 1200;
/**
 * Time for which a takeover waits after the lease's end, as a duty call may still be in progress.
 */
const ORDER_DEADLINE_MILLISECONDS = 300;
const DUTY_LEASE = "duties";

/** What the duty lease needs of the other parts of a node. */
export interface DutyLeaseParts {
  readonly common: CommonDependencies;
  readonly random: RandomSource;
  readonly register: NodeRegister;
  /** Whether this node may hold the lease at present. */
  readonly isCandidate: () => boolean;
}

/** The duty lease and what acquires and renews it. */
export interface ElectedDutyLease {
  readonly leaseElector: LeaseElector;
  readonly lease: DutyLease;
}

/**
 * Creates the lease of the node that performs the duties.
 * @example
 * ```ts
 * const { leaseElector, lease } = createDutyLease(options, {
 *   common,
 *   random,
 *   register,
 *   isCandidate,
 * });
 * ```
 */
export function createDutyLease(
  { settings, nodeStart }: Pick<
    InstallationNodeOptions,
    "settings" | "nodeStart"
  >,
  { common, random, register, isCandidate }: DutyLeaseParts,
): ElectedDutyLease {
  const leaseElector = new LeaseElector({
    name: DUTY_LEASE,
    countLeaseCandidates: () => register.running.length,
    returnMilliseconds: settings.bounds.leaseMilliseconds,
    isCandidate,
    isNodeProcessUnique: true,
    context: {
      ...common,
      nodeStart,
      random,
      settings: {
        node: settings.node,
        leaseMilliseconds: LEASE_MILLISECONDS,
        orderDeadlineMilliseconds: ORDER_DEADLINE_MILLISECONDS,
      },
      platform: { table: new LeaseTable(common.table) },
    },
  });
  return { leaseElector, lease: new DutyLease(leaseElector, settings.node) };
}
