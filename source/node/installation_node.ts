import { selectAddressedNodes } from "../decisions/caller_addresses.ts";
import type { CallService } from "../calls/call_service.ts";
import type { ClientMemory } from "../client_memory/client_memory.ts";
import type { ClientMemoryLimits } from "../decisions/client_memory.ts";
import type { Metrics } from "../observability/metrics.ts";
import type { DrainAdmission } from "../calls/drain_admission.ts";
import type { StepSupervisor } from "../durable_steps/step_supervisor.ts";
import type { StepReader } from "../durable_steps/step_reader.ts";
import type { NodeRegister } from "../installation/node_register.ts";
import type {
  AddressLookup,
  RegionRules,
} from "../installation/region_rules.ts";
import type { OperatorView } from "../installation/operator_view.ts";
import { selectHighCapacityNodes } from "../installation/select_high_capacity_nodes.ts";
import type { StoreHealth } from "../platform/store_health.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "../utilities/clock.ts";
import { keepAllRunning } from "../utilities/keep_running.ts";
import type { ServerView } from "../installation/server_view.ts";

/** A part that runs in the background until the node stops. */
export interface BackgroundPart {
  run(): Promise<void>;
}

/** Parts of a node of an installation. */
export interface InstallationNodeParts {
  readonly operator: OperatorView;
  readonly servers: ServerView;
  readonly register: NodeRegister;
  readonly regionRules: Pick<RegionRules, "selectNamed">;
  readonly storeHealth: Pick<StoreHealth, "isUnreachable">;
  readonly clock: Pick<Clock, "monotonic">;
  readonly drainAdmission: Pick<DrainAdmission, "start" | "endsAt">;
  readonly metrics: Metrics;
  /** Counts the memory that clients hold. */
  readonly clientMemory: ClientMemory;
  readonly clientLimits: ClientMemoryLimits;
  /** Refuses the calls that wait to be sent. */
  readonly stopWaitingCalls: () => void;
  readonly calls: CallService;
  readonly steps: StepSupervisor;
  readonly reader: StepReader;
  /** Updates the gauges before the metrics are scraped. */
  readonly setGauges: () => void;
  /** All parts that run in the background. */
  readonly background: ReadonlyArray<BackgroundPart>;
  /** Restores what an earlier process of this node knew, before anything is served. */
  readonly restore: () => Promise<void>;
  /** What is needed to start background parts again that fail. */
  readonly supervision: {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly stopping: AbortSignal;
  };
}

/** Node addresses for callers and how long callers may cache them. */
export interface AddressList {
  readonly addresses: ReadonlyArray<string>;
  readonly cacheMilliseconds: number;
}

/**
 * Time for which callers may cache an address list. A shorter time would cost more lookups; callers
 * cache some lists for three times as long.
 */
const ADDRESS_CACHE_MILLISECONDS = 2000;
const MAXIMUM_ADDRESSES = 64;

/** A node of an installation. */
export class InstallationNode {
  /** The node's parts. */
  readonly parts: InstallationNodeParts;
  #isDraining = false;

  /** @param parts - The parts of the node. */
  constructor(parts: InstallationNodeParts) {
    this.parts = parts;
  }

  /** Whether the node is draining before it stops. */
  get isDraining(): boolean {
    return this.#isDraining;
  }

  /** Time until calls that still run are ended, in milliseconds; Infinity unless the node drains. */
  get remainingMilliseconds(): number {
    const { drainAdmission, clock } = this.parts;
    return Math.max(0, drainAdmission.endsAt - clock.monotonic());
  }

  /** Whether the node takes new callers. */
  get isReady(): boolean {
    return !this.#isDraining && this.missing.length === 0;
  }

  /** What the node must read from the store before it is ready and has not read yet. */
  get missing(): ReadonlyArray<"configuration" | "servers"> {
    const { operator, servers } = this.parts;
    return [
      ...(operator.configuration === undefined
        ? ["configuration" as const]
        : []),
      ...(servers.isLoaded ? [] : ["servers" as const]),
    ];
  }

  /**
   * Lists the nodes that callers should connect to, some of each failure domain.
   * @param lookup - The caller and the host that it wants to call, on whose lists of allowed regions
   * the nodes depend; any node if absent.
   * @returns The addresses; empty until all running nodes are known. While the store is unreachable
   * from this node, this node is omitted if it knows others, since they may reach the store.
   */
  addresses(lookup?: AddressLookup): AddressList {
    const { register, storeHealth, regionRules } = this.parts;
    const addressable = register.listAddressable(storeHealth.isUnreachable);
    const named = lookup === undefined
      ? addressable
      : regionRules.selectNamed(addressable, lookup);
    const serving = register.isLoaded ? selectHighCapacityNodes(named) : [];
    const [own] = register.running;
    const others = serving.filter(({ node }) => node !== own?.node);
    const reachable = storeHealth.isUnreachable && others.length > 0
      ? others
      : serving;
    // Sorted, so that all nodes name the same ones.
    const listed = selectAddressedNodes(
      [...reachable].sort((left, right) => left.node < right.node ? -1 : 1),
    );
    return {
      addresses: listed.slice(0, MAXIMUM_ADDRESSES).map((node) =>
        node.callerAddress
      ),
      cacheMilliseconds: ADDRESS_CACHE_MILLISECONDS,
    };
  }

  /** Runs the background parts until the node stops; a part that fails is started again. */
  async run(): Promise<void> {
    const { background, supervision, restore } = this.parts;
    await restore();
    await Promise.all(
      background.map((part) =>
        keepAllRunning(
          { [part.constructor.name]: () => part.run() },
          supervision,
        )
      ),
    );
  }

  /**
   * Starts to drain: stops takeovers of steps and sends a heartbeat, from which other nodes learn
   * to remove this node from address lists. Running calls are still served, and late ones that end in
   * time.
   * @param milliseconds - Time until calls that still run are ended.
   */
  async startDrain(milliseconds: number): Promise<void> {
    this.#isDraining = true;
    this.parts.drainAdmission.start(milliseconds);
    this.parts.steps.stopTakeOvers();
    await this.parts.register.sendHeartbeat();
  }
}
