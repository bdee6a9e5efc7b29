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

  /** Decides whether a step is accepted. */
  decide(submission: StepSubmission, route: ServiceRoute): StepDecision {
    const { clock, servers, pool, textLengths } = this.#tools;
    const now = clock.wall();
    const service = route.services[0]?.service ?? "";
    const engines = servers.ofService(service);
    const isEvacuated = servers.isServiceEvacuated(service);
    const decision = decideStep({
      now,
      open: this.#listOpenSteps(now - route.sampleLifetimeMilliseconds),
      samples: submission.samples.length,
      slots: engines.reduce((sum, { slots }) => sum + slots, 0),
      evacuationRetryMilliseconds: isEvacuated
        ? toEvacuationRetry(this.#tools.random.next())
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

  // Steps of other services count too, as the manifest does not name the service; the services of an
  // installation's steps rarely differ.
  #listOpenSteps(
    since: number,
  ): ReadonlyArray<{ submittedAt: number; samples: number }> {
    return [...this.#tools.stepRegistry.entries]
      .filter((entry) =>
        hasManifest(entry) && !entry.isEnded &&
        entry.manifest.submittedAt > since
      )
      .map(({ manifest }) => ({
        submittedAt: manifest.submittedAt,
        samples: manifest.total,
      }));
  }
}
