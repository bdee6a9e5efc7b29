import { create, type MessageInitShape } from "@bufbuild/protobuf";
import {
  type Declaration,
  DeclarationSchema,
  ServiceKind,
} from "../../generated/snipepath/v1/declaration_pb.ts";
import {
  type ConfigurationRecord,
  ConfigurationRecordSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import { NodeSettingsSchema } from "../../generated/snipepath/v1/settings_pb.ts";
import type { Admission } from "../../source/admission/admission.ts";
import { createAddressRoute } from "../../source/entry/address_route.ts";
import { createCompletionRoute } from "../../source/entry/completion_route.ts";
import { EntryServer } from "../../source/entry/entry_server.ts";
import { createPlainRouteFinder } from "../../source/entry/plain_route.ts";
import { KeyAuthority } from "../../source/keys/key_authority.ts";
import { KeyDirectory } from "../../source/keys/key_directory.ts";
import type { ConfigurationView } from "../../source/membership/configuration_view.ts";
import type { Peer } from "../../source/membership/peer_directory.ts";
import type { ReplicatedFacts } from "../../source/membership/replicated_facts.ts";
import type { NodeContext } from "../../source/context/node_context.ts";
import { RecordingEventLog } from "../../source/observability/event_log.ts";
import { NO_METRICS } from "../../source/observability/metrics.ts";
import type { ReportedFigures } from "../../source/platform/usage_report_client.ts";
import type { Clock } from "../../source/utilities/clock.ts";
import { createRandomSource } from "../../source/utilities/random_source.ts";
import { SystemClock } from "../../source/utilities/system_clock.ts";
import { MemoryPlatform } from "./memory_platform.ts";
import { ScriptedDispatcher } from "./scripted_dispatcher.ts";
import { FactBus } from "./fact_bus.ts";

/** Options of an entry bench. */
export interface EntryBenchOptions {
  readonly node?: string;
  readonly platform?: MemoryPlatform;
  readonly clock?: Clock;
  readonly replicatedFacts?: ReplicatedFacts;
  readonly admission?: Admission;
  /** Whether the node has no configuration. */
  readonly unconfigured?: boolean;
  readonly settings?: Omit<
    MessageInitShape<typeof NodeSettingsSchema>,
    "$typeName"
  >;
}

/** A node's entry whose dependencies are stand-ins, except for its keys. */
export interface EntryBench {
  readonly context: NodeContext;
  readonly platform: MemoryPlatform;
  readonly dispatcher: ScriptedDispatcher;
  readonly keys: KeyDirectory;
  readonly authority: KeyAuthority;
  readonly server: EntryServer;
  readonly log: RecordingEventLog;
  readonly peers: Peer[];
  readonly usage: Array<readonly [string, ReportedFigures]>;
  /** Age of the peers' latest key information, in milliseconds; infinite if there is none. */
  peerKeyAge: number;
  /** HOST:PORT of the server, which the test sets once the server listens. */
  address: string;
  stop(): Promise<void>;
}

/** An admission that admits every request immediately. */
export const UNLIMITED_ADMISSION: Admission = {
  admit: () => Promise.resolve({ kind: "admitted", release: () => {} }),
  queued: () => 0,
};

/** Declaration of the tests. */
export const BENCH_DECLARATION: Declaration = create(DeclarationSchema, {
  classes: [
    { name: "lookups", latencyP99Milliseconds: 1000 },
    { name: "rollouts", latencyP99Milliseconds: 60_000 },
  ],
  organisations: [{ name: "school" }, { name: "library" }],
  services: [
    { name: "dot-models", kind: ServiceKind.MODEL },
    { name: "open-models", kind: ServiceKind.MODEL },
    { name: "orders", kind: ServiceKind.PLAIN },
  ],
  routes: [
    {
      name: "models",
      pathPrefix: "/models",
      service: "dot-models",
      classOfWork: "lookups",
      organisations: ["school"],
    },
    {
      name: "open models",
      pathPrefix: "/open-models",
      service: "open-models",
      classOfWork: "lookups",
      open: true,
    },
    {
      name: "orders",
      pathPrefix: "/orders",
      service: "orders",
      classOfWork: "lookups",
    },
    {
      name: "school orders",
      pathPrefix: "/orders/school",
      service: "orders",
      classOfWork: "lookups",
      organisations: ["school"],
    },
    {
      name: "status",
      pathPrefix: "/status",
      service: "orders",
      classOfWork: "lookups",
      open: true,
      repeatable: true,
    },
  ],
});

/**
 * Creates a node's entry for a test without listening.
 * @param options - Dependencies and settings of the node; each has a default.
 * @example
 * ```ts
 * const bench = createEntryBench();
 * bench.address = await bench.server.listen();
 * ```
 */
export function createEntryBench(options: EntryBenchOptions = {}): EntryBench {
  const clock = options.clock ?? new SystemClock();
  const platform = options.platform ?? new MemoryPlatform();
  const log = new RecordingEventLog();
  const stopping = new AbortController();
  const node = options.node ?? "node-1";
  const context: NodeContext = {
    settings: create(NodeSettingsSchema, {
      node,
      failureDomain: "cluj-a",
      callerAddress: "127.0.0.1:0",
      keyFreshnessMilliseconds: 8000,
      addressKeepMilliseconds: 5000,
      drainMilliseconds: 10_000,
      silenceMilliseconds: 2000,
      ...options.settings,
    }),
    nodeStart: `${node}-start`,
    clock,
    random: createRandomSource(1),
    log,
    metrics: NO_METRICS,
    platform,
    ledger: {
      open: () => ({ add: () => {}, close: () => {} }),
      explain: () => ({ causes: {}, subjects: 0, targetsMissed: 0 }),
    },
    stopping: stopping.signal,
  };
  const replicatedFacts = options.replicatedFacts ??
    new FactBus({ clock, delayMilliseconds: 0 }).join(node);
  const dispatcher = new ScriptedDispatcher();
  const usage: Array<readonly [string, ReportedFigures]> = [];
  const peers: Peer[] = [];
  const parts = { address: "", peerKeyAge: Infinity };
  const directory = {
    peers: () => peers,
    keyAgeMilliseconds: () => parts.peerKeyAge,
    confirmWithdrawal: () =>
      Promise.resolve({ confirmed: [], silent: [], streamsCut: 0 }),
  };
  const keys = new KeyDirectory({
    context,
    peers: directory,
    replicatedFacts,
  });
  const work = {
    context,
    configuration: createConfigurationView(options.unconfigured ?? false),
    admission: options.admission ?? UNLIMITED_ADMISSION,
    dispatcher,
    usage: {
      record: (organisation: string, figures: ReportedFigures) =>
        void usage.push([organisation, figures]),
    },
  };
  const server: EntryServer = new EntryServer({
    context,
    keys,
    routes: [
      createAddressRoute({
        context,
        peers: directory,
        replicatedFacts,
        ownAddress: () => parts.address,
        isLeaving: () => server.isLeaving,
      }),
      createCompletionRoute(work),
    ],
    findDeclared: createPlainRouteFinder(work),
  });
  const authority = new KeyAuthority({
    context,
    directory: keys,
    peers: directory,
    replicatedFacts,
  });
  return Object.assign(parts, {
    context,
    platform,
    dispatcher,
    keys,
    authority,
    server,
    log,
    peers,
    usage,
    stop: async () => {
      stopping.abort();
      await server.close();
    },
  });
}

function createConfigurationView(isEmpty: boolean): ConfigurationView {
  const record: ConfigurationRecord = create(ConfigurationRecordSchema, {
    revision: 1n,
    declaration: BENCH_DECLARATION,
  });
  return {
    current: () => isEmpty ? undefined : record,
    adopt: () => {},
    watch: () => () => {},
  };
}
