/**
 * Share by which each concurrent run slows an engine's other runs down. Engines produce the tokens of
 * all runs in one batch, so the effect is small.
 */
const SLOWDOWN_PER_RUN = 0.0015;
/** Prompt tokens that an engine reads in a millisecond. */
export const PROMPT_TOKENS_PER_MILLISECOND = 330;
/**
 * Cost of a new connection in milliseconds: the handshake, and a slot of the engine that it may hold
 * for a moment. Engines accept a limited number of connections from all nodes together.
 */
export const CONNECTION_MILLISECONDS = 8;
/** Cost of an engine whose memory is full, in milliseconds; other engines cost their share of it. */
const MEMORY_MILLISECONDS = 40;
/** Share of an engine's memory from which on running samples may be preempted as they grow. */
const SAFE_MEMORY_SHARE = 0.85;
/** Cost of a preempted sample in milliseconds: it waits for memory and is read in again. */
const PREEMPTION_MILLISECONDS = 1500;
/**
 * Cost in milliseconds of an engine that has not read the prompt, beside the reading itself: the
 * prompt takes memory that the engine lacks for others.
 */
const PROMPT_MILLISECONDS = 300;
/**
 * The same cost for each run beside the sample, as a share of the slots. Reading a prompt delays these
 * runs, and the fuller the engines are, the more of them a group is spread over.
 */
const PROMPT_MILLISECONDS_PER_LOAD = 4500;
/** Share of this cost that the engines preferred for the prompt do not have. */
const PROMPT_ORDER_SHARE = 0.7;
/**
 * Share of its slots below which an engine is preferred for a prompt that it has not read, so that it
 * has room for further samples of the group.
 */
const LOAD_BOUND_SHARE = 0.9;
/** Cost in milliseconds by which nodes choose differently among engines that are alike. */
const TIE_MILLISECONDS = 4;
/**
 * Factor of these costs for slots that other nodes may choose at the same moment. Spreading the nodes
 * over the engines is worth a slower run then.
 */
const SPREAD_FACTOR = 400;
/** Cost in milliseconds that is added to an engine at which the sample has just failed. */
const AVOIDANCE_MILLISECONDS = 1e6;
/** Reduction of the cost, in milliseconds, for each version by which an engine's weights are newer. */
const MILLISECONDS_PER_VERSION = 0.4;
const MAXIMUM_VERSION_LEAD = 50;

/** What is known of an engine that can run a sample now. */
export interface EngineCandidate {
  readonly identifier: string;
  /** Number of runs of all nodes, as far as this node knows. */
  readonly running: number;
  /** Expected time for one event in milliseconds; undefined if it was never measured. */
  readonly eventMilliseconds: number | undefined;
  /** Whether the engine has probably kept the shared part of the sample's prompt. */
  readonly hasPrompt: boolean;
  /** Share of the engine's memory that its running samples are expected to need when they end. */
  readonly memoryShare: number;
  /** Whether a connection to the engine is open and idle. */
  readonly isConnected: boolean;
  /** Number of versions by which the engine's weights are newer than the oldest allowed ones. */
  readonly versionLead: number;
  /** Number of slots; absent if prompts are not to be kept together. */
  readonly slots?: number;
  /** Number from 0 up to but not including 1 by which all nodes order the engines of a prompt. */
  readonly promptScore?: number;
  /**
   * Number that differs between nodes for the same engine, usually from 0 up to but not including 1.
   */
  readonly tieBreak?: number;
}

/** The sample that needs an engine. */
export interface PlacedSample {
  /** Expected number of events that are left. */
  readonly expectedEvents: number;
  /** Number of tokens in the shared part of the prompt. */
  readonly promptTokens: number;
  /** Share of an engine's memory that the sample is expected to need when it ends. */
  readonly memoryShare: number;
  /** Time for one event at an engine without a measurement, in milliseconds. */
  readonly usualEventMilliseconds: number;
  /** Identifier of an engine that is used only if there is no other. */
  readonly avoidedEngine: string | undefined;
}

