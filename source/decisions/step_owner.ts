/**
 * Number of open samples that a node has capacity for, per core. One node processed 26 samples a
 * second with 0.17 cores (docs/design/platform.md); 300 open samples complete at about 40 a second.
 */
const SAMPLES_PER_CORE = 300;
/**
 * Load, as a multiple of a node's capacity, up to which the node keeps the steps of a model. Moving
 * a model to another node takes new connections and loses the cached texts.
 */
const MAXIMUM_LOAD_TO_STAY = 2;
/** Cost of the work in a node's failure domain, as a share of the cost of the node's own work. */
const DOMAIN_WEIGHT = 0.5;
/** Cost of the connections that a node without steps opens, in open samples that would stop. */
const CONNECTION_SAMPLES = 10;
/** Factor on the cost of the samples beyond a node's capacity. */
const OVERLOAD_WEIGHT = 10;

/** A node that can run steps. */
export interface OwnerCandidate {
  /** Identity of the node's process. */
  readonly nodeStart: string;
  readonly failureDomain: string;
  /** Processor capacity in cores of reference speed. */
  readonly processorShare: number;
}

/** A step that was submitted recently. */
export interface OwnedStep {
  readonly model: string;
  /** Number of the step among those of its trainer. */
  readonly step: number;
  /** Identity of the process that runs the step. */
  readonly owner: string;
  /** Number of samples; 0 once the step has ended. */
  readonly openSamples: number;
}

/** Input for choosing the owner of a step. */
export interface StepOwnerInput<Candidate extends OwnerCandidate> {
  readonly model: string;
  /** Number of samples in the new step. */
  readonly samples: number;
  /** The nodes that may run steps; of equal ones the first is chosen. */
  readonly candidates: ReadonlyArray<Candidate>;
  readonly steps: ReadonlyArray<OwnedStep>;
}

/**
 * Chooses the node that runs a new step.
 *
 * Load pattern: many nodes, of which some are lost, alone or a failure domain at once. The work of a
 * lost node stops until another node has taken it over, so the models' steps are spread over nodes
 * and failure domains; a node that runs no steps yet must open connections to the engines, so a step
 * that is small beside the work of others joins them. A model stays on the node that ran its previous
 * step, since that node has cached the texts that the new step may continue.
 * @returns The node; undefined when there is no candidate.
 * @example
 * ```ts
 * const owner = chooseStepOwner({ model, samples: 96, candidates, steps })?.nodeStart;
 * ```
 */
export function chooseStepOwner<Candidate extends OwnerCandidate>(
  input: StepOwnerInput<Candidate>,
): Candidate | undefined {
  const { model, samples, candidates, steps } = input;
  const byNode = new Map<string, number>();
  for (const { owner, openSamples } of steps) {
    byNode.set(owner, (byNode.get(owner) ?? 0) + openSamples);
  }
  const lastOwner = findLastOwner(steps, model);
  const lastNode = candidates.find(({ nodeStart }) => nodeStart === lastOwner);
  if (lastNode !== undefined) {
    const open = (byNode.get(lastNode.nodeStart) ?? 0) + samples;
    if (open <= MAXIMUM_LOAD_TO_STAY * toCapacity(lastNode)) return lastNode;
  }
  const byDomain = new Map<string, number>();
  for (const { nodeStart, failureDomain } of candidates) {
    const open = byNode.get(nodeStart) ?? 0;
    byDomain.set(failureDomain, (byDomain.get(failureDomain) ?? 0) + open);
  }
  const costs = candidates.map((candidate) => {
    const open = byNode.get(candidate.nodeStart) ?? 0;
    const inDomain = byDomain.get(candidate.failureDomain) ?? 0;
    const excess = Math.max(0, open + samples - toCapacity(candidate));
    return open + DOMAIN_WEIGHT * (inDomain - open) +
      (open === 0 ? CONNECTION_SAMPLES : 0) + OVERLOAD_WEIGHT * excess;
  });
  return candidates[costs.indexOf(Math.min(...costs))];
}

function toCapacity({ processorShare }: OwnerCandidate): number {
  return SAMPLES_PER_CORE * processorShare;
}

function findLastOwner(
  steps: ReadonlyArray<OwnedStep>,
  model: string,
): string | undefined {
  let last: OwnedStep | undefined;
  for (const each of steps) {
    if (each.model !== model) continue;
    if (each.step > (last?.step ?? -1)) last = each;
  }
  return last?.owner;
}
