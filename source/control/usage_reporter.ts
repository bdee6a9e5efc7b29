import type { ReplicatedFacts } from "../membership/replicated_facts.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { HeldLease, LeaseElector } from "./lease_elector.ts";
import { planFrozenWindows } from "./plan_frozen_windows.ts";
import { findOldestRetained, UsageEntrySet } from "./usage_entry_set.ts";
import { UsageSnapshots } from "./usage_snapshots.ts";
import {
  type LocalUsageCounters,
  readPublishedUsage,
} from "./local_usage_counters.ts";
import { findWindowStart, isWindowDue } from "./usage_window_clock.ts";
import {
  type ListedWindow,
  UsageWindowStore,
  type WindowList,
} from "./usage_window_store.ts";

const ITERATIONS_PER_WINDOW = 8;
const MINIMUM_ITERATION_MILLISECONDS = 500;
const MAXIMUM_ITERATION_MILLISECONDS = 10_000;
const ITERATIONS_PER_SNAPSHOT = 2;
const MAXIMUM_CONCURRENT_REPORTS = 8;
const RETAINED_WINDOWS = 24;

/** Options of a usage reporter. */
export interface UsageReporterOptions {
  readonly context: NodeContext;
  readonly replicatedFacts: ReplicatedFacts;
  readonly counters: LocalUsageCounters;
  /** The lease "usage"; the caller runs it. */
  readonly lease: LeaseElector;
}

/**
 * Reports each organisation's usage of each window to the platform while this node holds the lease.
 *
 * Before the first send, the reporter writes the window's figures to the table if they are absent, in
 * a transaction that checks the lease's row. Every send uses the row read from the table, so that
 * all reports of a window are identical. Usage that arrives later is reported as an adjustment in a
 * later window.
 * @example
 * ```ts
 * const reporter = new UsageReporter({ context, replicatedFacts, counters, lease });
 * await reporter.run();
 * ```
 */
export class UsageReporter {
  readonly #context: NodeContext;
  readonly #replicatedFacts: ReplicatedFacts;
  readonly #counters: LocalUsageCounters;
  readonly #lease: LeaseElector;
  readonly #snapshots: UsageSnapshots;
  readonly #windows: UsageWindowStore;
  #usage = new UsageEntrySet();
  #loadedFencingNumber = 0;
  #includedKeys: ReadonlyArray<string> = [];
  #iterations = 0;

  /** @param options - The lease and the sources of usage. */
  constructor(options: UsageReporterOptions) {
    this.#context = options.context;
    this.#replicatedFacts = options.replicatedFacts;
    this.#counters = options.counters;
    this.#lease = options.lease;
    this.#snapshots = new UsageSnapshots(options.context);
    this.#windows = new UsageWindowStore(options.context);
  }

