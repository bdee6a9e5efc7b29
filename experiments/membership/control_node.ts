import { create } from "@bufbuild/protobuf";
import { DeclarationSchema } from "../../generated/snipepath/v1/declaration_pb.ts";
import {
  FetchSamplesResponseSchema,
  KeyWithdrawalFactSchema,
  ServiceReceivedFactSchema,
} from "../../generated/snipepath/v1/peer_pb.ts";
import { NodeSettingsSchema } from "../../generated/snipepath/v1/settings_pb.ts";
import {
  createMembership,
  type Membership,
} from "../../source/membership/membership.ts";
import { startPeerServer } from "../../source/membership/peer_server.ts";
import type { NodeContext } from "../../source/context/node_context.ts";
import type { CauseLedger } from "../../source/observability/cause_ledger.ts";
import { createEventLog } from "../../source/observability/event_log.ts";
import { NO_METRICS } from "../../source/observability/metrics.ts";
import { createPlatform } from "../../source/platform/create_platform.ts";
import { createRandomSource } from "../../source/utilities/random_source.ts";
import { SystemClock } from "../../source/utilities/system_clock.ts";
import { ByteCounter } from "./byte_counter.ts";
import {
  type DriverMessage,
  type NodeMessage,
  type NodeProcessOptions,
  type ProcessCosts,
  sharedMilliseconds,
} from "./node_messages.ts";
import { VaryingEngines } from "./varying_engines.ts";

const SECOND_MILLISECONDS = 1000;
const PLATFORM_TIMEOUT_MILLISECONDS = 2000;
const DECLARED_ORGANISATIONS = 8;

const options = JSON.parse(process.argv[2] ?? "{}") as NodeProcessOptions;
const bytes = new ByteCounter();
const engines = new VaryingEngines();
const clock = new SystemClock();
const memberships = new Map<string, Membership>();

function send(message: NodeMessage): void {
  process.send?.(message);
}

function reportKnown(node: string, subject: string): void {
  const atMilliseconds = sharedMilliseconds();
  send({ kind: "known", node, subject, atMilliseconds });
}

async function startNode(
  { name, failureDomain }: NodeProcessOptions["nodes"][number],
): Promise<void> {
  const settings = create(NodeSettingsSchema, {
    node: name,
    failureDomain,
    callerAddress: "127.0.0.1:80",
    heartbeatMilliseconds: 500,
    silenceMilliseconds: 2500,
    keyFreshnessMilliseconds: 8000,
    peerStreams: options.streams,
  });
  const context: NodeContext = {
    settings,
    nodeStart: `${process.pid.toString(36)}-${Date.now().toString(36)}`,
    clock,
    random: createRandomSource(process.pid + memberships.size * 7919),
    log: createEventLog({ source: name, lowestLevel: "error" }),
    metrics: NO_METRICS,
    platform: createPlatform({
      address: options.platformAddress,
      clock,
      silenceMilliseconds: PLATFORM_TIMEOUT_MILLISECONDS,
      timeoutMilliseconds: PLATFORM_TIMEOUT_MILLISECONDS,
    }),
    ledger: {} as CauseLedger,
    stopping: new AbortController().signal,
  };
  let address = "";
  const membership = await createMembership(context, {
    handlers: {
      onWithdrawal: ({ keyIdentifier }) => {
        reportKnown(name, `withdrawal ${keyIdentifier}`);
        return 0;
      },
      onWeightVersion: () => {},
      onStoreSamples: () => {},
      onFetchSamples: () => create(FetchSamplesResponseSchema),
    },
    engines: engines.client,
    peerAddress: () => address,
  });
  const server = await startPeerServer({
    address: "127.0.0.1:0",
    secret: "",
    registerRoutes: [membership.registerRoutes],
    log: context.log,
  });
  address = server.address;
  reportFacts(name, membership);
  memberships.set(name, membership);
  if (options.control) {
    void membership.run();
    await membership.ready();
    void publishRegularly(membership);
  }
  send({ kind: "ready", node: name });
}

