import { create } from "@bufbuild/protobuf";
import { NodeSettingsSchema } from "../../generated/snipepath/v1/settings_pb.ts";
import type { NodeContext } from "../../source/context/node_context.ts";
import { RecordingEventLog } from "../../source/observability/event_log.ts";
import { NO_METRICS } from "../../source/observability/metrics.ts";
import type { Clock } from "../../source/utilities/clock.ts";
import { createRandomSource } from "../../source/utilities/random_source.ts";
import {
  type CallFate,
  LocalPlatform,
  type PlatformArea,
  PROMPT_ANSWER,
} from "../platform/local_platform.ts";
import type { PlatformState } from "../platform/platform_state.ts";
import { StoppableClock } from "./stoppable_clock.ts";

/** Lease duration of the nodes. */
export const LEASE_MILLISECONDS = 3_000;

/** Order deadline of the nodes. */
export const ORDER_DEADLINE_MILLISECONDS = 1_000;

/** Usage window of the nodes. */
export const USAGE_WINDOW_MILLISECONDS = 10_000;

/** What a node for tests is made of. */
export interface ControlNodeOptions {
  readonly name: string;
  /** The clock that all nodes and the platform share. */
  readonly clock: Clock;
  readonly state: PlatformState;
  readonly seed?: number;
}

/** Context of one node whose clock, platform calls and life a test controls. */
export class ControlNode {
  readonly name: string;
  readonly clock: StoppableClock;
  readonly log: RecordingEventLog = new RecordingEventLog();
  readonly context: NodeContext;
  /** Decides what becomes of each platform call. */
  decideFate: (area: PlatformArea, writtenTable: string) => CallFate = () =>
    PROMPT_ANSWER;
  readonly #stopping = new AbortController();

  /** @param options - What the node is made of. */
  constructor(options: ControlNodeOptions) {
    this.name = options.name;
    this.clock = new StoppableClock(options.clock);
    const platform = new LocalPlatform({
      state: options.state,
      clock: options.clock,
      decideFate: (area, writtenTable) => this.decideFate(area, writtenTable),
      whileStopped: () => this.clock.whileStopped(),
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

  /** Tells the node to end as after SIGTERM. */
  terminate(): void {
    this.#stopping.abort();
  }

  /** Ends the node as SIGKILL would: nothing of it goes on. */
  kill(): void {
    void this.clock.stop({ milliseconds: FOREVER, haltsMonotonic: false });
  }
}

const FOREVER = 1e12;

const NO_LEDGER: NodeContext["ledger"] = {
  open: () => ({ add: () => {}, close: () => {} }),
  explain: () => ({ causes: {}, subjects: 0, targetsMissed: 0 }),
};
