import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { DeclarationSchema } from "../../generated/snipepath/v1/declaration_pb.ts";
import { ConfigurationRecordSchema } from "../../generated/snipepath/v1/records_pb.ts";
import { NodeSettingsSchema } from "../../generated/snipepath/v1/settings_pb.ts";
import {
  createAdmission,
  type NodeAdmission,
} from "../../source/admission/node_admission.ts";
import type { AdmissionPolicyName } from "../../source/admission/policies/policy_table.ts";
import type { BackendServerState } from "../../source/backends/backend_server_state.ts";
import type { Peer } from "../../source/membership/peer_directory.ts";
import { RecordingEventLog } from "../../source/observability/event_log.ts";
import { NO_METRICS } from "../../source/observability/metrics.ts";
import type { Clock } from "../../source/utilities/clock.ts";
import { createRandomSource } from "../../source/utilities/random_source.ts";
import { MemoryPlatform } from "./memory_platform.ts";
import { FactBus } from "./fact_bus.ts";

/** Options of an admission bench. */
export interface AdmissionBenchOptions {
  readonly clock: Clock;
  readonly nodes: number;
  readonly policy: AdmissionPolicyName;
  readonly declaration: MessageInitShape<typeof DeclarationSchema>;
  /** Delay between the publication of a fact and its receipt by other nodes. */
  readonly factDelayMilliseconds: number;
  /** Returns the state of a service's backend servers according to their latest load reports. */
  readonly servers: (service: string) => ReadonlyArray<BackendServerState>;
}

/** The admission of several nodes that exchange facts over a bus with a delay. */
export interface AdmissionBench {
  readonly nodes: ReadonlyArray<NodeAdmission>;
  readonly bus: FactBus;
}

/**
 * Creates the admission of several nodes that share one declaration.
 * @param options - Clock, number of nodes, policy, declaration, fact delay and server states.
 * @example
 * ```ts
 * const { nodes } = createAdmissionBench({
 *   clock,
 *   nodes: 3,
 *   policy: "slackFair",
 *   declaration,
 *   factDelayMilliseconds: 500,
 *   servers,
 * });
 * ```
 */
export function createAdmissionBench(
  options: AdmissionBenchOptions,
): AdmissionBench {
  const { clock, factDelayMilliseconds } = options;
  const bus = new FactBus({ clock, delayMilliseconds: factDelayMilliseconds });
  const names = Array.from(
    { length: options.nodes },
    (_, index) => `node-${index + 1}`,
  );
  const peers = names.map(describePeer);
  const record = create(ConfigurationRecordSchema, {
    revision: 1n,
    declaration: create(DeclarationSchema, options.declaration),
  });
  const nodes = names.map((node) =>
    createAdmission({
      context: {
        settings: create(NodeSettingsSchema, {
          node,
          admissionPolicy: options.policy,
        }),
        nodeStart: `${node}-start`,
        clock,
        random: createRandomSource(1),
        log: new RecordingEventLog(),
        metrics: NO_METRICS,
        platform: new MemoryPlatform(),
        ledger: {
          open: () => ({ add: () => {}, close: () => {} }),
          explain: () => ({ causes: {}, subjects: 0, targetsMissed: 0 }),
        },
        stopping: new AbortController().signal,
      },
      configuration: {
        current: () => record,
        adopt: () => {},
        watch: () => () => {},
      },
      peers: { peers: () => peers.filter((peer) => peer.node !== node) },
      replicatedFacts: bus.join(node),
      backends: {
        servers: options.servers,
        isAvailable: () => true,
        markUnreachable: () => {},
      },
    })
  );
  return { nodes, bus };
}

/**
 * Creates the state of a backend server.
 * @param address - HOST:PORT of the server.
 * @param load - Fields that differ from those of an idle server.
 * @example
 * ```ts
 * const server = describeServer("127.0.0.1:9001", { running: 8, waiting: 2 });
 * ```
 */
export function describeServer(
  address: string,
  load: Partial<BackendServerState> = {},
): BackendServerState {
  return {
    address,
    service: "assist-lm",
    failureDomain: "otj-central",
    tier: "steady",
    startIdentity: "start",
    leaving: false,
    reachable: true,
    running: 0,
    waiting: 0,
    loadAgeMilliseconds: 0,
    cacheFreePermille: 1000,
    weightVersions: [],
    dispatchedByPeers: 0,
    tokensPerSecond: 0,
    microsPerHour: 0,
    ...load,
  };
}

function describePeer(node: string): Peer {
  return {
    node,
    nodeStart: `${node}-start`,
    failureDomain: "otj-central",
    peerAddress: "",
    callerAddress: "",
    leaving: false,
    configurationRevision: 1,
    ageMilliseconds: 0,
  };
}
