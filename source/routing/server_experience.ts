/** Work that this node has running on a server. */
export interface RunningDispatch {
  readonly address: string;
  /** Monotonic time in milliseconds. */
  readonly startedAt: number;
}

/** What this node knows of backend servers from its own requests. */
export class ServerExperience {
  readonly #running = new Map<string, Set<RunningDispatch>>();

  /** Requests that this node has running on a server. */
  running(address: string): number {
    return this.#running.get(address)?.size ?? 0;
  }

  /** Notes that a request was given to a server. */
  start(address: string, now: number): RunningDispatch {
    const dispatch = { address, startedAt: now };
    const running = this.#running.get(address) ?? new Set();
    running.add(dispatch);
    this.#running.set(address, running);
    return dispatch;
  }

  /** Notes that a request has ended on its server. */
  end(dispatch: RunningDispatch): void {
    const running = this.#running.get(dispatch.address);
    running?.delete(dispatch);
    if (running?.size === 0) this.#running.delete(dispatch.address);
  }
}
