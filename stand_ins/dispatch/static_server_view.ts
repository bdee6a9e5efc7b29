import type {
  BackendServerState,
  BackendServerView,
} from "../../source/backends/backend_server_state.ts";

/** View of backend servers that is set by hand. */
export class StaticServerView implements BackendServerView {
  readonly #servers = new Map<string, BackendServerState>();
  readonly #unavailable = new Set<string>();
  /** Addresses that were told to be unreachable. */
  readonly unreachable: string[] = [];

  /** Adds or changes a server. */
  set(
    server: Partial<BackendServerState> & Pick<BackendServerState, "address">,
  ): void {
    const known = this.#servers.get(server.address) ?? DEFAULT_STATE;
    this.#servers.set(server.address, { ...known, ...server });
  }

  /** Forgets a server. */
  remove(address: string): void {
    this.#servers.delete(address);
  }

  /** Makes a server unavailable at the moment of dispatch, whatever its state says. */
  withhold(address: string): void {
    this.#unavailable.add(address);
  }

  /** Returns the servers of a service. */
  servers(service: string): ReadonlyArray<BackendServerState> {
    return [...this.#servers.values()]
      .filter((server) => server.service === service);
  }

  /** Returns whether a server may get work. */
  isAvailable(address: string): boolean {
    const server = this.#servers.get(address);
    if (server === undefined || this.#unavailable.has(address)) return false;
    return server.reachable && !server.leaving;
  }

  /** Keeps what was told. */
  noteUnreachable(address: string): void {
    this.unreachable.push(address);
  }
}

const DEFAULT_STATE: BackendServerState = {
  address: "",
  service: "dot-models",
  failureDomain: "cluj-a",
  tier: "steady",
  startIdentity: "",
  leaving: false,
  reachable: true,
  running: 0,
  waiting: 0,
  loadAgeMilliseconds: 0,
  cacheFreePermille: 1000,
  weightVersions: [1],
  dispatchedByPeers: 0,
  tokensPerSecond: 100,
  microsPerHour: 0,
};
