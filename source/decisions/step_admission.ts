/** A step that was accepted and has not ended. */
export interface AcceptedStep {
  /** Time of its submission, in milliseconds on any clock that is the same for all steps. */
  readonly submittedAt: number;
  readonly samples: number;
}

/** Input for deciding on a step. */
export interface StepAdmissionInput {
  /** Current time on the clock of the submissions. */
  readonly now: number;
  /** Steps that use the same engines, the new one not included. */
  readonly open: ReadonlyArray<AcceptedStep>;
  /** Number of samples in the new step. */
  readonly samples: number;
  /** Number of samples that the engines run concurrently. */
  readonly slots: number;
  /**
   * Delay after which a trainer may return while evacuations leave the step no engine; undefined if
   * they don't.
   */
  readonly evacuationRetryMilliseconds?: number | undefined;
  /** Usual time that a sample uses a slot, in milliseconds. */
  readonly sampleMilliseconds: number;
  /** Time from its submission after which a sample is given up, in milliseconds. */
  readonly lifetimeMilliseconds: number;
  /** Latest time at which a trainer that was rejected was told to return. */
  readonly lastReturnAt: number;
}

/** Whether a step is accepted. */
export type StepDecision =
  | { readonly kind: "accept" }
  /** The engines can't run the step's samples within their lifetime, or are all evacuated. */
  | { readonly kind: "reject"; readonly retryAfterMilliseconds: number };

/**
 * Decides whether a new step is accepted.
 *
 * Load pattern: trainers submit steps faster than the engines run them, for longer than the lifetime
 * of a sample. Steps that are accepted then only take slots from others until they are given up. The
 * backlog is that of engines that always used all their slots since the oldest open step, so it is
 * at most what is really open and a step that fits is not refused. Accepted steps are kept. Rejected
 * trainers are told to return one after the other, at the pace at which steps find room. Steps whose
 * engines are all evacuated are rejected, as nobody knows when their samples could start.
 * @example
 * ```ts
 * const decision = decideStep({ ...input, samples: 96, slots: 162 });
 * ```
 */
export function decideStep(input: StepAdmissionInput): StepDecision {
  const { now, samples, slots, sampleMilliseconds, lifetimeMilliseconds } =
    input;
  const { evacuationRetryMilliseconds } = input;
  if (evacuationRetryMilliseconds !== undefined) {
    return {
      kind: "reject",
      retryAfterMilliseconds: evacuationRetryMilliseconds,
    };
  }
  // Without engines there is no measure; they may be about to return.
  if (slots === 0) return { kind: "accept" };
  const needed = samples * sampleMilliseconds / slots;
  const backlog = estimateBacklog(input.open, {
    now,
    slots,
    sampleMilliseconds,
  });
  const excess = backlog + needed - lifetimeMilliseconds;
  // A step that would not even fit alone is not helped by waiting.
  if (excess <= 0 || backlog === 0) return { kind: "accept" };
  const afterOthers = input.lastReturnAt + needed - now;
  return {
    kind: "reject",
    retryAfterMilliseconds: Math.ceil(Math.max(excess, afterOthers)),
  };
}

// Returns the time that the engines need for the open samples, in milliseconds.
function estimateBacklog(
  open: ReadonlyArray<AcceptedStep>,
  { now, slots, sampleMilliseconds }: {
    readonly now: number;
    readonly slots: number;
    readonly sampleMilliseconds: number;
  },
): number {
  const ordered = [...open].sort((left, right) =>
    left.submittedAt - right.submittedAt
  );
  let backlog = 0;
  let at = ordered[0]?.submittedAt ?? now;
  for (const { submittedAt, samples } of ordered) {
    backlog = Math.max(0, backlog - (submittedAt - at));
    backlog += samples * sampleMilliseconds / slots;
    at = submittedAt;
  }
  return Math.max(0, backlog - Math.max(0, now - at));
}
