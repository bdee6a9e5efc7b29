import type {
  EngineClient,
  EngineLoad,
} from "../../source/backends/engine_client.ts";

/** Load of an idle backend server. */
export const IDLE_LOAD: EngineLoad = {
  startIdentity: "start-1",
  running: 0,
  waiting: 0,
  cacheFreePermille: 1000,
  weightVersions: [1],
  leaving: false,
  tokensPerSecond: 0,
};

/** In-memory backend servers that only report their load. */
export class FakeEngines {
  /** Loads by address; a request to any other address gets no response. */
  readonly loads = new Map<string, EngineLoad>();
  /** Number of load requests by address. */
  readonly loadRequests = new Map<string, number>();
  /** Client that nodes use to request loads. */
  readonly client: EngineClient;

  constructor() {
    const client: Pick<EngineClient, "readLoad"> = {
      readLoad: (address) => {
        this.loadRequests.set(
          address,
          (this.loadRequests.get(address) ?? 0) + 1,
        );
        return Promise.resolve(this.loads.get(address));
      },
    };
    this.client = client as EngineClient;
  }

  /** Changes fields of a server's load; a server without a load starts with the idle load. */
  updateLoad(address: string, change: Partial<EngineLoad>): void {
    const before = this.loads.get(address) ?? IDLE_LOAD;
    this.loads.set(address, { ...before, ...change });
  }
}
