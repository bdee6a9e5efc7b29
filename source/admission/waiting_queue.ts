import type { WaitingRequest } from "./waiting_request.ts";

/** Waiting requests by sequence number, in order of arrival. */
type RequestsInOrder = Map<number, WaitingRequest>;

/** Oldest waiting request of each organisation in one class of work. */
export interface ClassHeads {
  readonly classOfWork: string;
  readonly deferrable: boolean;
  readonly heads: ReadonlyArray<WaitingRequest>;
}

/** Waiting requests of one service, in order of arrival for each class and organisation. */
export class WaitingQueue {
  /** Waiting requests, by class of work and then by organisation. */
  readonly #classes = new Map<string, Map<string, RequestsInOrder>>();
  /** Numbers of waiting requests, by organisation. */
  readonly #sizes = new Map<string, number>();
  #size = 0;

  /** Returns the number of waiting requests. */
  get size(): number {
    return this.#size;
  }

  /** Returns the number of organisations with waiting requests. */
  get organisations(): number {
    return this.#sizes.size;
  }

  /** Returns the number of waiting requests of an organisation. */
  sizeOf(organisation: string): number {
    return this.#sizes.get(organisation) ?? 0;
  }

  /** Returns the number of waiting requests of a request's class and organisation. */
  sizeAhead(request: WaitingRequest): number {
    const organisations = this.#classes.get(request.classOfWork);
    return organisations?.get(request.organisation)?.size ?? 0;
  }

  /** Appends a request to those of its class and organisation. */
  add(request: WaitingRequest): void {
    const { classOfWork, organisation } = request;
    const organisations = this.#classes.get(classOfWork) ?? new Map();
    this.#classes.set(classOfWork, organisations);
    const requests = organisations.get(organisation) ?? new Map();
    organisations.set(organisation, requests);
    requests.set(request.sequence, request);
    this.#count(organisation, 1);
  }

  /** Removes a request; returns false when it was not in the queue. */
  remove(request: WaitingRequest): boolean {
    const { classOfWork, organisation } = request;
    const organisations = this.#classes.get(classOfWork);
    const requests = organisations?.get(organisation);
    if (organisations === undefined || requests === undefined) return false;
    if (!requests.delete(request.sequence)) return false;
    if (requests.size === 0) organisations.delete(organisation);
    if (organisations.size === 0) this.#classes.delete(classOfWork);
    this.#count(organisation, -1);
    return true;
  }

  /** Returns the oldest request of each class and organisation. */
  heads(): ReadonlyArray<ClassHeads> {
    const found: ClassHeads[] = [];
    for (const [classOfWork, organisations] of this.#classes) {
      const heads: WaitingRequest[] = [];
      for (const requests of organisations.values()) {
        const [head] = requests.values();
        if (head !== undefined) heads.push(head);
      }
      const deferrable = heads[0]?.deferrable ?? false;
      found.push({ classOfWork, deferrable, heads });
    }
    return found;
  }

  /** Returns all waiting requests. */
  requests(): ReadonlyArray<WaitingRequest> {
    const found: WaitingRequest[] = [];
    for (const organisations of this.#classes.values()) {
      for (const requests of organisations.values()) {
        found.push(...requests.values());
      }
    }
    return found;
  }

  /** Returns the newest request of the class and organisation with the most waiting requests. */
  findNewestOfLongest(): WaitingRequest | undefined {
    let longest: RequestsInOrder = new Map();
    for (const organisations of this.#classes.values()) {
      for (const requests of organisations.values()) {
        if (requests.size > longest.size) longest = requests;
      }
    }
    return [...longest.values()].at(-1);
  }

  #count(organisation: string, change: number): void {
    const size = this.sizeOf(organisation) + change;
    if (size === 0) this.#sizes.delete(organisation);
    else this.#sizes.set(organisation, size);
    this.#size += change;
  }
}
