import {
  create,
  fromJsonString,
  type MessageInitShape,
} from "@bufbuild/protobuf";
import {
  type GetStatusResponse,
  GetStatusResponseSchema,
  type NodeStatusSchema,
  type ServiceStatusSchema,
  type TrainerStatusSchema,
} from "../../generated/snipepath/v1/operator_pb.ts";
import {
  type LeaseRecord,
  LeaseRecordSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import type { Admission } from "../admission/admission.ts";
import type { BackendServerView } from "../backends/backend_server_state.ts";
import type { ConfigurationView } from "../membership/configuration_view.ts";
import type { PeerDirectory } from "../membership/peer_directory.ts";
import type { ReplicatedFacts } from "../membership/replicated_facts.ts";
import type { NodeContext } from "../context/node_context.ts";

const MAXIMUM_LEASES = 200;
const LEASE_TABLE = "leases";

/** Components of a node from which its status is read. */
export interface StatusSources {
  readonly context: NodeContext;
  readonly configuration: ConfigurationView;
  readonly peers: PeerDirectory;
  readonly replicatedFacts: ReplicatedFacts;
  readonly servers: BackendServerView;
  readonly admission: Admission;
  /** Returns whether this node has started to drain. */
  readonly isDraining: () => boolean;
}

/**
 * Reads the status of the deployment from the data that this node holds.
 * @param sources - Components of this node.
 */
export async function readStatus(
  sources: StatusSources,
): Promise<GetStatusResponse> {
  return create(GetStatusResponseSchema, {
    nodes: listNodes(sources),
    leases: [...await readLeases(sources.context)],
    services: listServices(sources),
    trainers: listTrainers(sources),
    answeredBy: sources.context.settings.node,
    tableAgeSeconds: Math.round(sources.peers.keyAgeMilliseconds() / 1000),
  });
}

function listNodes(
  sources: StatusSources,
): MessageInitShape<typeof NodeStatusSchema>[] {
  const { settings, nodeStart } = sources.context;
  const own = {
    node: settings.node,
    nodeStart,
    address: settings.peerAddress,
    failureDomain: settings.failureDomain,
    leaving: sources.isDraining(),
    configurationRevision: sources.configuration.current()?.revision ?? 0n,
    ageMilliseconds: 0,
  };
  const others = sources.peers.peers().map((peer) => ({
    node: peer.node,
    nodeStart: peer.nodeStart,
    address: peer.peerAddress,
    failureDomain: peer.failureDomain,
    leaving: peer.leaving,
    configurationRevision: BigInt(peer.configurationRevision),
    ageMilliseconds: Math.round(peer.ageMilliseconds),
  }));
  return [own, ...others].sort((left, right) =>
    left.node.localeCompare(right.node)
  );
}

async function readLeases(
  context: NodeContext,
): Promise<ReadonlyArray<LeaseRecord>> {
  const rows = await context.platform.table.list(LEASE_TABLE, {
    prefix: "",
    maximum: MAXIMUM_LEASES,
  });
  if (rows.kind !== "ok") return [];
  return rows.value.map((row) => fromJsonString(LeaseRecordSchema, row.value));
}

function listServices(
  sources: StatusSources,
): MessageInitShape<typeof ServiceStatusSchema>[] {
  const services = sources.configuration.current()?.declaration?.services ?? [];
  return services.map(({ name }) => ({
    service: name,
    queued: sources.admission.queued(name),
    servers: sources.servers.servers(name).map((server) => ({
      address: server.address,
      failureDomain: server.failureDomain,
      tier: server.tier,
      leaving: server.leaving,
      reachable: server.reachable,
      running: server.running,
      waiting: server.waiting,
      weightVersions: server.weightVersions.map(BigInt),
    })),
  }));
}

function listTrainers(
  sources: StatusSources,
): MessageInitShape<typeof TrainerStatusSchema>[] {
  const trainers = sources.configuration.current()?.declaration?.trainers ?? [];
  const versions = sources.replicatedFacts.facts("weightVersion");
  const steps = sources.replicatedFacts.facts("step");
  return trainers.map(({ name }) => ({
    trainer: name,
    newestVersion: versions.filter((fact) => fact.key === name)
      .reduce(
        (highest, fact) =>
          fact.value.newestVersion > highest
            ? fact.value.newestVersion
            : highest,
        0n,
      ),
    stepsRunning: new Set(
      steps.filter((fact) =>
        fact.key.startsWith(`${name}/`) && !fact.value.ended
      )
        .map((fact) => fact.key),
    ).size,
  }));
}
