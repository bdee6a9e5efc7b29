import { type FollowerPace, USUAL_PACE } from "../platform/table_follower.ts";
import { TextLengthEstimate } from "../decisions/text_length.ts";
import { randomInt } from "node:crypto";
import { createCallForwarder } from "../calls/create_call_forwarder.ts";
import { CrashDetector } from "../calls/crash_detector.ts";
import { CrashGuard } from "../calls/crash_guard.ts";
import { CrashRecords } from "../calls/crash_records.ts";
import { CallRelay } from "../calls/call_relay.ts";
import { CallService } from "../calls/call_service.ts";
import { StreamOrigins } from "../calls/stream_origins.ts";
import { ServerCallStatistics } from "../calls/server_call_statistics.ts";
import { LeaseElector } from "../control/lease_elector.ts";
import { DutyLease } from "../duties/duty_lease.ts";
import { LeaseTable } from "../duties/lease_table.ts";
import { UsageMeter } from "../duties/usage_meter.ts";
import { WeightLoadScheduler } from "../duties/weight_load_scheduler.ts";
import { EngineUseExchange } from "../durable_steps/engine_use_exchange.ts";
import { EngineUseReport } from "../durable_steps/engine_use_report.ts";
import { EnginePool } from "../durable_steps/engine_pool.ts";
import { ProgressStore } from "../durable_steps/progress_store.ts";
import { ResultList } from "../durable_steps/result_list.ts";
import { StepRegistry } from "../durable_steps/step_registry.ts";
import { StepAdmissionControl } from "../durable_steps/step_admission_control.ts";
import { StepIntake } from "../durable_steps/step_intake.ts";
import { StepSupervisor } from "../durable_steps/step_supervisor.ts";
import { StepReader } from "../durable_steps/step_reader.ts";
import { StepRetention } from "../durable_steps/step_retention.ts";
import type { StepTools } from "../durable_steps/step_tools.ts";
import { StepOwnerChoice } from "../durable_steps/step_owner_choice.ts";
import { SubmissionStore } from "../durable_steps/submission_store.ts";
import type { InstallationSettings } from "../installation/installation_settings.ts";
import { isWallOffsetPublished } from "../installation/is_wall_offset_published.ts";
import { needsSingleVersion } from "../installation/needs_single_version.ts";
import { SlotSharing } from "../installation/slot_sharing.ts";
import { NodeRegister } from "../installation/node_register.ts";
import { OperatorView } from "../installation/operator_view.ts";
import { ContinuationClient } from "../installation/continuation_client.ts";
import { RegionRules } from "../installation/region_rules.ts";
import { ServerCheck } from "../installation/server_check.ts";
import { ServerLimits } from "../installation/server_limits.ts";
import { ServerPaths } from "../installation/server_paths.ts";
import { ServerStarts } from "../installation/server_starts.ts";
import { ServerView } from "../installation/server_view.ts";
import { SharedClock } from "../installation/shared_clock.ts";
import { createRendezvous } from "../membership/rendezvous.ts";
import type { Metrics } from "../observability/metrics.ts";
import type { EventLog } from "../observability/event_log.ts";
import { MeasuredTable } from "../platform/measured_table.ts";
import type { Clock } from "../utilities/clock.ts";
import { createRandomSource } from "../utilities/random_source.ts";
import { applyServerNews, restoreServerNews } from "./apply_server_news.ts";
import { createDuties } from "./create_duties.ts";
import { createWarmUps } from "./create_warm_ups.ts";
import { setInstallationGauges } from "./installation_gauges.ts";
import type { InstallationAdapters } from "./installation_adapters.ts";
import { InstallationNode } from "./installation_node.ts";

/**
 * Length of the duty lease, short enough that another node takes it over about 2 s after its holder
 * is lost.
 */
const LEASE_MILLISECONDS = 1200;
/**
 * Time for which a takeover waits after the lease's end, as a duty call may still be in progress.
 */
const ORDER_DEADLINE_MILLISECONDS = 300;
const DUTY_LEASE = "duties";
/**
 * Pace of the nodes that get neither callers nor steps. They still see changes well within the bounds
 * on configurations (2 s and more) and keys (5 s).
 */
