import type { ListedInstance } from "../../source/platform/instance_list_client.ts";
import type { Clock } from "../../source/utilities/clock.ts";

const EXPIRY_MILLISECONDS = 10_000;

/** Options of an instance list. */
export interface InstanceListOptions {
  readonly clock: Clock;
  /** Delay before a change is visible to clients of the platform. */
  readonly lagMilliseconds: number;
}

interface Entry {
  readonly instance: ListedInstance;
  readonly permanent: boolean;
  readonly refreshedAt: number;
}

interface Change {
  /** Monotonic time at which the change was made, in milliseconds. */
  readonly madeAt: number;
  readonly name: string;
  readonly entry: Entry | undefined;
}

/** A list of instances in which each change becomes visible after a delay. */
export class InstanceList {
  readonly #options: InstanceListOptions;
  readonly #current = new Map<string, Entry>();
  readonly #visible = new Map<string, Entry>();
  #pending: Change[] = [];

  /** @param options - Clock, and delay of changes in milliseconds. */
  constructor(options: InstanceListOptions) {
    this.#options = options;
  }

  /**
   * Adds or refreshes an instance; a non-permanent instance expires 10 s plus the delay after its
   * last refresh.
   */
  register(instance: ListedInstance, permanent: boolean): void {
    const refreshedAt = this.#options.clock.monotonic();
    this.#recordChange(instance.name, { instance, permanent, refreshedAt });
  }

  /** Marks an instance as leaving. */
  markLeaving(name: string): void {
    const entry = this.#current.get(name);
    if (entry === undefined) return;
    const instance = { ...entry.instance, leaving: true };
    this.#recordChange(name, { ...entry, instance });
  }

  /** Removes an instance. */
  remove(name: string): void {
    if (this.#current.has(name)) this.#recordChange(name, undefined);
  }

  /** Returns the instances with every change applied, including those that are not visible yet. */
  current(): ReadonlyArray<ListedInstance> {
    return this.#selectUnexpired(this.#current);
  }

  /** Returns the delayed list that clients of the platform see. */
  visible(): ReadonlyArray<ListedInstance> {
    const now = this.#options.clock.monotonic();
    const latestVisibleTime = now - this.#options.lagMilliseconds;
    const ready = this.#pending.filter((change) =>
      change.madeAt <= latestVisibleTime
    );
    this.#pending = this.#pending.filter((change) =>
      change.madeAt > latestVisibleTime
    );
    for (const change of ready) applyChange(this.#visible, change);
    return this.#selectUnexpired(this.#visible);
  }

  #recordChange(name: string, entry: Entry | undefined): void {
    const change = { madeAt: this.#options.clock.monotonic(), name, entry };
    applyChange(this.#current, change);
    this.#pending.push(change);
  }

  #selectUnexpired(
    entries: ReadonlyMap<string, Entry>,
  ): ReadonlyArray<ListedInstance> {
    const earliestUnexpiredRefresh = this.#options.clock.monotonic() -
      EXPIRY_MILLISECONDS -
      this.#options.lagMilliseconds;
    return [...entries.values()]
      .filter((entry) =>
        entry.permanent || entry.refreshedAt >= earliestUnexpiredRefresh
      )
      .map((entry) => entry.instance);
  }
}

function applyChange(entries: Map<string, Entry>, change: Change): void {
  if (change.entry === undefined) entries.delete(change.name);
  else entries.set(change.name, change.entry);
}
