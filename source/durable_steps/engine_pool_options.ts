import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { ServerLimits } from "../installation/server_limits.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { SlotSharing } from "../installation/slot_sharing.ts";
import type { Rendezvous } from "../membership/rendezvous.ts";
import type { EngineUseReport } from "./engine_use_report.ts";

/** The engines of a pool and what is known of them. */
export interface EnginePoolOptions {
  readonly servers: ServerView;
  readonly limits: ServerLimits;
  /** Divides the free slots between the nodes; without it, all belong to this one. */
  readonly sharing?: SlotSharing;
  /** Orders the engines of a prompt; without it, prompts stay where this node sent them. */
  readonly rendezvous?: Rendezvous;
  readonly report?: EngineUseReport;
  readonly isConnected: (engine: BackendServerEntry) => boolean;
  readonly findMemoryTokens: (service: string) => number;
  /** Whether the engines of a service finish their runs before they load weights. */
  readonly finishesRunsBeforeLoads?: (service: string) => boolean;
  /** Called while runs wait and no engine is heard. */
  readonly onQuiet?: () => void;
}
