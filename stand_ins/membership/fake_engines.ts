import type {
  EngineClient,
  EngineLoad,
} from "../../source/backends/engine_client.ts";

/** Load of a server that does nothing. */
export const IDLE_LOAD: EngineLoad = {
  startIdentity: "start-1",
  running: 0,
  waiting: 0,
  cacheFreePermille: 1000,
  weightVersions: [1],
  leaving: false,
  tokensPerSecond: 0,
};

/** Backend servers in memory, of which only the load can be asked. */
export class FakeEngines {
  /** Loads by address; an address without one does not answer. */
  readonly loads = new Map<string, EngineLoad>();
  /** Number of times the load of each address was asked. */
  readonly asked = new Map<string, number>();
  /** The client that nodes use. */
  readonly client: EngineClient;

  constructor() {
    const client: Pick<EngineClient, "load"> = {
      load: (address) => {
        this.asked.set(address, (this.asked.get(address) ?? 0) + 1);
        return Promise.resolve(this.loads.get(address));
      },
    };
    this.client = client as EngineClient;
  }

  /** Changes the load of a server. */
  change(address: string, change: Partial<EngineLoad>): void {
    const before = this.loads.get(address) ?? IDLE_LOAD;
    this.loads.set(address, { ...before, ...change });
  }
}
