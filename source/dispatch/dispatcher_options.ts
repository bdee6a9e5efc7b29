import type { BackendServerView } from "../backends/backend_server_state.ts";
import type { EngineClient } from "../backends/engine_client.ts";
import type { PlainClient } from "../backends/plain_client.ts";
import type { ConfigurationView } from "../membership/configuration_view.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { RetryBudgetOptions } from "../decisions/retry_budget.ts";
import type { RoutingPolicyName } from "../routing/routing_policy.ts";

/** Dependencies of a dispatcher. */
export interface DispatcherOptions {
  readonly context: NodeContext;
  readonly servers: BackendServerView;
  readonly engines: EngineClient;
  readonly plainServices: PlainClient;
  readonly configuration: ConfigurationView;
  /** Routing policy; defaults to the one in the settings. */
  readonly routingPolicy?: RoutingPolicyName;
  /** Bounds on retries; defaults to `DEFAULT_RETRY_BUDGET`. */
  readonly retryBudget?: RetryBudgetOptions;
}
