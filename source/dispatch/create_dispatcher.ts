import { CacheEventReader } from "../routing/cache_event_reader.ts";
import {
  createRoutingPolicy,
  isRoutingPolicyName,
} from "../routing/routing_policies.ts";
import type { RoutingPolicyName } from "../routing/routing_policy.ts";
import { RoutingStatistics } from "../routing/routing_statistics.ts";
import { ClassPriorities } from "./class_priorities.ts";
import { CompletionRun } from "./completion_run.ts";
import type { DispatchComponents } from "./dispatch_components.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { DispatcherOptions } from "./dispatcher_options.ts";
import { PlainRun } from "./plain_run.ts";
import { RetryTiming } from "./retry_timing.ts";
import { RetryBudget } from "../decisions/retry_budget.ts";
import { ServerSelector } from "./server_selector.ts";

const DEFAULT_POLICY: RoutingPolicyName = "expectedFinish";

/** Dispatcher of a node, which also polls cache events and counts running requests by server. */
export interface NodeDispatcher extends Dispatcher {
  /** Returns the number of this node's requests that run on the backend server with an address. */
  runningAt(address: string): number;
  /** Polls cache events in the background until the process stops. */
  run(): Promise<void>;
}

/**
 * Creates the dispatcher of a node.
 * @param options - Clients, views and routing policy.
 * @example
 * ```ts
 * const dispatcher = createDispatcher(options);
 * const outcome = await dispatcher.runCompletion(work);
 * ```
 */
export function createDispatcher(options: DispatcherOptions): NodeDispatcher {
  const components = createComponents(options);
  const reader = new CacheEventReader({
    ...options,
    statistics: components.statistics,
  });
  return {
    runCompletion: (work) => new CompletionRun(work, components).run(),
    runPlain: (work) => new PlainRun(work, components).run(),
    run: () => reader.run(),
    runningAt: (address) => components.statistics.running(address),
  };
}

function createComponents(options: DispatcherOptions): DispatchComponents {
  const { context, servers } = options;
  const statistics = new RoutingStatistics();
  const policy = createRoutingPolicy(choosePolicy(options));
  return {
    options,
    statistics,
    budget: new RetryBudget(options.retryBudget),
    priorities: new ClassPriorities(options.configuration),
    retryTiming: new RetryTiming(servers, context.random),
    selector: new ServerSelector({ context, servers, statistics, policy }),
  };
}

function choosePolicy(options: DispatcherOptions): RoutingPolicyName {
  if (options.routingPolicy !== undefined) return options.routingPolicy;
  const name = options.context.settings.routingPolicy;
  return isRoutingPolicyName(name) ? name : DEFAULT_POLICY;
}
