import { randomBytes } from "node:crypto";
import { setMaxListeners } from "node:events";
import { readFileSync, statSync } from "node:fs";
import { InstallationDutyClient } from "../../platform/duty_client.ts";
import { InstallationEntryServer } from "../../platform/entry_server.ts";
import {
  OPERATOR_TABLE,
  readOperatorRow,
} from "../../platform/operator_rows.ts";
import { InstallationPeerClient } from "../../platform/peer_client.ts";
import { readSignature } from "../../platform/server_answer.ts";
import { InstallationServerClient } from "../../platform/server_client.ts";
import { readServerRow } from "../../platform/server_rows.ts";
import {
  readSettingsFile,
  SETTINGS_VARIABLE,
} from "../../platform/settings_file.ts";
import { readSubmission } from "../../platform/step_messages.ts";
import { StoreTable } from "../../platform/store_table.ts";
import { ConnectionPools } from "../backends/connection_pools.ts";
import { FaultBudget } from "../decisions/fault_budget.ts";
import type { InstallationSettings } from "../installation/installation_settings.ts";
import { toProcessIdentity } from "../installation/process_identity.ts";
import { createInstallationNode } from "../node/create_installation_node.ts";
import type { InstallationAdapters } from "../node/installation_adapters.ts";
import type { InstallationNode } from "../node/installation_node.ts";
import { createEventLog, type EventLog } from "../observability/event_log.ts";
import { ScrapedMetrics } from "../observability/scraped_metrics.ts";
import { PlatformConnection } from "../platform/platform_connection.ts";
import { PlatformSilence } from "../platform/platform_silence.ts";
import type { Clock } from "../utilities/clock.ts";
import { describeFault } from "../utilities/keep_running.ts";
import { SystemClock } from "../utilities/system_clock.ts";

/** A slow store responds within about 300 ms; a connection that is silent for longer than this counts as dead. */
const STORE_SILENCE_MILLISECONDS = 1200;
const STORE_TIMEOUT_MILLISECONDS = 2000;
/** Opening a connection takes a few milliseconds; a lost packet is retransmitted within this time at the latest. */
const CONNECT_MILLISECONDS = 600;
/** Longer than the 4 s between two steps of a trainer, so that the next step reuses the connections. */
const IDLE_CONNECTION_MILLISECONDS = 12_000;
/** Part of the grace period that is reserved for the exit of the process. */
const EXIT_MARGIN_MILLISECONDS = 900;
/** Time after the start of a drain in which callers may still use a cached address of this node. */
const CACHED_ADDRESS_MILLISECONDS = 6200;
/** Time before the end of a drain at which unfinished steps are handed over. */
const HAND_OVER_MARGIN_MILLISECONDS = 1800;
const DRAIN_CHECK_MILLISECONDS = 50;
/** Time for sending the last responses, less than the margin for the exit. */
const FLUSH_MILLISECONDS = 500;
/** Least time for which requests that callers have just sent are read and refused. */
const MINIMUM_FLUSH_MILLISECONDS = 100;
const SETTINGS_CHECK_MILLISECONDS = 1000;
/** Interval at which a node that is not ready logs what it waits for. */
const READY_REPORT_MILLISECONDS = 2000;
/** Enough random bytes that two starts in an installation practically never have the same identity. */
const NODE_START_BYTES = 6;
const USAGE_EXIT_STATUS = 2;
const FAULT_EXIT_STATUS = 70;

async function main(): Promise<void> {
  const path = process.env[SETTINGS_VARIABLE] ?? "";
  const read = readSettings(path);
  if (typeof read === "string") {
    process.stderr.write(`${SETTINGS_VARIABLE}: ${read}\n`);
    process.exitCode = USAGE_EXIT_STATUS;
    return;
  }
  const settings = read;
  const clock = new SystemClock();
  const log = createEventLog({ source: settings.node, lowestLevel: "info" });
  // Without its listeners, a process that failed to start would do nothing.
  await start({ path, settings, clock, log }).catch((error) =>
    exitOnFault(log, error)
  );
}

