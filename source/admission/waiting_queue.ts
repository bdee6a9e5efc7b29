import type { WaitingRequest } from "./waiting_request.ts";

type RequestsInOrder = Map<number, WaitingRequest>;

/** The oldest waiting requests of one class of work, one for each organisation. */
export interface ClassHeads {
  readonly classOfWork: string;
  readonly deferrable: boolean;
  readonly heads: ReadonlyArray<WaitingRequest>;
}

/** The requests that wait for one service, in order of arrival by class and organisation. */
export class WaitingQueue {
  readonly #classes = new Map<string, Map<string, RequestsInOrder>>();
  readonly #byOrganisation = new Map<string, number>();
  #size = 0;

  /** Returns how many wait. */
  get size(): number {
    return this.#size;
  }

  /** Returns how many organisations have requests waiting. */
  get organisations(): number {
    return this.#byOrganisation.size;
  }

  /** Returns how many of an organisation wait. */
  sizeOf(organisation: string): number {
    return this.#byOrganisation.get(organisation) ?? 0;
  }

  /** Returns how many requests of the same class and organisation wait. */
  sizeAhead(request: WaitingRequest): number {
    const organisations = this.#classes.get(request.classOfWork);
    return organisations?.get(request.organisation)?.size ?? 0;
  }

  /** Adds a request behind those of its class and organisation. */
  add(request: WaitingRequest): void {
    const { classOfWork, organisation } = request;
    const organisations = this.#classes.get(classOfWork) ?? new Map();
    this.#classes.set(classOfWork, organisations);
    const requests = organisations.get(organisation) ?? new Map();
    organisations.set(organisation, requests);
    requests.set(request.sequence, request);
    this.#count(organisation, 1);
  }

  /** Takes a request out; false when it was not in the queue. */
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

  /** Returns all requests that wait. */
  requests(): ReadonlyArray<WaitingRequest> {
    const found: WaitingRequest[] = [];
    for (const organisations of this.#classes.values()) {
      for (const requests of organisations.values()) {
        found.push(...requests.values());
      }
    }
    return found;
  }

  /** Returns the newest request of the class and organisation that have most waiting. */
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
    if (size === 0) this.#byOrganisation.delete(organisation);
    else this.#byOrganisation.set(organisation, size);
    this.#size += change;
  }
}
