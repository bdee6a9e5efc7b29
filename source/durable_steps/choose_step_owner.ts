import type { NodeRecord } from "../installation/node_record.ts";
import { selectHighCapacityNodes } from "../installation/select_high_capacity_nodes.ts";
import type { Rendezvous } from "../membership/rendezvous.ts";
import type { StepEntry } from "./step_registry.ts";

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
/**
 * Time after a step's submission for which its samples count as open: the 40 s lifetime of a sample
 * and a margin for clock differences.
 */
const MAXIMUM_OPEN_STEP_AGE_MILLISECONDS = 60_000;

/** Input for choosing the owner of a step. */
export interface StepOwnerInput {
  readonly model: string;
  /** Number of samples in the new step. */
  readonly samples: number;
  /** The running nodes. */
  readonly running: ReadonlyArray<NodeRecord>;
  /** The steps that this node knows of. */
  readonly steps: Iterable<StepEntry>;
  /** Current time in Unix milliseconds. */
  readonly now: number;
  readonly rendezvous: Rendezvous;
}

/**
 * Chooses the process that runs a new step.
 *
 * Steps are placed on as few nodes as can run them, since a node that runs many steps knows the
 * whole use of its engines and has open connections to them. A model stays on the node that ran its
 * previous step, since that node has cached the texts that the new step may continue.
 * @returns Identity of the process; undefined when no node is serving.
 */
export function chooseStepOwner(
  input: StepOwnerInput,
): string | undefined {
  const { model, samples, running, now, rendezvous } = input;
  const nodes = selectHighCapacityNodes(running);
  const open = [...input.steps].filter(({ manifest }) =>
    now - manifest.submittedAt < MAXIMUM_OPEN_STEP_AGE_MILLISECONDS
  );
  const openSamples = countSamples(open);
  const getLoad = ({ nodeStart, processorShare }: NodeRecord): number =>
    ((openSamples.get(nodeStart) ?? 0) + samples) /
    (SAMPLES_PER_CORE * processorShare);
  const lastOwner = findLastOwner(open, model);
  const lastNode = nodes.find(({ nodeStart }) => nodeStart === lastOwner);
  if (lastNode !== undefined && getLoad(lastNode) <= MAXIMUM_LOAD_TO_STAY) {
    return lastNode.nodeStart;
  }
  const ordered = rendezvous.choose("steps", nodes, {
    count: nodes.length,
    name: ({ node }) => node,
  });
  const available = ordered.find((node) => getLoad(node) <= 1);
  const chosen = available ??
    [...ordered].sort((left, right) => getLoad(left) - getLoad(right))[0];
  return chosen?.nodeStart;
}

function countSamples(
  steps: ReadonlyArray<StepEntry>,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { manifest, owner, isEnded } of steps) {
    if (isEnded) continue;
    counts.set(owner, (counts.get(owner) ?? 0) + Math.max(0, manifest.total));
  }
  return counts;
}

function findLastOwner(
  steps: ReadonlyArray<StepEntry>,
  model: string,
): string | undefined {
  let last: StepEntry | undefined;
  for (const entry of steps) {
    if (entry.manifest.model !== model) continue;
    const isLater = entry.manifest.step > (last?.manifest.step ?? -1);
    if (isLater) last = entry;
  }
  return last?.owner;
}
