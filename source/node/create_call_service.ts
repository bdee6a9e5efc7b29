import { CallService } from "../calls/call_service.ts";
import type { DrainAdmission } from "../calls/drain_admission.ts";
import type { StreamOrigins } from "../calls/stream_origins.ts";
import type { UsageMeter } from "../duties/usage_meter.ts";
import { StepAdmissionControl } from "../durable_steps/step_admission_control.ts";
import { StepIntake } from "../durable_steps/step_intake.ts";
import { StepOwnerChoice } from "../durable_steps/step_owner_choice.ts";
import type { StepTools } from "../durable_steps/step_tools.ts";
import type { NodeRegister } from "../installation/node_register.ts";
import type { OperatorView } from "../installation/operator_view.ts";
import type { Rendezvous } from "../membership/rendezvous.ts";
import type { InstallationNodeOptions } from "./installation_node_options.ts";

/** What the service of calls needs of the other parts of a node. */
export interface CallServiceParts {
  readonly tools: StepTools;
  readonly operator: OperatorView;
  readonly register: NodeRegister;
  readonly rendezvous: Rendezvous;
  readonly streamOrigins: StreamOrigins;
  readonly usage: UsageMeter;
  readonly drainAdmission: DrainAdmission;
}

/**
 * Creates the service that answers calls and accepts steps.
 * @example
 * ```ts
 * const calls = createCallService(options, parts);
 * ```
 */
export function createCallService(
  { settings, adapters, nodeStart, metrics }: InstallationNodeOptions,
  parts: CallServiceParts,
): CallService {
  const { tools, operator, register, rendezvous, streamOrigins, usage } = parts;
  const { drainAdmission } = parts;
  const ownerChoice = new StepOwnerChoice({
    ...tools,
    register,
    rendezvous,
    nodeStart,
    region: settings.region,
  });
  return new CallService({
    clock: tools.clock,
    operator,
    forwarder: tools.forwarder,
    servers: tools.servers,
    regionRules: tools.regionRules,
    serverStarts: tools.serverStarts,
    streamOrigins,
    usage,
    drainAdmission,
    metrics,
    intake: new StepIntake({
      tools,
      readSubmission: adapters.readSubmission,
      admission: new StepAdmissionControl(tools),
      chooseOwner: (submission, allowed) =>
        ownerChoice.choose(submission, allowed),
      mayKeepOwner: (entry, allowed) => ownerChoice.mayKeep(entry, allowed),
    }),
  });
}
