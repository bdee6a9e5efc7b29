import type { ServerLimits } from "../installation/server_limits.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { SlotSharing } from "../installation/slot_sharing.ts";
import type { Clock } from "../utilities/clock.ts";
import type { EngineLoads } from "./engine_loads.ts";
import type { EngineState } from "./engine_state.ts";

/** What is known of the engines. */
export interface EngineAvailabilityOptions {
  readonly clock: Clock;
  readonly servers: ServerView;
  readonly limits: ServerLimits;
  /** States of the engines that this node has used, by identifier. */
  readonly states: ReadonlyMap<string, EngineState>;
  /** Loads of weights that nodes ordered. */
  readonly loads: EngineLoads;
  /** Divides the free slots between the nodes; without it, all belong to this one. */
  readonly sharing: SlotSharing | undefined;
  /** Returns the usual time of a run, in milliseconds. */
  readonly usualRunMilliseconds: () => number;
}