const RESERVE_PACE: FollowerPace = {
  longPollMilliseconds: 2000,
  pauseAfterChangesMilliseconds: 700,
};
/** Dependencies of a node of an installation. */
export interface InstallationNodeOptions {
  readonly settings: InstallationSettings;
  readonly adapters: InstallationAdapters;
  /** Identity of this process: the node's name and a random part that is new at each start. */
  readonly nodeStart: string;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly stopping: AbortSignal;
}

/** Creates a node of an installation from its parts; the node does nothing before `run`. */
export async function createInstallationNode(
  options: InstallationNodeOptions,
): Promise<InstallationNode> {
  const { settings, adapters, clock, log, metrics, stopping } = options;
  const { client } = adapters;
  const table = new MeasuredTable(adapters.table, { clock, metrics });
  const common = { clock, log, table, stopping };
  const rendezvous = await createRendezvous();
  const random = createRandomSource(randomInt(0x7fff_ffff));
  const { nodeStart } = options;
  const { bounds, failureDomain } = settings;
  const pace = (): FollowerPace =>
    register.isInReserve ? RESERVE_PACE : USUAL_PACE;
  const operator = new OperatorView({
    ...common,
    tableName: adapters.operatorTable,
    readRow: adapters.readOperatorRow,
    pace,
    keyWithdrawalMilliseconds: bounds.keyWithdrawalMilliseconds,
  });
  const regionRules = new RegionRules({
    log,
    settings,
    configuration: () => operator.configuration,
  });
  const servers = new ServerView({
    ...common,
    tableName: adapters.serverTable,
    readRow: adapters.readServerRow,
    isInReserve: () => register.isInReserve,
    drainMilliseconds: bounds.drainMilliseconds,
  });
  const warmUps = createWarmUps({
    ...options,
    servers,
    operator,
    client,
    onMoreRoom: () => limits.notify(),
  });
  // Before the other watchers, so that nothing uses a configuration without its evacuations, and after
  // the warm-ups, so that servers whose evacuation ends are limited before they get requests.
  operator.watch(() => servers.setEvacuatedDomains(operator.evacuatedDomains));
  const limits = new ServerLimits({
    node: settings.node,
    clock,
    log,
    warmUps: warmUps.limits,
  });
  client.watchLimits((server, requestsPerSecond) =>
    limits.recordAnswer(server, requestsPerSecond)
  );
  servers.watch(() =>
    limits.removeUnregistered((identifier) => servers.servers.has(identifier))
  );
  const created: { node?: InstallationNode } = {};
  const sharing = new SlotSharing({
    node: settings.node,
    clock,
    rendezvous,
    findService: (server) => servers.servers.get(server)?.service,
  });
  const statistics = new ServerCallStatistics({
    clock,
    random,
    failureDomain,
    limits,
    sharing,
    isConnected: (server) => client.isConnected(server),
  });
  const findHealthPath = (service: string): string | undefined =>
    operator.configuration?.services.get(service)?.healthPath;
  const serverCheck = new ServerCheck({
    client,
    findHealthPath,
    isEvacuated: (server) => servers.isEvacuated(server),
    onCheck: (identifier) => warmUps.limits.recordRequest(identifier),
  });
  const serverPaths = new ServerPaths({
    clock,
    log,
    random,
    check: serverCheck,
    listServers: () =>
      warmUps.preferWarm(
        [...servers.servers.values()].filter(({ identifier, service }) =>
          servers.isServing(identifier) && findHealthPath(service) !== undefined
        ),
      ),
    stopping,
  });
  client.watchLimits(() => serverPaths.recordAnswer());
  client.watchFailures((cause) => serverPaths.recordFailure(cause));
  const pool = new EnginePool(clock, {
    servers,
    limits,
    sharing,
    rendezvous,
    report: new EngineUseReport({ metrics, log }),
    isConnected: (engine) => client.isConnected(engine),
    findMemoryTokens: (service) =>
      operator.configuration?.services.get(service)?.engineMemoryTokens ?? 0,
    finishesRunsBeforeLoads: (service) => {
      const { configuration } = operator;
      return configuration !== undefined &&
        needsSingleVersion(configuration, service);
    },
    onQuiet: () => void serverPaths.check(),
  });
  operator.watch(() => {
    if (regionRules.takeChange()) pool.restartWaits();
  });
  const engineUseExchange = new EngineUseExchange(clock, {
    pool,
    statistics,
    sharing,
  });
  const sharedClock = new SharedClock({
    clock,
    otherOffsets: () =>
      register.others.flatMap(({ wallOffset }) => wallOffset ?? []),
  });
  adapters.watchStoreTime((milliseconds) =>
    sharedClock.recordStoreTime(milliseconds)
  );
  const stored = { ...common, clock: sharedClock };
  const usage = new UsageMeter({
    ...stored,
    nodeStart,
    windowMilliseconds: bounds.usageWindowMilliseconds,
  });
  const register = new NodeRegister({
    ...common,
    self: () => ({
      node: settings.node,
      nodeStart,
      failureDomain,
      processorShare: settings.processorShare,
      callerAddress: settings.callerAddress,
      peerAddress: settings.peerAddress,
      isCutOff: serverPaths.isCutOff,
      isRunningSteps: (created.node?.parts.steps.running ?? 0) > 0,
      engineUse: engineUseExchange.toRecord(),
      isServing: created.node?.isReady ?? false,
      leavingServers: servers.leavingWithoutEntry,
      limits: limits.toRecords(),
      demands: warmUps.limits.toDemands(),
      wallOffset: isWallOffsetPublished(clock)
        ? sharedClock.ownOffset
        : undefined,
      usageSettledThrough: usage.settledThrough,
    }),
  });
  applyServerNews({
    client,
    register,
    servers,
    engineUseExchange,
    limits,
    warmUpLimits: warmUps.limits,
  });
  const stepRegistry = new StepRegistry({ ...common, pace });
  const leaseElector = new LeaseElector({
    name: DUTY_LEASE,
    countLeaseCandidates: () => register.running.length,
    returnMilliseconds: bounds.leaseMilliseconds,
    isCandidate: () => !callRelay.isNodeReplaceable,
    isNodeProcessUnique: true,
    context: {
      ...common,
      nodeStart,
      random,
      settings: {
        node: settings.node,
        leaseMilliseconds: LEASE_MILLISECONDS,
        orderDeadlineMilliseconds: ORDER_DEADLINE_MILLISECONDS,
      },
      platform: { table: new LeaseTable(table) },
    },
  });
  const lease = new DutyLease(leaseElector, settings.node);
  const callRelay = new CallRelay({
    clock,
    log,
    random,
    client: adapters.peers,
    paths: serverPaths,
    failureDomain,
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
  const serverStarts = new ServerStarts({
    log,
    client,
    limits,
    paths: serverPaths,
    servers,
    waitForWarmUp: warmUps.waitForRoom,
  });
  const continuationClient = new ContinuationClient({ client, serverStarts });
  const tools: StepTools = {
    ...stored,
    random,
    stepRegistry,
    pool,
    textLengths: new TextLengthEstimate(),
    servers,
    client: continuationClient,
    serverStarts,
    submissionStore: new SubmissionStore({
      table,
      rowBytes: settings.rowBytes,
      readSubmission: adapters.readSubmission,
    }),
    results: new ResultList(table, settings.rowBytes),
    progress: new ProgressStore(table, settings.rowBytes),
    forwarder: createCallForwarder({
      ...common,
      random,
      servers,
      client: continuationClient,
      serverStatistics: statistics,
      crashGuard,
      callRelay,
    }),
    storeHealth: table.health,
    regionRules,
    configuration: () => operator.configuration,
  };
  const ownerChoice = new StepOwnerChoice({
    ...tools,
    register,
    rendezvous,
    nodeStart,
    region: settings.region,
  });
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
  const calls = new CallService({
    clock: sharedClock,
    operator,
    forwarder: tools.forwarder,
    servers,
    regionRules,
    serverStarts,
    streamOrigins,
    usage,
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
  const duties = createDuties(options, {
    common: stored,
    lease,
    operator,
    servers,
    register,
  });
  const node = new InstallationNode({
    operator,
    regionRules,
    servers,
    register,
    storeHealth: table.health,
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
        crashRecords,
        serverPaths,
        lease,
      }),
    supervision: { clock, log, stopping },
    restore: () =>
      restoreServerNews({ ...common, node: settings.node, servers }),
    background: [
      operator,
      servers,
      register,
      stepRegistry,
      steps,
      usage,
      leaseElector,
      streamOrigins,
      crashRecords,
      new StepRetention({
        ...stored,
        stepRegistry,
        lease,
        retentionMilliseconds: bounds.resultRetentionMilliseconds,
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
      }),
      ...duties,
    ],
  });
  created.node = node;
  return node;
}