function reportFacts(name: string, membership: Membership): void {
  const leaving = new Set<string>();
  membership.replicatedFacts.watch("backendServer", ({ key, value }) => {
    if (value.leaving && !leaving.has(key)) {
      leaving.add(key);
      reportKnown(name, `leaving ${key}`);
    }
    if (key.startsWith("probe")) {
      reportKnown(name, `load ${key} ${value.running}`);
    }
  });
  membership.configuration.watch(({ revision }) =>
    reportKnown(name, `configuration ${revision}`)
  );
}

/** Publishes a node's load and the service that organisations received, about once a second. */
async function publishRegularly(membership: Membership): Promise<void> {
  const random = createRandomSource(process.pid);
  const phase = random.next() * Math.PI * 2;
  for (;;) {
    const swing = Math.sin(Date.now() / 10_000 + phase);
    membership.setLoadPermille(500 + 200 * swing + 50 * random.next());
    for (let index = 0; index < options.organisations; index += 1) {
      const tokens = BigInt(10_000 + random.nextBelow(10_000));
      membership.replicatedFacts.publish(
        "serviceReceived",
        `organisation-${index}`,
        create(ServiceReceivedFactSchema, { tokens }),
      );
    }
    await clock.sleep(SECOND_MILLISECONDS * (0.9 + 0.2 * random.next()));
  }
}

async function apply(membership: Membership, size: number): Promise<void> {
  const revision = Number(membership.configuration.current()?.revision ?? 0n);
  const declaration = create(DeclarationSchema, {
    organisations: Array.from(
      { length: DECLARED_ORGANISATIONS },
      (_none, index) => ({ name: `organisation-${index}-${revision}` }),
    ),
    classes: [{ name: "x".repeat(size) }],
  });
  await membership.configurationWriter.apply(declaration, {
    expectedRevision: revision,
    note: "",
  });
}

function readCosts(): ProcessCosts {
  const { user, system } = process.cpuUsage();
  const { received, sent } = bytes.read();
  const memory = process.memoryUsage();
  const all = [...memberships.values()];
  return {
    atMilliseconds: sharedMilliseconds(),
    processorMilliseconds: (user + system) / 1000,
    receivedBytes: received,
    sentBytes: sent,
    residentBytes: memory.rss,
    heapBytes: memory.heapUsed,
    loadReads: engines.loadRequests,
    streams: all.reduce((sum, one) => sum + one.establishedStreams(), 0),
    factsHeld: all.reduce(
      (sum, one) => sum + one.replicatedFacts.facts("backendServer").length,
      0,
    ),
  };
}

type Handlers = {
  readonly [Kind in DriverMessage["kind"]]: (
    message: Extract<DriverMessage, { readonly kind: Kind }>,
  ) => void;
};

const HANDLERS: Handlers = {
  withdraw: ({ node, key }) => {
    reportStarted(node, `withdrawal ${key}`);
    memberships.get(node)?.replicatedFacts.publish(
      "keyWithdrawal",
      key,
      create(KeyWithdrawalFactSchema, {
        withdrawnAtUnixMilliseconds: BigInt(Date.now()),
      }),
    );
  },
  leave: ({ node, address }) => {
    reportStarted(node, `leaving ${address}`);
    memberships.get(node)?.backendServers.markLeaving?.(address);
  },
  apply: ({ node, size }) => {
    const membership = memberships.get(node);
    if (membership === undefined) return;
    const revision = (membership.configuration.current()?.revision ?? 0n) + 1n;
    reportStarted(node, `configuration ${revision}`);
    void apply(membership, size);
  },
  load: ({ address, running }) => {
    engines.fixedLoads.set(address, running);
  },
  report: () => send({ kind: "report", costs: readCosts() }),
};

function reportStarted(node: string, subject: string): void {
  const atMilliseconds = sharedMilliseconds();
  send({ kind: "started", node, subject, atMilliseconds });
}

process.on("message", (message: DriverMessage) => {
  const handle = HANDLERS[message.kind] as (message: DriverMessage) => void;
  handle(message);
});
process.on("disconnect", () => process.exit(0));
for (const node of options.nodes) await startNode(node);
