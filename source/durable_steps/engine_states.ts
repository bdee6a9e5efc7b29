import type { RunningEngine } from "../decisions/stalled_engines.ts";
import { EngineState } from "./engine_state.ts";

/** What a node knows of the engines that it has used. */
export class EngineStates {
  readonly #states = new Map<string, EngineState>();

  /** All states, by the identifier of the engine. */
  get all(): ReadonlyMap<string, EngineState> {
    return this.#states;
  }

  /** Returns the state of an engine, a new one if the node has not used it. */
  getOrCreate(identifier: string): EngineState {
    let state = this.#states.get(identifier);
    if (state === undefined) {
      state = new EngineState();
      this.#states.set(identifier, state);
    }
    return state;
  }

  /** Returns the number of this node's samples that run on an engine. */
  running(identifier: string): number {
    return this.#states.get(identifier)?.running ?? 0;
  }

  /** Returns the number of this node's running samples by engine, for engines that run any. */
  runningByEngine(): Readonly<Record<string, number>> {
    return Object.fromEntries(
      this.#listBusy().map((
        [identifier, { running }],
      ) => [identifier, running]),
    );
  }

  /**
   * Lists the engines that run samples of this node.
   * @param isLoading - Whether an engine loads weights.
   */
  listRunning(
    isLoading: (identifier: string) => boolean,
  ): ReadonlyArray<RunningEngine> {
    return this.#listBusy().map(([identifier, { quietSince }]) => ({
      identifier,
      quietSince,
      isLoading: isLoading(identifier),
    }));
  }

  /**
   * Removes the states of engines that are not registered and run no sample.
   * @param isRegistered - Whether an engine has an entry.
   * @returns Identifiers of the engines.
   */
  removeUnregistered(
    isRegistered: (identifier: string) => boolean,
  ): ReadonlyArray<string> {
    const removed = [...this.#states]
      .filter(([identifier, { running }]) =>
        running === 0 && !isRegistered(identifier)
      )
      .map(([identifier]) => identifier);
    for (const identifier of removed) this.#states.delete(identifier);
    return removed;
  }

  #listBusy(): ReadonlyArray<readonly [string, EngineState]> {
    return [...this.#states].filter(([, { running }]) => running > 0);
  }
}
