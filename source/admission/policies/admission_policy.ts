import type { WaitingQueue } from "../waiting_queue.ts";
import type { WaitingRequest } from "../waiting_request.ts";

/** Tokens or calls of a service that an organisation received; older ones count less. */
export interface ReceivedService {
  /** Through this node. */
  readonly local: number;
  /** Through all nodes, according to the facts that they published. */
  readonly total: number;
}

/** State of a service at this node, from which a policy chooses. */
export interface AdmissionState {
  readonly waiting: WaitingQueue;
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** Slots of this node that no request uses. */
  readonly freeSlots: number;
  /** Returns how many more slots on-time requests of other classes used recently than they use now. */
  readonly reservedByOtherClasses: (classOfWork: string) => number;
  /** Number of running requests that were past their target when they started. */
  readonly overdueRunning: number;
  /**
   * Returns whether an organisation may start a request without a free slot. It may if it received
   * no more of the service over all nodes than the mean organisation and less than 90% of the
   * total, runs fewer requests through this node than its equal share of the service's slots, and
   * this node has not used up its extra slots.
   */
  readonly isEntitled: (organisation: string) => boolean;
  /** Returns how much of the service an organisation received. */
  readonly received: (organisation: string) => ReceivedService;
}

/** Admission policy. */
export interface AdmissionPolicy {
  /** Chooses the waiting request to start next; undefined when none may start now. */
  readonly choose: (state: AdmissionState) => WaitingRequest | undefined;
  /** Whether each node or each organisation is guaranteed an equal share of a service's slots. */
  readonly equalShareFor: "nodes" | "organisations";
  /**
   * Whether waiting requests are refused once their result would come too late to be useful; if
   * false, they are refused only once even the class's fastest run would end past their deadline.
   */
  readonly refusesLate: boolean;
}