async function start(
  { path, settings, clock, log }: {
    readonly path: string;
    readonly settings: InstallationSettings;
    readonly clock: Clock;
    readonly log: EventLog;
  },
): Promise<void> {
  const metrics = new ScrapedMetrics();
  surviveFaults({ clock, log });
  const stopping = new AbortController();
  // Each waiting task adds a listener, so the default limit on listeners does not apply.
  setMaxListeners(0, stopping.signal);
  const nodeStart = toProcessIdentity(
    settings.node,
    randomBytes(NODE_START_BYTES).toString("hex"),
  );
  log.emit("installationNodeStarting", {
    node: settings.node,
    nodeStart,
    storeAddress: settings.storeAddress,
  });
  const node = await createInstallationNode({
    settings,
    nodeStart,
    clock,
    log,
    metrics,
    stopping: stopping.signal,
    adapters: createAdapters(settings, { clock, log }),
  });
  const entry = new InstallationEntryServer({ clock, log, node });
  node.parts.operator.watch(() => entry.applyLimits());
  const running = node.run();
  const stopped = waitForSignal();
  await listen(entry, settings, metrics);
  log.emit("installationNodeStarted", {
    node: settings.node,
    nodeStart,
    address: settings.callerAddress,
  });
  watchSettings(path, { clock, log });
  void reportWaiting(node, { clock, log });
  await Promise.race([stopped, running]);
  await drain({ node, entry, settings, clock, log });
  node.parts.stopWaitingCalls();
  // Lets the refusals of these calls be sent.
  await clock.sleep(DRAIN_CHECK_MILLISECONDS);
  const answered = entry.answerUnfinished();
  const cut = await flush(entry, clock);
  if (answered > 0) log.emit("callsEndedByStop", { answered });
  stopping.abort();
  entry.close();
  log.emit("installationNodeStopped", { cut });
  setTimeout(() => process.exit(0), DRAIN_CHECK_MILLISECONDS);
}

// Logs what a node that is not ready waits for.
async function reportWaiting(
  node: InstallationNode,
  { clock, log }: { readonly clock: Clock; readonly log: EventLog },
): Promise<void> {
  const startedAt = clock.monotonic();
  for (;;) {
    await clock.sleep(READY_REPORT_MILLISECONDS);
    if (node.isReady || node.isDraining) return;
    log.emit("installationNodeWaiting", {
      waitingFor: node.missing.join(" "),
      milliseconds: Math.round(clock.monotonic() - startedAt),
    });
  }
}

// Logs errors that nothing handled. The process goes on, as its end would cut off all other calls,
// unless it fails again and again.
function surviveFaults(
  { clock, log }: { readonly clock: Clock; readonly log: EventLog },
): void {
  const budget = new FaultBudget();
  const record = (error: unknown): void => {
    const mayGoOn = budget.record(clock.monotonic());
    const detail = describeFault(error);
    log.emit("unexpectedError", { count: budget.count, detail });
    if (!mayGoOn) exitOnFault(log, error);
  };
  process.on("uncaughtException", record);
  process.on("unhandledRejection", record);
}

function exitOnFault(log: EventLog, error: unknown): void {
  log.emit("invariantBroken", { detail: describeFault(error) });
  process.exitCode = FAULT_EXIT_STATUS;
  setImmediate(() => process.exit(FAULT_EXIT_STATUS));
}

function readSettings(path: string): InstallationSettings | string {
  try {
    const outcome = readSettingsFile(readFileSync(path, "utf8"));
    return outcome.kind === "read" ? outcome.settings : outcome.problem;
  } catch (error) {
    return error instanceof Error ? error.message : String(error);
  }
}

function createAdapters(
  settings: InstallationSettings,
  tools: { readonly clock: Clock; readonly log: EventLog },
): InstallationAdapters {
  const { clock } = tools;
  const bounds = {
    ...tools,
    silenceMilliseconds: STORE_SILENCE_MILLISECONDS,
    timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS,
    echoesIdentifier: false,
  };
  const silence = new PlatformSilence(clock);
  const table = new StoreTable(() =>
    new PlatformConnection({
      ...bounds,
      silence,
      address: `http://${settings.storeAddress}`,
    })
  );
  return {
    table,
    watchStoreTime: (onTime) => table.watchTime(onTime),
    client: new InstallationServerClient({
      clock,
      pools: new ConnectionPools({
        connectMilliseconds: CONNECT_MILLISECONDS,
        keepAliveMilliseconds: IDLE_CONNECTION_MILLISECONDS,
      }),
    }),
    peers: new InstallationPeerClient({
      clock,
      pools: new ConnectionPools({
        connectMilliseconds: CONNECT_MILLISECONDS,
        keepAliveMilliseconds: IDLE_CONNECTION_MILLISECONDS,
      }),
    }),
    duties: settings.dutyAddress === undefined
      ? undefined
      : new InstallationDutyClient(
        new PlatformConnection({
          ...bounds,
          address: `http://${settings.dutyAddress}`,
        }),
      ),
    operatorTable: OPERATOR_TABLE,
    serverTable: "servers",
    readOperatorRow,
    readServerRow,
    readSubmission,
    readSignature,
  };
}

