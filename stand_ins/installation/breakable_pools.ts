import { setTimeout as wait } from "node:timers/promises";
import type { Dispatcher } from "undici";
import { ConnectionPools } from "../../source/backends/connection_pools.ts";
import type { TrackedRequestOptions } from "../../source/backends/send_tracking_handler.ts";

const CONNECT_MILLISECONDS = 600;

/** How a node's path to all servers is broken. */
export type PathFault =
  /** Nothing arrives, over new connections or old ones. */
  | "hangs"
  /** Connections are refused, and old ones are closed. */
  | "refuses"
  /** New connections are refused, and old ones work. */
  | "refuses new connections";

/** Connections of one node to servers, whose path a test can break. */
export class BreakablePools extends ConnectionPools {
  /** Fault of the path; undefined while it works. */
  fault: PathFault | undefined;

  /** Returns the dispatcher of an address, or one that fails while the path is broken. */
  override getDispatcher(address: string, newConnection: boolean): Dispatcher {
    const dispatcher = super.getDispatcher(address, newConnection);
    if (this.fault === undefined) return dispatcher;
    const isConnected = !newConnection && this.countIdle(address) > 0;
    if (isConnected && this.fault === "refuses new connections") {
      return dispatcher;
    }
    const fail = FAULTS[this.fault];
    return {
      request: (options: TrackedRequestOptions & { signal: AbortSignal }) =>
        fail(options, isConnected),
    } as unknown as Dispatcher;
  }
}

const FAULTS: Readonly<
  Record<
    PathFault,
    (
      options: TrackedRequestOptions & { readonly signal: AbortSignal },
      isConnected: boolean,
    ) => Promise<never>
  >
> = {
  hangs: async ({ signal, sendState }, isConnected) => {
    if (isConnected && sendState !== undefined) sendState.started = true;
    await wait(
      isConnected ? 60_000 : CONNECT_MILLISECONDS,
      undefined,
      { signal },
    );
    throw new Error("Connect timeout");
  },
  refuses: refuse,
  "refuses new connections": refuse,
};

async function refuse(): Promise<never> {
  await wait(1);
  throw new Error("connect ECONNREFUSED");
}
