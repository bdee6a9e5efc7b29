import { OperatorView } from "../installation/operator_view.ts";
import { RegionRules } from "../installation/region_rules.ts";
import { ServerView } from "../installation/server_view.ts";
import type { FollowerPace } from "../platform/table_follower.ts";
import type {
  CommonDependencies,
  InstallationNodeOptions,
} from "./installation_node_options.ts";

/** What the views of the store need of the other parts of a node. */
export interface StoreViewParts {
  readonly common: CommonDependencies;
  /** Returns how often the operator's table is read. */
  readonly pace: () => FollowerPace;
  /** Whether this node gets neither callers nor steps at present. */
  readonly isInReserve: () => boolean;
}

/** What a node reads of the operator's rows and of the servers' entries. */
export interface StoreViews {
  readonly operator: OperatorView;
  readonly regionRules: RegionRules;
  readonly servers: ServerView;
}

/**
 * Creates the views of the operator's rows and of the servers' entries.
 * @example
 * ```ts
 * const { operator, regionRules, servers } = createStoreViews(options, {
 *   common,
 *   pace,
 *   isInReserve,
 * });
 * ```
 */
export function createStoreViews(
  { settings, adapters, log }: Pick<
    InstallationNodeOptions,
    "settings" | "adapters" | "log"
  >,
  { common, pace, isInReserve }: StoreViewParts,
): StoreViews {
  const { bounds } = settings;
  const operator = new OperatorView({
    ...common,
    tableName: adapters.operatorTable,
    readRow: adapters.readOperatorRow,
    pace,
    keyWithdrawalMilliseconds: bounds.keyWithdrawalMilliseconds,
  });
  const regionRules = new RegionRules({
    log,
    settings,
    configuration: () => operator.configuration,
  });
  const servers = new ServerView({
    ...common,
    tableName: adapters.serverTable,
    readRow: adapters.readServerRow,
    isInReserve,
    drainMilliseconds: bounds.drainMilliseconds,
  });
  return { operator, regionRules, servers };
}
