import type { ListedInstance } from "../../source/platform/instance_list_client.ts";
import type { Clock } from "../../source/utilities/clock.ts";

const EXPIRY_MILLISECONDS = 10_000;

/** How the list behaves. */
export interface InstanceListOptions {
  readonly clock: Clock;
  /** How far the list is behind. */
  readonly lagMilliseconds: number;
}

interface Entry {
  readonly instance: ListedInstance;
  readonly permanent: boolean;
  readonly refreshedAt: number;
}

interface Change {
  readonly at: number;
  readonly name: string;
  readonly entry: Entry | undefined;
}

/** List of instances that shows each change only after a lag. */
export class InstanceList {
  readonly #options: InstanceListOptions;
  readonly #current = new Map<string, Entry>();
  readonly #shown = new Map<string, Entry>();
  #pending: Change[] = [];

  /** @param options - Clock and lag. */
  constructor(options: InstanceListOptions) {
    this.#options = options;
  }

  /** Adds or refreshes an instance; one that is not permanent expires. */
  register(instance: ListedInstance, permanent: boolean): void {
    const refreshedAt = this.#options.clock.monotonic();
    this.#change(instance.name, { instance, permanent, refreshedAt });
  }

  /** Marks an instance leaving. */
  markLeaving(name: string): void {
    const entry = this.#current.get(name);
    if (entry === undefined) return;
    const instance = { ...entry.instance, leaving: true };
    this.#change(name, { ...entry, instance });
  }

  /** Removes an instance. */
  remove(name: string): void {
    if (this.#current.has(name)) this.#change(name, undefined);
  }

  /** Returns the instances as they truly are. */
  current(): ReadonlyArray<ListedInstance> {
    return this.#live(this.#current);
  }

  /** Returns the list as callers see it, behind by the lag. */
  shown(): ReadonlyArray<ListedInstance> {
    const now = this.#options.clock.monotonic();
    const due = now - this.#options.lagMilliseconds;
    const ready = this.#pending.filter((change) => change.at <= due);
    this.#pending = this.#pending.filter((change) => change.at > due);
    for (const change of ready) apply(this.#shown, change);
    return this.#live(this.#shown);
  }

  #change(name: string, entry: Entry | undefined): void {
    const change = { at: this.#options.clock.monotonic(), name, entry };
    apply(this.#current, change);
    this.#pending.push(change);
  }

  #live(entries: ReadonlyMap<string, Entry>): ReadonlyArray<ListedInstance> {
    const oldest = this.#options.clock.monotonic() - EXPIRY_MILLISECONDS -
      this.#options.lagMilliseconds;
    return [...entries.values()]
      .filter((entry) => entry.permanent || entry.refreshedAt >= oldest)
      .map((entry) => entry.instance);
  }
}

function apply(entries: Map<string, Entry>, change: Change): void {
  if (change.entry === undefined) entries.delete(change.name);
  else entries.set(change.name, change.entry);
}
