import type { Admission } from "../admission/admission.ts";
import type { UsageRecorder } from "../control/usage_recorder.ts";
import type { Dispatcher } from "../dispatch/dispatcher.ts";
import type { ConfigurationView } from "../membership/configuration_view.ts";
import type { PeerDirectory } from "../membership/peer_directory.ts";
import type { ReplicatedFacts } from "../membership/replicated_facts.ts";
import type { NodeContext } from "../context/node_context.ts";

/** Dependencies of the step service. */
export interface StepServiceOptions {
  readonly context: NodeContext;
  readonly configuration: ConfigurationView;
  readonly replicatedFacts: ReplicatedFacts;
  readonly peers: PeerDirectory;
  readonly admission: Admission;
  readonly dispatcher: Dispatcher;
  readonly usage?: UsageRecorder;
}
