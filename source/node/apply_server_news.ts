import type { DurableTable } from "../platform/durable_table.ts";
import { readEarlierRecord } from "../installation/read_earlier_record.ts";
import type { Clock } from "../utilities/clock.ts";
import type { ServerClient } from "../backends/server_client.ts";
import type { EngineUseExchange } from "../durable_steps/engine_use_exchange.ts";
import { toDemandNews, toLimitNews } from "../installation/limit_news.ts";
import type { NodeRegister } from "../installation/node_register.ts";
import type { ServerLimits } from "../installation/server_limits.ts";
import type { ServerView } from "../installation/server_view.ts";
import type { WarmUpLimits } from "../installation/warm_up_limits.ts";
import type { WorkSharing } from "../installation/work_sharing.ts";

/** Pause before the store is asked again. */
const READ_PAUSE_MILLISECONDS = 100;

/** The sources of news about servers and the parts that use it. */
export interface ServerNewsOptions {
  readonly client: Pick<ServerClient, "watchLeaving">;
  readonly register: NodeRegister;
  readonly servers: ServerView;
  readonly engineUseExchange: EngineUseExchange;
  readonly limits: ServerLimits;
  readonly warmUpLimits: WarmUpLimits;
  readonly work: WorkSharing;
}

/** Applies what answers and other nodes say of servers that leave, of engines' use and of limits. */
export function applyServerNews(
  options: ServerNewsOptions,
): void {
  const { client, register, servers, engineUseExchange, limits } = options;
  const { warmUpLimits, work } = options;
  client.watchLeaving((server) =>
    servers.markLeaving(server, { learnedFrom: "answer" })
  );
  register.watch(() => {
    for (const { node, leavingServers } of register.others) {
      for (const server of leavingServers) {
        servers.markLeaving(server, { learnedFrom: node });
      }
    }
  });
  // Before the use of engines, which assigns their slots.
  register.watch(() => work.apply(register.others));
  register.watch(() => engineUseExchange.apply(register.others));
  register.watch(() => limits.apply(toLimitNews(register)));
  register.watch(() => warmUpLimits.apply(toDemandNews(register)));
}

/**
 * Restores which servers an earlier process of this node knew to be about to stop; waits until the
 * store returns it.
 */
export async function restoreServerNews(
  { clock, table, node, servers, stopping }: {
    readonly clock: Clock;
    readonly table: Pick<DurableTable, "read">;
    readonly node: string;
    readonly servers: Pick<ServerView, "markLeaving">;
    readonly stopping: AbortSignal;
  },
): Promise<void> {
  while (!stopping.aborted) {
    const record = await readEarlierRecord(table, node);
    if (record !== "unreadable") {
      for (const server of record?.leavingServers ?? []) {
        servers.markLeaving(server, { learnedFrom: "earlier process" });
      }
      return;
    }
    await clock.sleep(READ_PAUSE_MILLISECONDS, stopping);
  }
}
