import type { AllowedRegions } from "../decisions/allowed_regions.ts";
import { chooseService } from "../decisions/service_choice.ts";
import type { ServiceRoute } from "../installation/configuration.ts";
import type { Clock } from "../utilities/clock.ts";
import type { EnginePool } from "./engine_pool.ts";
import type { EngineRequirements } from "./engine_request.ts";
import type { SampleText } from "./sample_text.ts";

/** The sample, and the engines among which its route is split. */
export interface SampleRequirementsOptions {
  readonly clock: Pick<Clock, "monotonic">;
  readonly pool: Pick<EnginePool, "hasUsable" | "hasAvailable">;
  readonly text: SampleText;
  readonly model: string;
  readonly minimumVersion: number;
  /**
   * Number from 0 up to but not including 1 that divides samples among the services of a split route;
   * the same for the samples of a group, which share a prompt.
   */
  readonly draw: number;
  /** Returns the route that is in force; undefined without one. */
  readonly route: () => ServiceRoute | undefined;
  /** Returns the regions in which the sample may be processed now; any region if absent. */
  readonly findAllowedRegions?: () => AllowedRegions | undefined;
}

/** What a sample requires of its engine under the route that is in force. */
export class SampleRequirements {
  readonly #options: SampleRequirementsOptions;
  #service: string | undefined;
  #begunAt: string | undefined;
  #waitsSince: number | undefined;
  #shares = "";

  /** @param options - The sample and the engines. */
  constructor(options: SampleRequirementsOptions) {
    this.#options = options;
  }

  /** Monotonic time, in milliseconds, since which the sample waits for an engine. */
  get waitsSince(): number {
    return this.#waitsSince ?? this.#options.clock.monotonic();
  }

  /** Chooses the service at which the sample waits, and returns what it requires there. */
  choose(route: ServiceRoute): EngineRequirements {
    const { clock, pool, draw, text } = this.#options;
    const now = clock.monotonic();
    this.#waitsSince ??= now;
    this.#shares = toSharesKey(route);
    const [first, ...others] = route.services;
    this.#service = others.length === 0 ? first?.service : chooseService(
      route.services.map(({ service, weight }) => {
        const requirements = this.#at(service, route);
        return {
          service,
          weight,
          isUsable: pool.hasUsable(requirements),
          hasFree: pool.hasAvailable(requirements),
        };
      }),
      {
        draw,
        waitedMilliseconds: now - this.#waitsSince,
        begunAt: text.lastEvent === undefined ? undefined : this.#begunAt,
      },
    );
    return this.#at(this.#service ?? "", route);
  }

  /**
   * Returns what the sample requires under the route that is in force, at the chosen service if the
   * route still uses it; undefined without a route.
   */
  find(): EngineRequirements | undefined {
    const route = this.#options.route();
    if (route === undefined) return undefined;
    const isChosen = ({ service }: { readonly service: string }): boolean =>
      service === this.#service;
    const share = route.services.find(isChosen) ?? route.services[0];
    return this.#at(share?.service ?? "", route);
  }

  /** Whether the services of the route or their weights have changed since the last choice. */
  get isOutdated(): boolean {
    const route = this.#options.route();
    return route === undefined || toSharesKey(route) !== this.#shares;
  }

  /** Whether the route that is in force sends samples to a service. */
  isRouted(service: string): boolean {
    const services = this.#options.route()?.services ?? [];
    const weighted = services.filter(({ weight }) => weight > 0);
    return (weighted.length > 0 ? weighted : services).some((share) =>
      share.service === service
    );
  }

  /** Records that the sample has got an engine of a service. */
  recordStart(service: string): void {
    this.#begunAt = service;
    this.#waitsSince = undefined;
  }

  #at(service: string, route: ServiceRoute): EngineRequirements {
    const { text, model, minimumVersion } = this.#options;
    return {
      service,
      model,
      minimumVersion,
      exactVersion: route.isSingleVersion ? text.versions[0] : undefined,
      softwareVersion: text.softwareVersion,
      allowedRegions: this.#options.findAllowedRegions?.(),
    };
  }
}

function toSharesKey({ services }: ServiceRoute): string {
  return services.map(({ service, weight }) => `${service}=${weight}`).join();
}
