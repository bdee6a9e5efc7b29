import type { ServerClient } from "../backends/server_client.ts";
import type { CallForwarder } from "../calls/call_forwarder.ts";
import type { Configuration } from "../installation/configuration.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { DurableTable } from "../platform/durable_table.ts";
import type { Clock } from "../utilities/clock.ts";
import type { StoreHealth } from "../platform/store_health.ts";
import type { EnginePool } from "./engine_pool.ts";
import type { ProgressLog } from "./progress_log.ts";
import type { ResultList } from "./result_list.ts";
import type { StepBook } from "./step_book.ts";
import type { SubmissionArchive } from "./submission_archive.ts";

/** What the parts that run steps share. */
export interface StepTools {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly table: DurableTable;
  readonly book: StepBook;
  readonly archive: SubmissionArchive;
  readonly results: ResultList;
  readonly progress: ProgressLog;
  readonly pool: EnginePool;
  readonly servers: ServerView;
  readonly client: ServerClient;
  readonly forwarder: CallForwarder;
  /** Whether the store answers this node; requests don't wait for it while it is away. */
  readonly storeHealth: Pick<StoreHealth, "isAway" | "isSilent">;
  /** The configuration in force; undefined until the first was read. */
  readonly configuration: () => Configuration | undefined;
}
