import { CacheEventReader } from "../routing/cache_event_reader.ts";
import {
  createRoutingPolicy,
  isRoutingPolicyName,
} from "../routing/routing_policies.ts";
import type { RoutingPolicyName } from "../routing/routing_policy.ts";
import { RoutingStatistics } from "../routing/server_experience.ts";
import { ClassPriorities } from "./class_priorities.ts";
import { CompletionRun } from "./completion_run.ts";
import type { DispatchTools } from "./dispatch_tools.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { DispatcherOptions } from "./dispatcher_options.ts";
import { PlainRun } from "./plain_run.ts";
import { RetryAdvisor } from "./retry_advisor.ts";
import { RetryBudget } from "./retry_budget.ts";
import { ServerSelector } from "./server_selector.ts";

const DEFAULT_POLICY: RoutingPolicyName = "expectedFinish";

/** A dispatcher that also tells what it has running. */
export interface NodeDispatcher extends Dispatcher {
  /** Requests that this node has running on a backend server. */
  runningAt(address: string): number;
  /** Reads cache events in the background until the process ends. */
  run(): Promise<void>;
}

/**
 * Creates the dispatcher of a node.
 * @param options - Clients, views and the routing policy.
 * @example
 * ```ts
 * const dispatcher = createDispatcher(options);
 * const outcome = await dispatcher.runCompletion(work);
 * ```
 */
export function createDispatcher(options: DispatcherOptions): NodeDispatcher {
  const tools = createTools(options);
  const reader = new CacheEventReader({
    ...options,
    statistics: tools.statistics,
  });
  return {
    runCompletion: (work) => new CompletionRun(work, tools).run(),
    runPlain: (work) => new PlainRun(work, tools).run(),
    run: () => reader.run(),
    runningAt: (address) => tools.statistics.running(address),
  };
}

function createTools(options: DispatcherOptions): DispatchTools {
  const { context, servers } = options;
  const statistics = new RoutingStatistics();
  const policy = createRoutingPolicy(choosePolicy(options));
  return {
    options,
    statistics,
    budget: new RetryBudget(options.retryBudget),
    priorities: new ClassPriorities(options.configuration),
    advisor: new RetryAdvisor(servers, context.random),
    selector: new ServerSelector({ context, servers, statistics, policy }),
  };
}

function choosePolicy(options: DispatcherOptions): RoutingPolicyName {
  if (options.routingPolicy !== undefined) return options.routingPolicy;
  const name = options.context.settings.routingPolicy;
  return isRoutingPolicyName(name) ? name : DEFAULT_POLICY;
}