  /** Reports due windows until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping } = this.#context;
    while (!stopping.aborted) {
      await clock.sleep(this.#iterationMilliseconds, stopping);
      if (this.#lease.getHeldLease() !== undefined) await this.#runIteration();
    }
  }

  get #iterationMilliseconds(): number {
    const { usageWindowMilliseconds } = this.#context.settings;
    const interval = usageWindowMilliseconds / ITERATIONS_PER_WINDOW;
    return Math.min(
      Math.max(interval, MINIMUM_ITERATION_MILLISECONDS),
      MAXIMUM_ITERATION_MILLISECONDS,
    );
  }

  async #runIteration(): Promise<void> {
    if (!(await this.#loadSnapshots())) return;
    for (const entry of readPublishedUsage(this.#replicatedFacts)) {
      this.#usage.merge(entry);
    }
    for (const entry of this.#counters.entries()) this.#usage.merge(entry);
    const listed = await this.#windows.list();
    if (listed.kind !== "ok") return this.#logFailure(listed.reason);
    await this.#freeze(listed.value);
    const frozen = await this.#windows.list();
    if (frozen.kind !== "ok") return this.#logFailure(frozen.reason);
    await this.#send(frozen.value.windows);
    await this.#closeOldWindows(frozen.value);
    await this.#saveSnapshot();
  }

  /**
   * Loads the usage snapshots saved by exited processes and earlier lease holders; returns whether
   * they are loaded.
   */
  async #loadSnapshots(): Promise<boolean> {
    const held = this.#lease.getHeldLease();
    if (held === undefined) return false;
    if (
      this.#loadedFencingNumber === held.fencingNumber && this.#iterations > 0
    ) return true;
    const snapshots = await this.#snapshots.load();
    if (snapshots.kind !== "ok") {
      this.#logFailure(snapshots.reason);
      return false;
    }
    for (const entry of snapshots.value.entries) this.#usage.merge(entry);
    this.#includedKeys = snapshots.value.keys;
    this.#loadedFencingNumber = held.fencingNumber;
    this.#iterations = 1;
    return true;
  }

  async #freeze(list: WindowList): Promise<void> {
    const length = this.#context.settings.usageWindowMilliseconds;
    let newestDue = findWindowStart(this.#context);
    while (!isWindowDue(newestDue, this.#context)) newestDue -= length;
    const totals = this.#usage.totals().filter(({ windowStart }) =>
      windowStart >= list.floor && windowStart <= newestDue
    );
    const frozen = list.windows;
    const floorVersion = list.floorVersion;
    for (const window of planFrozenWindows({ totals, frozen, newestDue })) {
      const held = this.#lease.getHeldLease();
      if (held === undefined) return;
      const isFrozen = await this.#windows.freeze(window, {
        held,
        floorVersion,
      });
      if (!isFrozen) continue;
      this.#context.log.emit("usageWindowFrozen", {
        windowStart: window.windowStart,
        organisation: window.organisation,
        adjustments: window.adjustments.length,
      });
    }
  }

  async #send(frozen: ReadonlyArray<ListedWindow>): Promise<void> {
    const waiting = frozen.filter((window) => !window.isAccepted);
    this.#context.metrics.gauge("usage_reports_waiting", waiting.length, {});
    for (
      let from = 0;
      from < waiting.length;
      from += MAXIMUM_CONCURRENT_REPORTS
    ) {
      const held = this.#lease.getHeldLease();
      if (held === undefined) return;
      const batch = waiting.slice(from, from + MAXIMUM_CONCURRENT_REPORTS);
      await Promise.all(batch.map((window) => this.#report(window, held)));
    }
  }

  async #report(window: ListedWindow, held: HeldLease): Promise<void> {
    const { platform, settings, log } = this.#context;
    const outcome = await platform.usageReports.report({
      organisation: window.organisation,
      windowStart: window.windowStart,
      figures: window.figures,
      adjustments: window.adjustments,
      reporter: settings.node,
      fencingNumber: held.fencingNumber,
    }, () => this.#lease.getHeldLease()?.fencingNumber === held.fencingNumber);
    if (outcome.kind !== "ok") return this.#logFailure(outcome.reason);
    if (outcome.value.kind === "contradiction") {
      log.emit("usageReportContradicted", {
        windowStart: window.windowStart,
        organisation: window.organisation,
        detail: outcome.value.detail,
      });
    }
    await this.#windows.markAccepted(window, outcome.value.kind);
  }

  /** Closes old windows permanently once the platform has answered all their reports. */
  async #closeOldWindows(list: WindowList): Promise<void> {
    this.#removeEntriesBelowFloor(list);
    const starts = list.windows.map(({ windowStart }) => windowStart);
    const floor = findOldestRetained(starts, RETAINED_WINDOWS);
    const held = this.#lease.getHeldLease();
    if (floor === undefined || held === undefined) return;
    const isConfirmed = list.windows.every((window) =>
      window.isAccepted || window.windowStart >= floor
    );
    if (!isConfirmed) return;
    await this.#windows.raiseFloor(Math.max(floor, list.floor), { list, held });
  }

  #removeEntriesBelowFloor(list: WindowList): void {
    for (const entry of this.#usage.entries()) {
      if (entry.windowStart >= list.floor) continue;
      this.#usage.remove(entry);
    }
  }

  async #saveSnapshot(): Promise<void> {
    this.#iterations += 1;
    if (this.#iterations % ITERATIONS_PER_SNAPSHOT !== 0) return;
    const held = this.#lease.getHeldLease();
    if (held === undefined) return;
    const { fencingNumber } = held;
    const entries = this.#usage.entries();
    const includedKeys = this.#includedKeys;
    const options = { fencingNumber, includedKeys };
    const outcome = await this.#snapshots.saveMerged(entries, options);
    if (outcome.kind !== "ok") return this.#logFailure(outcome.reason);
    // Makes the next iteration load snapshots of processes that have exited since.
    this.#loadedFencingNumber = 0;
  }

  #logFailure(reason: string): void {
    this.#context.log.emit("usageReportFailed", { reason });
  }
}
