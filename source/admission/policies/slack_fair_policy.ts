import type { ClassHeads } from "../waiting_queue.ts";
import type { WaitingRequest } from "../waiting_request.ts";
import type { AdmissionState } from "./admission_policy.ts";

const MAXIMUM_OVERDUE_RUNNING = 1;

/**
 * Chooses by the least slack to the class's target across classes; inside a class it is the turn of
 * the organisation that received least through all nodes. An organisation that received no more than the
 * others needs no free slot of this node, up to its equal part of the service's slots. Deferrable
 * work and work past its target run in slots that work on time has not used lately, but for one overdue
 * request at a time, so that neither starves the other.
 * @param state - What waits.
 * @example
 * ```ts
 * const next = chooseSlackFair(state);
 * ```
 */
export function chooseSlackFair(
  state: AdmissionState,
): WaitingRequest | undefined {
  const classes = state.waiting.heads();
  const urgent = classes.filter((each) => !each.deferrable);
  if (state.freeSlots <= 0) return chooseEntitled(state, urgent);
  const overdue = chooseOverdue(state, classes);
  if (overdue !== undefined) return overdue;
  const next = chooseOnTime(state, urgent);
  if (next !== undefined) return next;
  return chooseLeftOver(state, urgent) ?? chooseLeftOver(state, classes);
}

function chooseEntitled(
  state: AdmissionState,
  urgent: ReadonlyArray<ClassHeads>,
): WaitingRequest | undefined {
  const entitled = urgent.map((each) => ({
    ...each,
    heads: each.heads.filter(({ organisation }) =>
      state.isEntitled(organisation)
    ),
  }));
  return chooseOnTime(state, entitled);
}

function chooseOnTime(
  state: AdmissionState,
  urgent: ReadonlyArray<ClassHeads>,
): WaitingRequest | undefined {
  const candidates = urgent.map((each) => leastServed(state, each));
  return leastSlack(
    candidates.filter((head) => head !== undefined && head.dueAt > state.now),
  );
}

function chooseLeftOver(
  state: AdmissionState,
  classes: ReadonlyArray<ClassHeads>,
): WaitingRequest | undefined {
  const open = classes.filter(({ classOfWork }) =>
    state.freeSlots > state.reservedFrom(classOfWork)
  );
  return leastSlack(open.map((each) => leastServed(state, each)));
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
    const { everywhere } = state.received(head.organisation);
    const isLess = everywhere < leastReceived ||
      (everywhere === leastReceived && least !== undefined &&
        head.sequence < least.sequence);
    if (!isLess) continue;
    least = head;
    leastReceived = everywhere;
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
