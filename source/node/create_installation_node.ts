import { randomInt } from "node:crypto";
import { CallRelay } from "../calls/call_relay.ts";
import { CrashDetector } from "../calls/crash_detector.ts";
import { CrashGuard } from "../calls/crash_guard.ts";
import { CrashRecords } from "../calls/crash_records.ts";
import { DrainAdmission } from "../calls/drain_admission.ts";
import { StreamOrigins } from "../calls/stream_origins.ts";
import { WeightLoadScheduler } from "../duties/weight_load_scheduler.ts";
import { StepReader } from "../durable_steps/step_reader.ts";
import { StepRetention } from "../durable_steps/step_retention.ts";
import { StepSupervisor } from "../durable_steps/step_supervisor.ts";
import { WorkSharing } from "../installation/work_sharing.ts";
import { createRendezvous } from "../membership/rendezvous.ts";
import { MeasuredTable } from "../platform/measured_table.ts";
import { type FollowerPace, USUAL_PACE } from "../platform/table_follower.ts";
import { createRandomSource } from "../utilities/random_source.ts";
import { applyServerNews, restoreServerNews } from "./apply_server_news.ts";
import { createClientMemory } from "./create_client_memory.ts";
import { createCallService } from "./create_call_service.ts";
import { createDuties } from "./create_duties.ts";
import { createDutyLease } from "./create_duty_lease.ts";
import { createNodeRegister } from "./create_node_register.ts";
import { createRequestLimits } from "./create_request_limits.ts";
import { createServerChoice } from "./create_server_choice.ts";
import { createServerPaths } from "./create_server_paths.ts";
import { createStepTools } from "./create_step_tools.ts";
import { createStoreViews } from "./create_store_views.ts";
import { setInstallationGauges } from "./installation_gauges.ts";
import { InstallationNode } from "./installation_node.ts";
import type { InstallationNodeOptions } from "./installation_node_options.ts";

/**
 * Pace of the nodes that get neither callers nor steps. They still see changes well within the bounds
 * on configurations (2 s and more) and keys (5 s).
 */
const RESERVE_PACE: FollowerPace = {
  longPollMilliseconds: 2000,
  pauseAfterChangesMilliseconds: 700,
};

/** Creates a node of an installation from its parts; the node does nothing before `run`. */
export async function createInstallationNode(
  options: InstallationNodeOptions,
): Promise<InstallationNode> {
  const { settings, adapters, nodeStart, clock, log, metrics, stopping } =
    options;
  const { client } = adapters;
  const table = new MeasuredTable(adapters.table, { clock, metrics });
  const common = { clock, log, table, stopping };
  const rendezvous = await createRendezvous();
  const random = createRandomSource(randomInt(0x7fff_ffff));
  const created: { node?: InstallationNode } = {};
  const pace = (): FollowerPace =>
    register.isInReserve ? RESERVE_PACE : USUAL_PACE;
  const views = createStoreViews(options, {
    common,
    pace,
    isInReserve: () => register.isInReserve,
  });
  const { operator, regionRules, servers } = views;
  // Before the other parts that watch the tables, so that limits and evacuations hold before requests
  // are sent.
  const { warmUps, limits } = createRequestLimits(options, views);
  const { serverCheck, serverPaths } = createServerPaths(options, {
    random,
    operator,
    servers,
    warmUps,
  });
  const { statistics, pool, engineUseExchange } = createServerChoice(options, {
    ...views,
    random,
    rendezvous,
    limits,
    serverPaths,
  });
  const work = new WorkSharing({
    clock,
    onClaimIgnored: (service) => {
      metrics.count("slot_claims_ignored", {});
      log.emit("slotClaimIgnored", { service });
    },
  });
  const { register, sharedClock, usage } = createNodeRegister(options, {
    common,
    work,
    servers,
    serverPaths,
    engineUseExchange,
    limits,
    warmUpLimits: warmUps.limits,
    findNode: () => created.node,
  });
  // Before the steps watch the register, so that they are checked with the news of the same read.
  applyServerNews({
    client,
    register,
    servers,
    engineUseExchange,
    limits,
    warmUpLimits: warmUps.limits,
    work,
  });
  const stored = { ...common, clock: sharedClock };
  const { leaseElector, lease } = createDutyLease(options, {
    common,
    random,
    register,
    isCandidate: () => !callRelay.isNodeReplaceable,
  });
  const callRelay = new CallRelay({
    clock,
    log,
    random,
    client: adapters.peers,
    paths: serverPaths,
    failureDomain: settings.failureDomain,
    region: settings.region,
    isInRegion: (domain) => regionRules.isInOwnRegion(domain),
    listOthers: () => register.others,
  });
  const crashRecords = new CrashRecords({
    ...stored,
    lease,
    pace,
    findServers: (service) => servers.ofService(service),
  });
  const crashGuard = new CrashGuard({
    log,
    records: crashRecords,
    detector: new CrashDetector({
      check: serverCheck,
      isCutOff: () => serverPaths.check(),
    }),
  });
  const tools = createStepTools(options, {
    ...views,
    common,
    sharedClock,
    random,
    pace,
    warmUps,
    limits,
    serverPaths,
    statistics,
    pool,
    crashGuard,
    callRelay,
    work,
  });
  operator.watch(() => tools.forwarder.restartOutdatedWaits());
  const steps = new StepSupervisor({
    tools,
    register,
    rendezvous,
    nodeStart,
    readSignature: adapters.readSignature,
    mustYield: () => callRelay.isNodeReplaceable,
    stopping,
  });
  const streamOrigins = new StreamOrigins({
    ...stored,
    storeHealth: table.health,
    lease,
  });
  const drainAdmission = new DrainAdmission({
    clock,
    random,
    metrics,
    hasOtherNodes: () => register.others.some(({ isServing }) => isServing),
  });
  const calls = createCallService(options, {
    tools,
    operator,
    register,
    rendezvous,
    streamOrigins,
    usage,
    drainAdmission,
  });
  const duties = createDuties(options, {
    common: stored,
    lease,
    operator,
    servers,
    register,
  });
  const { clientMemory, clientLimits, memoryWatch } = createClientMemory(
    options,
  );
  const node = new InstallationNode({
    metrics,
    clientMemory,
    clientLimits,
    operator,
    regionRules,
    servers,
    register,
    storeHealth: table.health,
    clock,
    drainAdmission,
    stopWaitingCalls: () => tools.forwarder.stopWaits(),
    calls,
    steps,
    reader: new StepReader(tools),
    setGauges: () =>
      setInstallationGauges({
        metrics,
        operator,
        regionRules,
        servers,
        register,
        steps,
        pool,
        limits,
        warmUpLimits: warmUps.limits,
        work,
        crashRecords,
        serverPaths,
        lease,
        clientMemory,
        clientLimits,
      }),
    supervision: { clock, log, stopping },
    restore: () =>
      restoreServerNews({ ...common, node: settings.node, servers }),
    background: [
      memoryWatch,
      operator,
      servers,
      register,
      tools.stepRegistry,
      steps,
      usage,
      leaseElector,
      streamOrigins,
      crashRecords,
      new StepRetention({
        ...stored,
        stepRegistry: tools.stepRegistry,
        lease,
        retentionMilliseconds: settings.bounds.resultRetentionMilliseconds,
      }),
      new WeightLoadScheduler({
        ...common,
        operator,
        servers,
        limits,
        pool,
        engineUseExchange,
        client,
        lease,
        stepRegistry: tools.stepRegistry,
      }),
      ...duties,
    ],
  });
  created.node = node;
  return node;
}
