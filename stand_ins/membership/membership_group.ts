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
import { PeerLink } from "./peer_link.ts";

const WAIT_LIMIT_MILLISECONDS = 30_000;
const WAIT_STEP_MILLISECONDS = 10;

/** One node of a group, reduced to its membership. */
export interface GroupMember {
  readonly name: string;
  readonly membership: Membership;
  readonly log: RecordingEventLog;
  /** Identifiers of keys whose withdrawal was applied here. */
  readonly withdrawn: ReadonlyArray<string>;
  /** Through which all peers reach this node; can be cut and silenced. */
  readonly link: PeerLink;
  /** Ends the node as a killed process would. */
  kill(): Promise<void>;
}

/** How a group starts a member. */
export interface GroupMemberOptions {
  readonly failureDomain?: string;
  readonly settings?: Partial<Omit<NodeSettings, "$typeName" | "$unknown">>;
  readonly platform?: MemoryPlatform;
}

/** Several nodes in one process, reduced to their membership, over loopback. */
export class MembershipGroup {
  readonly platform = new MemoryPlatform();
  readonly engines = new FakeEngines();
  readonly members = new Map<string, GroupMember>();
  #starts = 0;

  /** Starts a node; its name must not be taken by a live one. */
  async start(
    name: string,
    options: GroupMemberOptions = {},
  ): Promise<GroupMember> {
    this.#starts += 1;
    const stopping = new AbortController();
    const log = new RecordingEventLog();
    const withdrawn: string[] = [];
    const context: NodeContext = {
      settings: createSettings(name, options),
      nodeStart: `start-${this.#starts}`,
      clock: new SystemClock(),
      random: createRandomSource(this.#starts),
      log,
      metrics: NO_METRICS,
      platform: options.platform ?? this.platform,
      ledger: {} as CauseLedger,
      stopping: stopping.signal,
    };
    const links: PeerLink[] = [];
    const membership = await createMembership(context, {
      handlers: createHandlers(withdrawn),
      engines: this.engines.client,
      peerAddress: () => links[0]?.address ?? "",
    });
    const server = await startPeerServer({
      address: "127.0.0.1:0",
      secret: "",
      registerRoutes: [membership.registerRoutes],
      log,
    });
    const link = await PeerLink.start(server.address);
    links.push(link);
    const running = membership.run();
    void membership.ready();
    const member: GroupMember = {
      name,
      membership,
      log,
      withdrawn,
      link,
      kill: async () => {
        this.members.delete(name);
        stopping.abort();
        await closeAll(server, link);
        await running;
      },
    };
    this.members.set(name, member);
    return member;
  }

  /** Ends all nodes. */
  async close(): Promise<void> {
    await Promise.all([...this.members.values()].map((one) => one.kill()));
  }
}

/**
 * Waits until a condition holds.
 * @param condition - Tested again and again.
 * @param what - Names the condition when it never holds.
 * @throws {Error} When it does not hold within half a minute.
 */
export async function waitUntil(
  condition: () => boolean,
  what: string,
): Promise<void> {
  const clock = new SystemClock();
  const limit = clock.monotonic() + WAIT_LIMIT_MILLISECONDS;
  while (!condition()) {
    if (clock.monotonic() > limit) throw new Error(`Never came: ${what}`);
    await clock.sleep(WAIT_STEP_MILLISECONDS);
  }
}

async function closeAll(server: PeerServer, link: PeerLink): Promise<void> {
  await Promise.all([server.close(), link.close()]);
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

function createHandlers(withdrawn: string[]): PeerHandlers {
  return {
    onWithdrawal: ({ keyIdentifier }) => {
      if (!withdrawn.includes(keyIdentifier)) withdrawn.push(keyIdentifier);
      return 0;
    },
    onWeightVersion: () => {},
    onStoreSamples: () => {},
    onFetchSamples: () => create(FetchSamplesResponseSchema),
  };
}
