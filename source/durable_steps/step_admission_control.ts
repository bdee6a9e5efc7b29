import {
  type AllowedRegions,
  mayProcess,
} from "../decisions/allowed_regions.ts";
import { toEvacuationRetry } from "../decisions/evacuation.ts";
import { decideStep, type StepDecision } from "../decisions/step_admission.ts";
import type { ServiceRoute } from "../installation/configuration.ts";
import { hasManifest } from "./step_registry.ts";
import type { StepSubmission } from "./step_submission.ts";
import type { StepTools } from "./step_tools.ts";

/** Decides on new steps from the open ones that this node knows. */
export class StepAdmissionControl {
  readonly #tools: StepTools;
  /** Latest agreed time, in Unix milliseconds, at which a rejected trainer was told to return. */
  #lastReturnAt = 0;

  /** @param tools - The open steps, the engines and the usual length of a sample. */
  constructor(tools: StepTools) {
    this.#tools = tools;
  }

  /**
   * Decides whether a step is accepted.
   * @param submission - The step.
   * @param route - Its route.
   * @param allowed - Regions in which its samples may be processed; any if absent.
   */
  decide(
    submission: StepSubmission,
    route: ServiceRoute,
    allowed?: AllowedRegions,
  ): StepDecision {
    const { clock, random, servers, pool, textLengths } = this.#tools;
    const now = clock.wall();
    const services = route.services.filter(({ weight }) => weight > 0)
      .map(({ service }) => service);
    const isEvacuated = services.length > 0 &&
      services.every((service) => servers.isServiceEvacuated(service, allowed));
    const decision = decideStep({
      now,
      open: this.#listOpenSteps(now - route.sampleLifetimeMilliseconds, {
        services,
        allowed,
      }),
      samples: submission.samples.length,
      slots: this.#countSlots(services, [allowed]),
      evacuationRetryMilliseconds: isEvacuated
        ? toEvacuationRetry(random.next())
        : undefined,
      sampleMilliseconds: pool.usualEventMilliseconds *
        textLengths.usualEvents,
      lifetimeMilliseconds: route.sampleLifetimeMilliseconds,
      lastReturnAt: this.#lastReturnAt,
    });
    // The end of an evacuation is not known, so those times are not taken one after the other.
    if (decision.kind === "reject" && !isEvacuated) {
      this.#lastReturnAt = now + decision.retryAfterMilliseconds;
    }
    return decision;
  }

  #countSlots(
    services: ReadonlyArray<string>,
    rules: ReadonlyArray<AllowedRegions | undefined>,
  ): number {
    return [...new Set(services)]
      .flatMap((service) => this.#tools.servers.ofService(service))
      .filter((engine) => rules.every((each) => mayProcess(each, engine)))
      .reduce((sum, { slots }) => sum + slots, 0);
  }

  // Steps of other services count too, as the manifest does not name the service; the services of an
  // installation's steps rarely differ. Of a step that may use other regions, the share of its slots
  // counts that the new step may use.
  #listOpenSteps(
    since: number,
    { services, allowed }: {
      readonly services: ReadonlyArray<string>;
      readonly allowed: AllowedRegions | undefined;
    },
  ): ReadonlyArray<{ submittedAt: number; samples: number }> {
    const { regionRules, stepRegistry } = this.#tools;
    const shares = new Map<string | undefined, number>([[allowed?.key, 1]]);
    const toShare = (other: AllowedRegions | undefined): number => {
      const share = shares.get(other?.key) ??
        this.#countSlots(services, [allowed, other]) /
          Math.max(1, this.#countSlots(services, [other]));
      shares.set(other?.key, share);
      return share;
    };
    return [...stepRegistry.entries]
      .filter((entry) =>
        hasManifest(entry) && !entry.isEnded &&
        entry.manifest.submittedAt > since
      )
      .map(({ manifest }) => ({
        submittedAt: manifest.submittedAt,
        samples: manifest.total * toShare(regionRules.find(manifest)),
      }));
  }
}
