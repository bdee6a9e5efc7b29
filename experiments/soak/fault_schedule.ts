import {
  createRandomSource,
  type RandomSource,
} from "../../source/utilities/random_source.ts";

/** Kinds of fault that a soak test injects. */
export type SoakFaultKind =
  | "nodeKill"
  | "nodePause"
  | "nodeDrain"
  | "platformDown"
  | "platformSlow"
  | "platformLoseAnswers"
  | "platformFreezeConnections"
  | "serverKill"
  | "serverPause"
  | "serverFreezeConnections"
  | "serverErrors"
  | "serverLeave"
  | "keyWithdrawal"
  | "configurationRace";

/** Fault and the time at which it starts. */
export interface ScheduledFault {
  readonly kind: SoakFaultKind;
  /** Milliseconds from the start of the run. */
  readonly at: number;
  /** Duration in milliseconds. */
  readonly lasts: number;
  /** Index of the affected node or backend server; 0 for a fault that affects neither. */
  readonly target: number;
}

/** Seed, duration and size of the deployment of a schedule. */
export interface ScheduleOptions {
  readonly seed: number;
  readonly durationMilliseconds: number;
  readonly nodes: number;
  readonly servers: number;
}

interface FaultRange {
  readonly shortest: number;
  readonly longest: number;
  readonly targets: "nodes" | "servers" | "none";
}

const SKIPPED_NUMBERS = 64;
const FIRST_FAULT_MILLISECONDS = 2000;
const QUIET_END_MILLISECONDS = 3000;
const SHORTEST_GAP_MILLISECONDS = 500;
const LONGEST_GAP_MILLISECONDS = 3500;
const CLOSE_GAP_MILLISECONDS = 100;
const CLOSE_GAP_SHARE = 0.3;

const RANGES: Readonly<Record<SoakFaultKind, FaultRange>> = {
  nodeKill: { shortest: 500, longest: 6000, targets: "nodes" },
  nodePause: { shortest: 500, longest: 9000, targets: "nodes" },
  nodeDrain: { shortest: 500, longest: 2000, targets: "nodes" },
  platformDown: { shortest: 1000, longest: 12_000, targets: "none" },
  platformSlow: { shortest: 1000, longest: 8000, targets: "none" },
  platformLoseAnswers: { shortest: 500, longest: 4000, targets: "none" },
  platformFreezeConnections: { shortest: 0, longest: 0, targets: "none" },
  serverKill: { shortest: 500, longest: 6000, targets: "servers" },
  serverPause: { shortest: 500, longest: 6000, targets: "servers" },
  serverFreezeConnections: { shortest: 0, longest: 0, targets: "servers" },
  serverErrors: { shortest: 500, longest: 4000, targets: "servers" },
  serverLeave: { shortest: 4000, longest: 6000, targets: "servers" },
  keyWithdrawal: { shortest: 0, longest: 0, targets: "none" },
  configurationRace: { shortest: 0, longest: 0, targets: "none" },
};

const KINDS = Object.keys(RANGES) as ReadonlyArray<SoakFaultKind>;

/**
 * Creates the faults of a run; the same options give the same schedule.
 * @param options - Seed, duration and sizes.
 * @returns The faults in the order of their times.
 * @example
 * ```ts
 * const faults = createFaultSchedule({
 *   seed: 7,
 *   durationMilliseconds: 60_000,
 *   nodes: 5,
 *   servers: 9,
 * });
 * ```
 */
export function createFaultSchedule(
  options: ScheduleOptions,
): ReadonlyArray<ScheduledFault> {
  const random = createRandomSource(options.seed);
  // Skips the first random numbers, which are similar for adjacent seeds.
  for (let number = 0; number < SKIPPED_NUMBERS; number += 1) random.next();
  const faults: ScheduledFault[] = [];
  const end = options.durationMilliseconds - QUIET_END_MILLISECONDS;
  let at = FIRST_FAULT_MILLISECONDS;
  while (at < end) {
    faults.push(createFault(random, options, at));
    at += pickGap(random);
  }
  return faults;
}

function createFault(
  random: RandomSource,
  options: ScheduleOptions,
  at: number,
): ScheduledFault {
  const kind = KINDS[random.nextBelow(KINDS.length)] ?? "nodeKill";
  const { shortest, longest, targets } = RANGES[kind];
  const lasts = shortest + random.nextBelow(longest - shortest + 1);
  const count = targets === "none" ? 1 : options[targets];
  return { kind, at, lasts, target: random.nextBelow(count) };
}

function pickGap(random: RandomSource): number {
  if (random.next() < CLOSE_GAP_SHARE) {
    return 1 + random.nextBelow(CLOSE_GAP_MILLISECONDS);
  }
  const range = LONGEST_GAP_MILLISECONDS - SHORTEST_GAP_MILLISECONDS;
  return SHORTEST_GAP_MILLISECONDS + random.nextBelow(range);
}
