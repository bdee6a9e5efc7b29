import type { NodeRecord } from "../installation/node_record.ts";
import { selectStrongNodes } from "../installation/select_strong_nodes.ts";
import type { Rendezvous } from "../membership/rendezvous.ts";
import type { StepEntry } from "./step_book.ts";

/**
 * Open samples that a node takes for each core it has. One node took 26 samples a second with 0.17
 * cores (docs/design/platform.md); 300 open ones end at about 40 a second.
 */
const SAMPLES_OF_A_CORE = 300;
/** A model's steps stay at their node up to so many times that: a move costs connections and texts. */
const STAY_FACTOR = 2;
/** Steps beyond the longest life of a sample, 40 s, with a reserve for clocks that differ. */
const LONGEST_STEP_MILLISECONDS = 60_000;

/** What the choice of a step's owner is made from. */
export interface StepOwnerQuestion {
  readonly model: string;
  /** Samples of the new step. */
  readonly samples: number;
  /** The nodes that run. */
  readonly running: ReadonlyArray<NodeRecord>;
  /** The steps that are known. */
  readonly steps: Iterable<StepEntry>;
  /** Unix milliseconds. */
  readonly now: number;
  readonly rendezvous: Rendezvous;
}

/**
 * Chooses the process that is to run a new step: as few nodes as can run all steps, since each
 * knows all of its engines' use and has open connections, and the one that ran the model's step
 * before, since it has the texts that may come back.
 * @returns Identity of the process; undefined when no node serves.
 */
export function chooseStepOwner(
  question: StepOwnerQuestion,
): string | undefined {
  const { model, samples, running, now, rendezvous } = question;
  const nodes = selectStrongNodes(running);
  const open = [...question.steps].filter(({ manifest }) =>
    now - manifest.submittedAt < LONGEST_STEP_MILLISECONDS
  );
  const taken = countSamples(open);
  const use = ({ nodeStart, processorShare }: NodeRecord): number =>
    ((taken.get(nodeStart) ?? 0) + samples) /
    (SAMPLES_OF_A_CORE * processorShare);
  const before = findLastOwner(open, model);
  const last = nodes.find(({ nodeStart }) => nodeStart === before);
  if (last !== undefined && use(last) <= STAY_FACTOR) return last.nodeStart;
  const ordered = rendezvous.choose("steps", nodes, {
    count: nodes.length,
    name: ({ node }) => node,
  });
  const roomy = ordered.find((node) => use(node) <= 1);
  const chosen = roomy ??
    [...ordered].sort((left, right) => use(left) - use(right))[0];
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
