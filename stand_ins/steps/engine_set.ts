import { setMaxListeners } from "node:events";
import { create } from "@bufbuild/protobuf";
import {
  type ConfigurationRecord,
  ConfigurationRecordSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import { NodeSettingsSchema } from "../../generated/snipepath/v1/settings_pb.ts";
import type { ConfigurationView } from "../../source/membership/configuration_view.ts";
import { HttpEngineClient } from "../../source/backends/http_engine_client.ts";
import { HttpPlainClient } from "../../source/backends/http_plain_client.ts";
import { createDispatcher } from "../../source/dispatch/create_dispatcher.ts";
import type { Dispatcher } from "../../source/dispatch/dispatcher.ts";
import type { NodeContext } from "../../source/context/node_context.ts";
import { RecordingEventLog } from "../../source/observability/event_log.ts";
import { MemoryCauseLedger } from "../../source/observability/memory_cause_ledger.ts";
import { NO_METRICS } from "../../source/observability/metrics.ts";
import { createPlatform } from "../../source/platform/create_platform.ts";
import { createRandomSource } from "../../source/utilities/random_source.ts";
import { SystemClock } from "../../source/utilities/system_clock.ts";
import { StaticServerView } from "../dispatch/static_server_view.ts";
import type { EngineOptions } from "../engine/engine_options.ts";
import { type StartedEngine, startEngine } from "../engine/start_engine.ts";
import {
  type RunningPlatform,
  startPlatform,
  type StartPlatformOptions,
} from "../platform/start_platform.ts";

const POLL_MILLISECONDS = 200;
const SILENCE_MILLISECONDS = 2000;

/** Name of the only service of an engine set. */
export const ENGINE_SET_SERVICE = "dot-models";

/** Options of an engine set. */
export interface EngineSetOptions {
  readonly seed: number;
  readonly engines: number;
  readonly minimumServers: number;
  readonly stalenessBoundVersions: number;
  readonly engine: Partial<EngineOptions>;
  readonly platform: StartPlatformOptions;
}

/** Engines and a platform that serve HTTP, and the components of one node that use them. */
export interface EngineSet {
  readonly context: NodeContext;
  readonly configuration: ConfigurationView;
  readonly platform: RunningPlatform;
  readonly engines: ReadonlyArray<StartedEngine>;
  readonly engineClient: HttpEngineClient;
  readonly servers: StaticServerView;
  readonly dispatcher: Dispatcher;
  /** Registers another engine to be closed together with the set. */
  closeWithSet(engine: StartedEngine): void;
  /** Waits until the engines together report at least this number of running requests. */
  waitForRunning(requests: number): Promise<void>;
  close(): Promise<void>;
}

/**
 * Starts engines and a platform in this process.
 * @param options - Seed, engines, platform, and declared limits of the service.
 * @example
 * ```ts
 * const set = await startEngineSet({ seed: 1, engines: 6, ... });
 * await set.close();
 * ```
 */
export async function startEngineSet(
  options: EngineSetOptions,
): Promise<EngineSet> {
  const clock = new SystemClock();
  const platform = await startPlatform(options.platform);
  const engines = await Promise.all(
    Array.from({ length: options.engines }, () =>
      startEngine({
        seed: options.seed,
        ...options.engine,
        weightStoreAddress: `http://${platform.address}`,
      })),
  );
  const stopping = new AbortController();
  setMaxListeners(0, stopping.signal);
  const context = createContext(options, platform.address, stopping.signal);
  const servers = new StaticServerView();
  for (const [position, engine] of engines.entries()) {
    servers.set({
      address: engine.address,
      service: ENGINE_SET_SERVICE,
      failureDomain: `domain-${position % 3}`,
      startIdentity: engine.startIdentity,
    });
  }
  const engineClient = new HttpEngineClient({ clock });
  const plainServices = new HttpPlainClient({ clock });
  const configuration = createConfiguration(options);
  const added: StartedEngine[] = [];
  const polling = pollLoads(context, { servers, engineClient, engines });
  return {
    context,
    configuration,
    platform,
    engines,
    engineClient,
    servers,
    dispatcher: createDispatcher({
      context,
      servers,
      engines: engineClient,
      plainServices,
      configuration,
    }),
    closeWithSet: (engine) => {
      added.push(engine);
    },
    waitForRunning: async (requests) => {
      while (countRunning(servers) < requests) {
        await clock.sleep(POLL_MILLISECONDS / 4);
      }
    },
    close: async () => {
      stopping.abort();
      await polling;
      await engineClient.close();
      await plainServices.close();
      for (const engine of [...engines, ...added]) await engine.close();
      await platform.close();
    },
  };
}

function countRunning(servers: StaticServerView): number {
  return servers.servers(ENGINE_SET_SERVICE)
    .reduce((sum, server) => sum + server.running, 0);
}

async function pollLoads(
  context: NodeContext,
  parts: Pick<EngineSet, "servers" | "engineClient" | "engines">,
): Promise<void> {
  while (!context.stopping.aborted) {
    await Promise.all(parts.engines.map(async ({ address }) => {
      const load = await parts.engineClient.readLoad(address, {
        signal: context.stopping,
        silenceMilliseconds: SILENCE_MILLISECONDS,
      });
      if (load === undefined) {
        parts.servers.set({ address, reachable: false });
        return;
      }
      parts.servers.set({
        address,
        reachable: true,
        startIdentity: load.startIdentity,
        running: load.running,
        waiting: load.waiting,
        weightVersions: load.weightVersions,
        tokensPerSecond: load.tokensPerSecond,
      });
    }));
    await context.clock.sleep(POLL_MILLISECONDS, context.stopping);
  }
}

function createContext(
  options: EngineSetOptions,
  platformAddress: string,
  stopping: AbortSignal,
): NodeContext {
  const clock = new SystemClock();
  return {
    settings: create(NodeSettingsSchema, {
      node: "node-1",
      failureDomain: "domain-0",
      leaseMilliseconds: 6000,
      orderDeadlineMilliseconds: 2000,
      silenceMilliseconds: SILENCE_MILLISECONDS,
      routingPolicy: "expectedFinish",
    }),
    nodeStart: "node-1-start",
    clock,
    random: createRandomSource(options.seed),
    log: new RecordingEventLog(),
    metrics: NO_METRICS,
    platform: createPlatform({
      address: `http://${platformAddress}`,
      clock,
      silenceMilliseconds: 1000,
      timeoutMilliseconds: 3000,
    }),
    ledger: new MemoryCauseLedger({ clock, metrics: NO_METRICS }),
    stopping,
  };
}

function createConfiguration(options: EngineSetOptions): ConfigurationView {
  const record: ConfigurationRecord = create(ConfigurationRecordSchema, {
    revision: 1n,
    declaration: {
      services: [{
        name: ENGINE_SET_SERVICE,
        minimumServers: options.minimumServers,
      }],
      trainers: [{
        name: "dots",
        service: ENGINE_SET_SERVICE,
        classOfWork: "rollouts",
        organisation: "guild",
        stalenessBoundVersions: options.stalenessBoundVersions,
        stepDeadlineSeconds: 60,
      }],
    },
  });
  return { current: () => record, adopt: () => {}, watch: () => () => {} };
}
