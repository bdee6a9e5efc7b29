import type { DispatcherOptions } from "./dispatcher_options.ts";
import type { ClassPriorities } from "./class_priorities.ts";
import type { RetryBudget } from "../decisions/retry_budget.ts";
import type { ServerSelector } from "./server_selector.ts";
import type { RoutingStatistics } from "../routing/routing_statistics.ts";
import type { RetryTiming } from "./retry_timing.ts";

/** Components that all runs of a dispatcher share. */
export interface DispatchComponents {
  readonly options: DispatcherOptions;
  readonly selector: ServerSelector;
  readonly statistics: RoutingStatistics;
  readonly budget: RetryBudget;
  readonly retryTiming: RetryTiming;
  readonly priorities: ClassPriorities;
}
