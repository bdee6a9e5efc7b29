import { randomUUID } from "node:crypto";
import type { FaultInjector } from "../faults/fault_injector.ts";
import { startFaultyHttpServer } from "../faults/faulty_http_server.ts";
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
  readonly faults: FaultInjector;
  /** Changes options while the engine runs. */
  changeBehaviour(behaviour: EngineBehaviour): void;
  /** Makes load reports state that the engine will be stopped soon. */
  markLeaving(): void;
  /** Returns the requests received. */
  requests(): ReadonlyArray<Readonly<LoggedRequest>>;
  /** Stops the engine immediately and destroys all connections. */
  close(): Promise<void>;
}

/**
 * Starts a model engine stand-in.
 * @param options - Options that differ from `DEFAULT_ENGINE_OPTIONS`.
 * @example
 * ```ts
 * const engine = await startEngine({ weightVersions: [7] });
 * await engine.close();
 * ```
 */
export async function startEngine(
  options: Partial<EngineOptions> = {},
): Promise<StartedEngine> {
  const startIdentity = randomUUID();
  const stopping = new AbortController();
  const engine = new Engine({
    ...DEFAULT_ENGINE_OPTIONS,
    ...options,
    startIdentity,
  });
  const server = await startFaultyHttpServer({
    port: options.port ?? DEFAULT_ENGINE_OPTIONS.port,
    latencyMilliseconds: options.latencyMilliseconds ??
      DEFAULT_ENGINE_OPTIONS.latencyMilliseconds,
    handle: ({ request, response }) => engine.handle(request, response),
  });
  const running = engine.run(stopping.signal);
  return {
    address: server.address,
    startIdentity,
    faults: server.faults,
    changeBehaviour: (behaviour) => engine.changeBehaviour(behaviour),
    markLeaving: () => engine.markLeaving(),
    requests: () => engine.log(),
    close: async () => {
      stopping.abort();
      await server.close();
      await running;
    },
  };
}
