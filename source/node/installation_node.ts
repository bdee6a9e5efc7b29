import type { CallService } from "../calls/call_service.ts";
import type { StepKeeper } from "../durable_steps/step_keeper.ts";
import type { StepReader } from "../durable_steps/step_reader.ts";
import type { NodeRegister } from "../installation/node_register.ts";
import type { OperatorView } from "../installation/operator_view.ts";
import { selectStrongNodes } from "../installation/select_strong_nodes.ts";
import type { StoreHealth } from "../platform/store_health.ts";
import type { ServerView } from "../installation/server_view.ts";

/** A part that works in the background until the node stops. */
export interface BackgroundPart {
  run(): Promise<void>;
}

/** What a node of an installation consists of. */
export interface InstallationNodeParts {
  readonly operator: OperatorView;
  readonly servers: ServerView;
  readonly register: NodeRegister;
  readonly storeHealth: Pick<StoreHealth, "isAway">;
  readonly calls: CallService;
  readonly keeper: StepKeeper;
  readonly reader: StepReader;
  /** Brings the gauges up to date before they are fetched. */
  readonly setGauges: () => void;
  /** Everything that works in the background. */
  readonly background: ReadonlyArray<BackgroundPart>;
}

/** Addresses for callers and how long they may keep them. */
export interface AddressAnswer {
  readonly addresses: ReadonlyArray<string>;
  readonly keepMilliseconds: number;
}

/** Shorter would cost calls; callers keep some answers three times as long as told. */
const ADDRESS_KEEP_MILLISECONDS = 2000;
const LARGEST_ADDRESS_ANSWER = 64;

/** One node of an installation, put together from its parts. */
export class InstallationNode {
  /** The node's parts. */
  readonly parts: InstallationNodeParts;
  #isLeaving = false;

  /** @param parts - What the node consists of. */
  constructor(parts: InstallationNodeParts) {
    this.parts = parts;
  }

  /** Whether a stop has begun. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Whether new callers should be sent here. */
  get isReady(): boolean {
    const { operator, servers } = this.parts;
    return !this.#isLeaving && operator.configuration !== undefined &&
      servers.isLoaded;
  }

  /**
   * Returns the nodes that callers should connect to; this one's own failure domain is not preferred.
   * @returns The nodes that were known last while the store does not answer this node; this one is
   * left out then, as others may reach the store. None before all nodes were heard.
   */
  addresses(): AddressAnswer {
    const { register, storeHealth } = this.parts;
    const serving = register.isLoaded
      ? selectStrongNodes(register.running)
      : [];
    const [own] = register.running;
    const others = serving.filter(({ node }) => node !== own?.node);
    const named = storeHealth.isAway && others.length > 0 ? others : serving;
    return {
      addresses: named.slice(0, LARGEST_ADDRESS_ANSWER).map((node) =>
        node.callerAddress
      ),
      keepMilliseconds: ADDRESS_KEEP_MILLISECONDS,
    };
  }

  /** Runs the background parts until the node stops. */
  async run(): Promise<void> {
    await Promise.all(this.parts.background.map((part) => part.run()));
  }

  /** Leaves the address answers; running and late calls are still served. */
  async leave(): Promise<void> {
    this.#isLeaving = true;
    this.parts.keeper.leave();
    await this.parts.register.sendHeartbeat();
  }
}
