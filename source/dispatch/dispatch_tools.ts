import type { DispatcherOptions } from "./dispatcher_options.ts";
import type { ClassPriorities } from "./class_priorities.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { ServerSelector } from "./server_selector.ts";
import type { RoutingStatistics } from "../routing/server_experience.ts";
import type { RetryAdvisor } from "./retry_advisor.ts";

/** What all runs of a dispatcher share. */
export interface DispatchTools {
  readonly options: DispatcherOptions;
  readonly selector: ServerSelector;
  readonly statistics: RoutingStatistics;
  readonly budget: RetryBudget;
  readonly advisor: RetryAdvisor;
  readonly priorities: ClassPriorities;
}
