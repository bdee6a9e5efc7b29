import type { TextLengthEstimate } from "../decisions/text_length.ts";
import type { ServerClient } from "../backends/server_client.ts";
import type { CallForwarder } from "../calls/call_forwarder.ts";
import type { Configuration } from "../installation/configuration.ts";
import type { RegionRules } from "../installation/region_rules.ts";
import type { ServerStarts } from "../installation/server_starts.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { DurableTable } from "../platform/durable_table.ts";
import type { Clock } from "../utilities/clock.ts";
import type { RandomSource } from "../utilities/random_source.ts";
import type { StoreHealth } from "../platform/store_health.ts";
import type { EnginePool } from "./engine_pool.ts";
import type { ProgressStore } from "./progress_store.ts";
import type { ResultList } from "./result_list.ts";
import type { StepRegistry } from "./step_registry.ts";
import type { SubmissionStore } from "./submission_store.ts";

/** Dependencies shared by the components that accept, run and read steps. */
export interface StepTools {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly table: DurableTable;
  readonly stepRegistry: StepRegistry;
  readonly submissionStore: SubmissionStore;
  readonly results: ResultList;
  readonly progress: ProgressStore;
  readonly pool: EnginePool;
  readonly textLengths: TextLengthEstimate;
  readonly servers: ServerView;
  readonly client: Pick<ServerClient, "open" | "readEvents">;
  readonly serverStarts: Pick<ServerStarts, "mayHaveChanged">;
  readonly forwarder: CallForwarder;
  /** The allowed regions of routes and organisations. */
  readonly regionRules: RegionRules;
  /** Tells whether this node reaches the store; requests do not wait for a store that hangs. */
  readonly storeHealth: Pick<StoreHealth, "isUnreachable" | "isHanging">;
  /** Returns the active configuration; undefined until the first one was read. */
  readonly configuration: () => Configuration | undefined;
}
