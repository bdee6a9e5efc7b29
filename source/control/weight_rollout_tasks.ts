import { ServiceKind } from "../../generated/snipepath/v1/declaration_pb.ts";
import type { WeightRolloutOptions } from "./weight_rollout.ts";
import { WeightRollout } from "./weight_rollout.ts";

const CONFIGURATION_POLL_MILLISECONDS = 1000;

/** Options of the rollouts of all services. */
export type WeightRolloutTasksOptions = Omit<WeightRolloutOptions, "service">;

/**
 * Runs a rollout for each declared model service.
 * @example
 * ```ts
 * const tasks = new WeightRolloutTasks({ context, configuration, engines, servers, versions });
 * void tasks.run();
 * ```
 */
export class WeightRolloutTasks {
  readonly #options: WeightRolloutTasksOptions;
  readonly #rollouts = new Map<string, WeightRollout>();

  /** @param options - Options passed to each rollout. */
  constructor(options: WeightRolloutTasksOptions) {
    this.#options = options;
  }

  /** Starts a rollout for each newly declared model service, and runs all rollouts until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping } = this.#options.context;
    const running: Promise<void>[] = [];
    while (!stopping.aborted) {
      for (const service of this.#findNewServices()) {
        const rollout = new WeightRollout({ ...this.#options, service });
        this.#rollouts.set(service, rollout);
        running.push(rollout.run());
      }
      await clock.sleep(CONFIGURATION_POLL_MILLISECONDS, stopping);
    }
    await Promise.all(running);
  }

  #findNewServices(): ReadonlyArray<string> {
    const declaration = this.#options.configuration.current()?.declaration;
    return (declaration?.services ?? [])
      .filter((service) => service.kind === ServiceKind.MODEL)
      .map((service) => service.name)
      .filter((name) => !this.#rollouts.has(name));
  }
}
