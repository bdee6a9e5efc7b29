import {
  type AllowedRegions,
  selectBodyReceivers,
} from "../decisions/allowed_regions.ts";
import { chooseStepOwner } from "../decisions/step_owner.ts";
import type { NodeRecord } from "../installation/node_record.ts";
import type { NodeRegister } from "../installation/node_register.ts";
import { selectHighCapacityNodes } from "../installation/select_high_capacity_nodes.ts";
import type { Rendezvous } from "../membership/rendezvous.ts";
import type { Clock } from "../utilities/clock.ts";
import { listOwnedSteps } from "./list_owned_steps.ts";
import type { StepEntry, StepRegistry } from "./step_registry.ts";
import type { StepSubmission } from "./step_submission.ts";

/** Dependencies of the choice of owners. */
export interface StepOwnerChoiceOptions {
  readonly clock: Clock;
  readonly register: Pick<NodeRegister, "running">;
  readonly rendezvous: Rendezvous;
  readonly stepRegistry: StepRegistry;
  /** Identity of this process. */
  readonly nodeStart: string;
  /** Region of this node, which is taken for that of its callers. */
  readonly region: string;
}

/** Chooses the nodes that run steps which were submitted to this node. */
export class StepOwnerChoice {
  readonly #options: StepOwnerChoiceOptions;

  /** @param options - The running nodes and the steps that they own. */
  constructor(options: StepOwnerChoiceOptions) {
    this.#options = options;
  }

  /**
   * Chooses the process that runs a step.
   * @param submission - The step.
   * @param allowed - Regions in which it may be processed; any if absent.
   */
  choose(
    submission: Pick<StepSubmission, "model"> & {
      readonly samples: { readonly length: number };
    },
    allowed?: AllowedRegions,
  ): string {
    const { clock, register, rendezvous, stepRegistry, nodeStart, region } =
      this.#options;
    const candidates = selectOwnerCandidates(register.running, {
      allowed,
      callerRegion: region,
    });
    return chooseStepOwner({
      model: submission.model,
      samples: submission.samples.length,
      candidates: rendezvous.choose(submission.model, candidates, {
        count: Infinity,
        name: ({ node }) => node,
      }),
      steps: listOwnedSteps(stepRegistry.entries, clock.wall()),
    })?.nodeStart ?? nodeStart;
  }

  /**
   * Whether a step that is submitted again to this node keeps its owner. The loss of an owner that
   * does not run is detected by a supervisor.
   */
  mayKeep(
    { owner, manifest }: StepEntry,
    allowed: AllowedRegions | undefined,
  ): boolean {
    if (allowed === undefined || allowed.isEmpty) return true;
    const { register, region } = this.#options;
    const node = register.running.find(({ nodeStart }) => nodeStart === owner);
    if (node === undefined) return true;
    return [manifest.submittedRegion, region].some((callerRegion) =>
      allowed.mayReceiveBody(node.failureDomain, callerRegion)
    );
  }
}

/**
 * Selects the nodes that should run a step.
 * @param running - The running nodes.
 * @param request - Regions in which the step may be processed, undefined for any, and the region of
 * its caller.
 * @example
 * ```ts
 * const candidates = selectOwnerCandidates(running, { allowed, callerRegion });
 * ```
 */
export function selectOwnerCandidates(
  running: ReadonlyArray<NodeRecord>,
  request: {
    readonly allowed: AllowedRegions | undefined;
    readonly callerRegion: string | undefined;
  },
): ReadonlyArray<NodeRecord> {
  if (request.allowed === undefined) return selectHighCapacityNodes(running);
  const serving = running.filter(({ isServing }) => isServing);
  const connected = selectBodyReceivers(
    serving.filter(({ isCutOff }) => !isCutOff),
    request,
  );
  return selectHighCapacityNodes(
    connected.length > 0 ? connected : selectBodyReceivers(serving, request),
  );
}
