import type {
  BackendServerState,
  BackendServerView,
} from "../../source/backends/backend_server_state.ts";

/** A backend server view whose content is set by a test. */
export class StaticServerView implements BackendServerView {
  readonly #servers = new Map<string, BackendServerState>();
  readonly #unavailable = new Set<string>();
  /** Addresses that were reported as unreachable, in order. */
  readonly unreachable: string[] = [];

  /** Adds a server or updates its state. */
  set(
    server: Partial<BackendServerState> & Pick<BackendServerState, "address">,
  ): void {
    const previousState = this.#servers.get(server.address) ?? DEFAULT_STATE;
    this.#servers.set(server.address, { ...previousState, ...server });
  }

  /** Removes a server. */
  remove(address: string): void {
    this.#servers.delete(address);
  }

  /** Makes `isAvailable` return false for a server, regardless of its state. */
  makeUnavailable(address: string): void {
    this.#unavailable.add(address);
  }

  /** Returns the servers of a service. */
  servers(service: string): ReadonlyArray<BackendServerState> {
    return [...this.#servers.values()]
      .filter((server) => server.service === service);
  }

  /** Returns whether requests may be dispatched to a server. */
  isAvailable(address: string): boolean {
    const server = this.#servers.get(address);
    if (server === undefined || this.#unavailable.has(address)) return false;
    return server.reachable && !server.leaving;
  }

  /** Records the address of a server that was reported as unreachable. */
  markUnreachable(address: string): void {
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
