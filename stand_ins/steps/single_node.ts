import { create } from "@bufbuild/protobuf";
import { NodeSettingsSchema } from "../../generated/snipepath/v1/settings_pb.ts";
import { createAdmission } from "../../source/admission/node_admission.ts";
import type { PeerDirectory } from "../../source/membership/peer_directory.ts";
import type { ReplicatedFacts } from "../../source/membership/replicated_facts.ts";
import { RecordingEventLog } from "../../source/observability/event_log.ts";
import { StepService } from "../../source/steps/step_service.ts";
import type { EngineSet } from "./engine_set.ts";

/** The step service of a node without peers, with its event log. */
export interface SingleNode {
  readonly steps: StepService;
  readonly log: RecordingEventLog;
}

const NO_REPLICATED_FACTS: ReplicatedFacts = {
  publish: () => {},
  facts: () => [],
  watch: () => () => {},
};

const NO_PEERS: PeerDirectory = {
  peers: () => [],
  chooseReplicaPeer: () => undefined,
  keyAgeMilliseconds: () => 0,
  confirmWithdrawal: () => Promise.resolve(NO_CONFIRMATIONS),
  confirmWeightVersion: () => Promise.resolve(NO_CONFIRMATIONS),
  storeSamples: () => Promise.resolve(false),
  fetchSamples: () => Promise.resolve(undefined),
};

const NO_CONFIRMATIONS = { confirmed: [], silent: [], streamsCut: 0 };

/**
 * Starts the admission and the step service of a node without peers that uses an engine set.
 * @param set - Engine set that the node uses.
 * @param stepTailPolicy - Name of the step tail policy.
 * @example
 * ```ts
 * const { steps } = startSingleNode(set, "resumedTail");
 * ```
 */
export function startSingleNode(
  set: EngineSet,
  stepTailPolicy: string,
): SingleNode {
  const log = new RecordingEventLog();
  const context = {
    ...set.context,
    log,
    settings: create(NodeSettingsSchema, {
      ...set.context.settings,
      stepTailPolicy,
    }),
  };
  const { configuration, servers, dispatcher } = set;
  const admission = createAdmission({
    context,
    configuration,
    peers: NO_PEERS,
    replicatedFacts: NO_REPLICATED_FACTS,
    backends: servers,
  });
  void admission.run();
  const steps = new StepService({
    context,
    configuration,
    replicatedFacts: NO_REPLICATED_FACTS,
    peers: NO_PEERS,
    admission,
    dispatcher,
  });
  void steps.run();
  return { steps, log };
}