async function listen(
  entry: InstallationEntryServer,
  settings: InstallationSettings,
  metrics: ScrapedMetrics,
): Promise<void> {
  const {
    callerAddress,
    peerAddress,
    readinessAddress,
    directoryAddress,
    metricsAddress,
  } = settings;
  await Promise.all([
    entry.listenForCallers(callerAddress),
    peerAddress && entry.listenForPeers(peerAddress),
    readinessAddress && entry.listenForReadiness(readinessAddress),
    directoryAddress && entry.listenForAddresses(directoryAddress),
    metricsAddress.startsWith(":") ||
    entry.listenForMetrics(metricsAddress, metrics),
  ]);
}

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    // Not only once: a repeated signal must not cut off the calls of a node that stops.
    process.on("SIGTERM", () => resolve());
    process.on("SIGINT", () => resolve());
  });
}

// Waits until all responses are sent, but for streams, which go on elsewhere, and returns the number
// of calls that the exit cuts off. Requests that were on their way are refused meanwhile.
async function flush(
  entry: InstallationEntryServer,
  clock: Clock,
): Promise<number> {
  const until = clock.monotonic() + FLUSH_MILLISECONDS;
  await clock.sleep(MINIMUM_FLUSH_MILLISECONDS);
  while (entry.running > 0 && clock.monotonic() < until) {
    await clock.sleep(DRAIN_CHECK_MILLISECONDS);
  }
  return entry.running;
}

// Serves until no caller uses a cached address, and hands unfinished steps over shortly before the
// grace period ends.
async function drain(
  parts: {
    readonly node: InstallationNode;
    readonly entry: InstallationEntryServer;
    readonly settings: InstallationSettings;
    readonly clock: Clock;
    readonly log: EventLog;
  },
): Promise<void> {
  const { node, entry, settings, clock, log } = parts;
  const startedAt = clock.monotonic();
  const { steps } = node.parts;
  log.emit("installationNodeLeaving", {
    running: entry.running,
    steps: steps.running,
  });
  const drainMilliseconds = Math.max(
    0,
    settings.bounds.graceMilliseconds - EXIT_MARGIN_MILLISECONDS,
  );
  const deadline = startedAt + drainMilliseconds;
  await node.startDrain(drainMilliseconds);
  const cachedAddressesUntil = startedAt + CACHED_ADDRESS_MILLISECONDS;
  let isHandedOver = false;
  for (;;) {
    const now = clock.monotonic();
    const isIdle = entry.running === 0 && steps.running === 0;
    if (now >= deadline || (isIdle && now >= cachedAddressesUntil)) return;
    if (!isHandedOver && now >= deadline - HAND_OVER_MARGIN_MILLISECONDS) {
      isHandedOver = true;
      void steps.handOver();
    }
    await clock.sleep(DRAIN_CHECK_MILLISECONDS);
  }
}

// A running node uses none of the settings that may change, so a changed file is only checked and logged.
function watchSettings(
  path: string,
  tools: { readonly clock: Clock; readonly log: EventLog },
): void {
  const check = (): void => {
    const read = readSettings(path);
    const problem = typeof read === "string" ? read : "";
    tools.log.emit("settingsRead", { problem });
  };
  process.on("SIGHUP", check);
  let lastModifiedAt = readModificationTime(path);
  setInterval(() => {
    const now = readModificationTime(path);
    if (now === lastModifiedAt) return;
    lastModifiedAt = now;
    check();
  }, SETTINGS_CHECK_MILLISECONDS).unref();
}

function readModificationTime(path: string): number {
  try {
    return statSync(path).mtimeMs;
  } catch {
    // A file that is being replaced may be missing for a moment.
    return 0;
  }
}

void main();
