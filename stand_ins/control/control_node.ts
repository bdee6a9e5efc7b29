import { create } from "@bufbuild/protobuf";
import { NodeSettingsSchema } from "../../generated/snipepath/v1/settings_pb.ts";
import type { NodeContext } from "../../source/context/node_context.ts";
import { RecordingEventLog } from "../../source/observability/event_log.ts";
import { NO_METRICS } from "../../source/observability/metrics.ts";
import type { Clock } from "../../source/utilities/clock.ts";
import { createRandomSource } from "../../source/utilities/random_source.ts";
import {
  type CallBehaviour,
  FAST_RESPONSE,
  LocalPlatform,
  type PlatformArea,
} from "../platform/local_platform.ts";
import type { PlatformState } from "../platform/platform_state.ts";
import { StoppableClock } from "./stoppable_clock.ts";

/** Lease duration in the settings of test nodes. */
export const LEASE_MILLISECONDS = 3_000;

/** Order deadline in the settings of test nodes. */
export const ORDER_DEADLINE_MILLISECONDS = 1_000;

/** Length of a usage window in the settings of test nodes. */
export const USAGE_WINDOW_MILLISECONDS = 10_000;

/** Options of a test node. */
export interface ControlNodeOptions {
  readonly name: string;
  /** Clock shared by all nodes and the platform. */
  readonly clock: Clock;
  readonly state: PlatformState;
  readonly seed?: number;
}

/** A node context whose clock, platform calls and process state are controlled by a test. */
export class ControlNode {
  readonly name: string;
  readonly clock: StoppableClock;
  readonly log: RecordingEventLog = new RecordingEventLog();
  readonly context: NodeContext;
  /** Decides how the platform handles each call. */
  chooseBehaviour: (area: PlatformArea, writtenTable: string) => CallBehaviour =
    () => FAST_RESPONSE;
  readonly #stopping = new AbortController();

  /** @param options - Name, shared clock, platform state and random seed of the node. */
  constructor(options: ControlNodeOptions) {
    this.name = options.name;
    this.clock = new StoppableClock(options.clock);
    const platform = new LocalPlatform({
      state: options.state,
      clock: options.clock,
      chooseBehaviour: (area, writtenTable) =>
        this.chooseBehaviour(area, writtenTable),
      waitWhileStopped: () => this.clock.waitWhileStopped(),
    });
    this.context = {
      settings: create(NodeSettingsSchema, {
        node: options.name,
        failureDomain: "cluj-a",
        leaseMilliseconds: LEASE_MILLISECONDS,
        orderDeadlineMilliseconds: ORDER_DEADLINE_MILLISECONDS,
        usageWindowMilliseconds: USAGE_WINDOW_MILLISECONDS,
      }),
      nodeStart: `${options.name}-start`,
      clock: this.clock,
      random: createRandomSource(options.seed ?? 0),
      log: this.log,
      metrics: NO_METRICS,
      platform,
      ledger: NO_LEDGER,
      stopping: this.#stopping.signal,
    };
  }

  /** Aborts the node's `stopping` signal, as SIGTERM does. */
  terminate(): void {
    this.#stopping.abort();
  }

  /** Stops the node's clock permanently, which halts all its work as SIGKILL does. */
  kill(): void {
    void this.clock.stop({
      milliseconds: PERMANENT_STOP_MILLISECONDS,
      haltsMonotonic: false,
    });
  }
}

const PERMANENT_STOP_MILLISECONDS = 1e12;

const NO_LEDGER: NodeContext["ledger"] = {
  open: () => ({ add: () => {}, close: () => {} }),
  explain: () => ({ causes: {}, subjects: 0, targetsMissed: 0 }),
};
