import type { ClassHeads } from "../waiting_queue.ts";
import type { WaitingRequest } from "../waiting_request.ts";
import type { AdmissionState } from "./admission_policy.ts";

const MAXIMUM_OVERDUE_RUNNING = 1;

/**
 * Chooses the class with the least slack until its target and, within the class, the organisation that
 * received the least service through all nodes. An entitled organisation, which received no more than
 * the mean, starts requests without a free slot of this node, up to its equal share of the service's
 * slots. Deferrable and overdue requests use slots that on-time requests did not use recently; in
 * addition, one overdue request may run at any time, so that neither kind starves the other.
 * @param state - State of the service at this node.
 * @example
 * ```ts
 * const next = chooseSlackFair(state);
 * ```
 */
export function chooseSlackFair(
  state: AdmissionState,
): WaitingRequest | undefined {
  const classes = state.waiting.heads();
  const nonDeferrable = classes.filter((each) => !each.deferrable);
  if (state.freeSlots <= 0) return chooseEntitled(state, nonDeferrable);
  const overdue = chooseOverdue(state, classes);
  if (overdue !== undefined) return overdue;
  const next = chooseOnTime(state, nonDeferrable);
  if (next !== undefined) return next;
  return chooseForUnreservedSlot(state, nonDeferrable) ??
    chooseForUnreservedSlot(state, classes);
}

function chooseEntitled(
  state: AdmissionState,
  nonDeferrable: ReadonlyArray<ClassHeads>,
): WaitingRequest | undefined {
  const entitled = nonDeferrable.map((each) => ({
    ...each,
    heads: each.heads.filter(({ organisation }) =>
      state.isEntitled(organisation)
    ),
  }));
  return chooseOnTime(state, entitled);
}

function chooseOnTime(
  state: AdmissionState,
  nonDeferrable: ReadonlyArray<ClassHeads>,
): WaitingRequest | undefined {
  const candidates = nonDeferrable.map((each) => leastServed(state, each));
  return leastSlack(
    candidates.filter((head) => head !== undefined && head.dueAt > state.now),
  );
}

function chooseForUnreservedSlot(
  state: AdmissionState,
  classes: ReadonlyArray<ClassHeads>,
): WaitingRequest | undefined {
  const eligible = classes.filter(({ classOfWork }) =>
    state.freeSlots > state.reservedByOtherClasses(classOfWork)
  );
  return leastSlack(eligible.map((each) => leastServed(state, each)));
}

function chooseOverdue(
  state: AdmissionState,
  classes: ReadonlyArray<ClassHeads>,
): WaitingRequest | undefined {
  if (state.overdueRunning >= MAXIMUM_OVERDUE_RUNNING) return undefined;
  const overdue = classes
    .map((each) => leastServed(state, each))
    .filter((head) => head !== undefined && head.dueAt <= state.now);
  return leastSlack(overdue);
}

function leastServed(
  state: AdmissionState,
  { heads }: ClassHeads,
): WaitingRequest | undefined {
  let least: WaitingRequest | undefined;
  let leastReceived = Infinity;
  for (const head of heads) {
    const { total } = state.received(head.organisation);
    const isLess = total < leastReceived ||
      (total === leastReceived && least !== undefined &&
        head.sequence < least.sequence);
    if (!isLess) continue;
    least = head;
    leastReceived = total;
  }
  return least;
}

function leastSlack(
  candidates: ReadonlyArray<WaitingRequest | undefined>,
): WaitingRequest | undefined {
  let next: WaitingRequest | undefined;
  for (const candidate of candidates) {
    if (candidate === undefined) continue;
    if (next === undefined || candidate.dueAt < next.dueAt) next = candidate;
  }
  return next;
}
