import { randomUUID } from "node:crypto";
import type { RequestFaults } from "./stand_in_server.ts";
import { startStandInServer } from "./stand_in_server.ts";
import { Engine } from "./engine.ts";
import {
  DEFAULT_ENGINE_OPTIONS,
  type EngineBehaviour,
  type EngineOptions,
} from "./engine_options.ts";
import type { LoggedRequest } from "./request_log.ts";

/** A running model engine stand-in. */
export interface StartedEngine {
  /** HOST:PORT. */
  readonly address: string;
  readonly startIdentity: string;
  /** Changes behaviour while it runs. */
  behave(behaviour: EngineBehaviour): void;
  /** Says that the engine is about to end. */
  leave(): void;
  /** Returns the requests seen. */
  log(): ReadonlyArray<Readonly<LoggedRequest>>;
  /** Ends at once and cuts all connections. */
  close(): Promise<void>;
}

/**
 * Starts a model engine stand-in.
 * @param options - Behaviour that differs from the defaults, and faults.
 * @example
 * ```ts
 * const engine = await startEngine({ weightVersions: [7] });
 * await engine.close();
 * ```
 */
export async function startEngine(
  options: Partial<EngineOptions> & { readonly faults?: RequestFaults } = {},
): Promise<StartedEngine> {
  const { faults, ...given } = options;
  const startIdentity = randomUUID();
  const stopping = new AbortController();
  const engine = new Engine({
    ...DEFAULT_ENGINE_OPTIONS,
    ...given,
    startIdentity,
  });
  const server = await startStandInServer({
    host: given.host ?? DEFAULT_ENGINE_OPTIONS.host,
    port: given.port ?? DEFAULT_ENGINE_OPTIONS.port,
    faults,
    handle: (request, response) => engine.handle(request, response),
  });
  const running = engine.run(stopping.signal);
  return {
    address: server.address,
    startIdentity,
    behave: (behaviour) => engine.behave(behaviour),
    leave: () => engine.leave(),
    log: () => engine.log(),
    close: async () => {
      stopping.abort();
      await server.close();
      await running;
    },
  };
}