/**
 * Selects the engine at which a sample costs the least time, its own and that of the runs beside it.
 *
 * Load pattern: engines are uneven; some are slow, fuller than others, not connected or have read the
 * prompt of the sample's group already. Long texts start first and grow until the memory of an engine
 * with many of them is full, which then stops the newest, so the expected tokens are spread. Reading a prompt again delays all runs of the engine, so the samples of a
 * group stay together until another engine is emptier by more than that is worth.
 * @param candidates - Engines that can run the sample now.
 * @param sample - The sample.
 * @returns The engine; undefined when there are no candidates.
 * @example
 * ```ts
 * const engine = chooseEngine(candidates, sample);
 * ```
 */
export function chooseEngine<Candidate extends EngineCandidate>(
  candidates: ReadonlyArray<Candidate>,
  sample: PlacedSample,
): Candidate | undefined {
  let best: Candidate | undefined;
  let lowest = Infinity;
  const loadShare = toLoadShare(candidates);
  for (const candidate of candidates) {
    const cost = estimateCost(candidate, sample) +
      estimatePromptCost(candidate, { sample, loadShare });
    if (cost < lowest) [best, lowest] = [candidate, cost];
  }
  return best;
}

/**
 * Returns a candidate for a choice that other nodes may make alike at the same moment.
 * @param candidate - The engine.
 * @example
 * ```ts
 * const engine = chooseEngine(lent.map(spread), sample);
 * ```
 */
export function spread<Candidate extends EngineCandidate>(
  candidate: Candidate,
): Candidate {
  return {
    ...candidate,
    tieBreak: SPREAD_FACTOR * (candidate.tieBreak ?? 0),
  };
}

// Returns the share of the slots that are in use at the engines.
function toLoadShare(candidates: ReadonlyArray<EngineCandidate>): number {
  const slots = candidates.reduce((sum, { slots = 0 }) => sum + slots, 0);
  const running = candidates.reduce((sum, each) => sum + each.running, 0);
  return slots === 0 ? 0 : Math.min(1, running / slots);
}

// Keeps the samples of a prompt at the engines that every node prefers for it, below a bound on their
// load.
function estimatePromptCost(
  candidate: EngineCandidate,
  { sample, loadShare }: {
    readonly sample: PlacedSample;
    readonly loadShare: number;
  },
): number {
  const { promptScore, running, slots, hasPrompt } = candidate;
  if (promptScore === undefined || slots === undefined || hasPrompt) return 0;
  if (sample.promptTokens === 0) return 0;
  const cost = PROMPT_MILLISECONDS + PROMPT_MILLISECONDS_PER_LOAD * loadShare;
  return running < LOAD_BOUND_SHARE * slots - 1
    ? cost * (1 - PROMPT_ORDER_SHARE * promptScore)
    : cost;
}

function estimateCost(
  candidate: EngineCandidate,
  sample: PlacedSample,
): number {
  const { running, hasPrompt, isConnected, versionLead } = candidate;
  const { tieBreak = 0 } = candidate;
  const eventMilliseconds = candidate.eventMilliseconds ??
    sample.usualEventMilliseconds;
  const runMilliseconds = sample.expectedEvents * eventMilliseconds;
  const readMilliseconds = hasPrompt
    ? 0
    : sample.promptTokens / PROMPT_TOKENS_PER_MILLISECOND;
  const memoryShare = candidate.memoryShare + sample.memoryShare;
  const memoryMilliseconds = MEMORY_MILLISECONDS * memoryShare +
    PREEMPTION_MILLISECONDS * Math.max(0, memoryShare - SAFE_MEMORY_SHARE);
  const connectionMilliseconds = isConnected ? 0 : CONNECTION_MILLISECONDS;
  // The sample and each run beside it slow each other down.
  const slowdown = 2 * SLOWDOWN_PER_RUN * running;
  const isAvoided = candidate.identifier === sample.avoidedEngine;
  return runMilliseconds * (1 + slowdown) + readMilliseconds * (1 + running) +
    connectionMilliseconds + memoryMilliseconds +
    TIE_MILLISECONDS * tieBreak +
    (isAvoided ? AVOIDANCE_MILLISECONDS : 0) -
    MILLISECONDS_PER_VERSION * Math.min(MAXIMUM_VERSION_LEAD, versionLead);
}
