import { create } from "@bufbuild/protobuf";
import { FetchSamplesResponseSchema } from "../../generated/snipepath/v1/peer_pb.ts";
import {
  type NodeSettings,
  NodeSettingsSchema,
} from "../../generated/snipepath/v1/settings_pb.ts";
import {
  createMembership,
  type Membership,
} from "../../source/membership/membership.ts";
import type { PeerHandlers } from "../../source/membership/peer_directory.ts";
import {
  type PeerServer,
  startPeerServer,
} from "../../source/membership/peer_server.ts";
import type { NodeContext } from "../../source/context/node_context.ts";
import type { CauseLedger } from "../../source/observability/cause_ledger.ts";
import { RecordingEventLog } from "../../source/observability/event_log.ts";
import { NO_METRICS } from "../../source/observability/metrics.ts";
import { createRandomSource } from "../../source/utilities/random_source.ts";
import { SystemClock } from "../../source/utilities/system_clock.ts";
import { FakeEngines } from "./fake_engines.ts";
import { MemoryPlatform } from "./memory_platform.ts";
import { PeerRelay } from "./peer_relay.ts";

const WAIT_LIMIT_MILLISECONDS = 30_000;
const WAIT_STEP_MILLISECONDS = 10;

/** A node of a group that runs only its membership. */
export interface GroupMember {
  readonly name: string;
  readonly membership: Membership;
  readonly log: RecordingEventLog;
  /** Identifiers of keys whose withdrawal this node applied, in order. */
  readonly withdrawnKeys: ReadonlyArray<string>;
  /** Relay through which all peers connect to this node. */
  readonly relay: PeerRelay;
  /** Stops the node and destroys its connections. */
  kill(): Promise<void>;
}

/** Options of a group member. */
export interface GroupMemberOptions {
  readonly failureDomain?: string;
  readonly settings?: Partial<Omit<NodeSettings, "$typeName" | "$unknown">>;
  readonly platform?: MemoryPlatform;
}

/** Several nodes in one process that run only their membership and connect over loopback. */
export class MembershipGroup {
  readonly platform = new MemoryPlatform();
  readonly engines = new FakeEngines();
  readonly members = new Map<string, GroupMember>();
  #startCount = 0;

  /** Starts a node, whose name must differ from those of the running nodes. */
  async start(
    name: string,
    options: GroupMemberOptions = {},
  ): Promise<GroupMember> {
    this.#startCount += 1;
    const stopping = new AbortController();
    const log = new RecordingEventLog();
    const withdrawnKeys: string[] = [];
    const context: NodeContext = {
      settings: createSettings(name, options),
      nodeStart: `start-${this.#startCount}`,
      clock: new SystemClock(),
      random: createRandomSource(this.#startCount),
      log,
      metrics: NO_METRICS,
      platform: options.platform ?? this.platform,
      ledger: {} as CauseLedger,
      stopping: stopping.signal,
    };
    const relays: PeerRelay[] = [];
    const membership = await createMembership(context, {
      handlers: createHandlers(withdrawnKeys),
      engines: this.engines.client,
      peerAddress: () => relays[0]?.address ?? "",
    });
    const server = await startPeerServer({
      address: "127.0.0.1:0",
      secret: "",
      registerRoutes: [membership.registerRoutes],
      log,
    });
    const relay = await PeerRelay.start(server.address);
    relays.push(relay);
    const running = membership.run();
    void membership.ready();
    const member: GroupMember = {
      name,
      membership,
      log,
      withdrawnKeys,
      relay,
      kill: async () => {
        this.members.delete(name);
        stopping.abort();
        await closeAll(server, relay);
        await running;
      },
    };
    this.members.set(name, member);
    return member;
  }

  /** Stops all nodes. */
  async close(): Promise<void> {
    await Promise.all([...this.members.values()].map((one) => one.kill()));
  }
}

/**
 * Polls a condition every 10 ms until it holds.
 * @param condition - Condition to poll.
 * @param what - Description of the condition for the error message.
 * @throws {Error} If the condition does not hold within 30 s.
 */
export async function waitUntil(
  condition: () => boolean,
  what: string,
): Promise<void> {
  const clock = new SystemClock();
  const deadline = clock.monotonic() + WAIT_LIMIT_MILLISECONDS;
  while (!condition()) {
    if (clock.monotonic() > deadline) {
      throw new Error(`Condition not met within 30 s: ${what}`);
    }
    await clock.sleep(WAIT_STEP_MILLISECONDS);
  }
}

async function closeAll(server: PeerServer, relay: PeerRelay): Promise<void> {
  await Promise.all([server.close(), relay.close()]);
}

function createSettings(
  name: string,
  options: GroupMemberOptions,
): NodeSettings {
  return create(NodeSettingsSchema, {
    node: name,
    failureDomain: options.failureDomain ?? "domain-a",
    callerAddress: `${name}:80`,
    heartbeatMilliseconds: 200,
    silenceMilliseconds: 1000,
    keyFreshnessMilliseconds: 10_000,
    peerStreams: 6,
    ...options.settings,
  });
}

function createHandlers(withdrawnKeys: string[]): PeerHandlers {
  return {
    onWithdrawal: ({ keyIdentifier }) => {
      if (!withdrawnKeys.includes(keyIdentifier)) {
        withdrawnKeys.push(keyIdentifier);
      }
      return 0;
    },
    onWeightVersion: () => {},
    onStoreSamples: () => {},
    onFetchSamples: () => create(FetchSamplesResponseSchema),
  };
}
