import type { WaitingQueue } from "../waiting_queue.ts";
import type { WaitingRequest } from "../waiting_request.ts";

/** What an organisation received of a service. */
export interface ReceivedService {
  /** Through this node, in tokens or calls. */
  readonly here: number;
  /** Through all nodes, as far as told. */
  readonly everywhere: number;
}

/** What a policy decides from. */
export interface AdmissionState {
  readonly waiting: WaitingQueue;
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** Slots that no request of this node uses. */
  readonly freeSlots: number;
  /** Returns the slots that work on time of other classes has used lately beyond its present use. */
  readonly reservedFrom: (classOfWork: string) => number;
  /** Requests that run now and were past their target when they started. */
  readonly overdueRunning: number;
  /**
   * Returns whether an organisation received no more of the service than the mean over all nodes, and
   * runs less than its equal part of the service's slots here, and this node is not too far beyond its own.
   */
  readonly isEntitled: (organisation: string) => boolean;
  /** Returns what an organisation received of the service. */
  readonly received: (organisation: string) => ReceivedService;
}

/** One way to admit requests. */
export interface AdmissionPolicy {
  /** Chooses the waiting request that runs next; undefined when none may run now. */
  readonly choose: (state: AdmissionState) => WaitingRequest | undefined;
  /** To whom an equal part of a service's slots is always open: each node, or each organisation. */
  readonly equalPartsFor: "nodes" | "organisations";
  /** Whether requests are refused as soon as they can't end while they are useful; else only at their deadline. */
  readonly refusesLate: boolean;
}
