import type { ToldState } from "../membership/told_state.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { HeldLease, LeaseKeeper } from "./lease_keeper.ts";
import { planFrozenWindows } from "./plan_frozen_windows.ts";
import { findOldestKept, UsageBook } from "./usage_book.ts";
import { UsageCopies } from "./usage_copies.ts";
import { readToldUsage, type UsageTally } from "./usage_tally.ts";
import { findWindowStart, isDue } from "./usage_window_clock.ts";
import {
  type ListedWindow,
  UsageWindows,
  type WindowList,
} from "./usage_windows.ts";

const ROUNDS_IN_A_WINDOW = 8;
const MINIMUM_ROUND_MILLISECONDS = 500;
const MAXIMUM_ROUND_MILLISECONDS = 10_000;
const ROUNDS_BETWEEN_COPIES = 2;
const CONCURRENT_REPORTS = 8;
const KEPT_WINDOWS = 24;

/** What a reporter needs. */
export interface UsageReporterOptions {
  readonly context: NodeContext;
  readonly told: ToldState;
  readonly tally: UsageTally;
  /** The lease "usage"; its owner runs it. */
  readonly lease: LeaseKeeper;
}

/**
 * Reports each organisation's usage of each window once, while this node holds the lease.
 *
 * A window's figures are written to the table if absent, in a transaction that checks the
 * lease's row, before they are first sent. Every send uses the row read from the table.
 * Usage that arrives later goes into a later window as a named adjustment.
 * @example
 * ```ts
 * const reporter = new UsageReporter({ context, told, tally, lease });
 * await reporter.run();
 * ```
 */
export class UsageReporter {
  readonly #context: NodeContext;
  readonly #told: ToldState;
  readonly #tally: UsageTally;
  readonly #lease: LeaseKeeper;
  readonly #copies: UsageCopies;
  readonly #windows: UsageWindows;
  #book = new UsageBook();
  #loadedAt = 0;
  #covered: ReadonlyArray<string> = [];
  #rounds = 0;

  /** @param options - The lease and where usage comes from. */
  constructor(options: UsageReporterOptions) {
    this.#context = options.context;
    this.#told = options.told;
    this.#tally = options.tally;
    this.#lease = options.lease;
    this.#copies = new UsageCopies(options.context);
    this.#windows = new UsageWindows(options.context);
  }

  /** Reports until the node stops. */
  async run(): Promise<void> {
    const { clock, stopping } = this.#context;
    while (!stopping.aborted) {
      await clock.sleep(this.#roundMilliseconds, stopping);
      if (this.#lease.ifHeld() !== undefined) await this.#round();
    }
  }

  get #roundMilliseconds(): number {
    const { usageWindowMilliseconds } = this.#context.settings;
    const round = usageWindowMilliseconds / ROUNDS_IN_A_WINDOW;
    return Math.min(
      Math.max(round, MINIMUM_ROUND_MILLISECONDS),
      MAXIMUM_ROUND_MILLISECONDS,
    );
  }

  async #round(): Promise<void> {
    if (!(await this.#load())) return;
    for (const entry of readToldUsage(this.#told)) this.#book.merge(entry);
    for (const entry of this.#tally.entries()) this.#book.merge(entry);
    const before = await this.#windows.list();
    if (before.kind !== "ok") return this.#noteFailure(before.reason);
    await this.#freeze(before.value);
    const frozen = await this.#windows.list();
    if (frozen.kind !== "ok") return this.#noteFailure(frozen.reason);
    await this.#send(frozen.value.windows);
    await this.#forget(frozen.value);
    await this.#saveCopy();
  }

  /** Reads the copies that ended processes and earlier holders left. */
  async #load(): Promise<boolean> {
    const held = this.#lease.ifHeld();
    if (held === undefined) return false;
    if (this.#loadedAt === held.fencingNumber && this.#rounds > 0) return true;
    const copies = await this.#copies.load();
    if (copies.kind !== "ok") {
      this.#noteFailure(copies.reason);
      return false;
    }
    for (const entry of copies.value.entries) this.#book.merge(entry);
    this.#covered = copies.value.keys;
    this.#loadedAt = held.fencingNumber;
    this.#rounds = 1;
    return true;
  }

  async #freeze(list: WindowList): Promise<void> {
    const length = this.#context.settings.usageWindowMilliseconds;
    let newestDue = findWindowStart(this.#context);
    while (!isDue(newestDue, this.#context)) newestDue -= length;
    const totals = this.#book.totals().filter(({ windowStart }) =>
      windowStart >= list.floor && windowStart <= newestDue
    );
    const frozen = list.windows;
    const floorVersion = list.floorVersion;
    for (const window of planFrozenWindows({ totals, frozen, newestDue })) {
      const held = this.#lease.ifHeld();
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
    for (let from = 0; from < waiting.length; from += CONCURRENT_REPORTS) {
      const held = this.#lease.ifHeld();
      if (held === undefined) return;
      const batch = waiting.slice(from, from + CONCURRENT_REPORTS);
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
    }, () => this.#lease.ifHeld()?.fencingNumber === held.fencingNumber);
    if (outcome.kind !== "ok") return this.#noteFailure(outcome.reason);
    if (outcome.value.kind === "contradiction") {
      log.emit("usageReportContradicted", {
        windowStart: window.windowStart,
        organisation: window.organisation,
        detail: outcome.value.detail,
      });
    }
    await this.#windows.markAccepted(window, outcome.value.kind);
  }

  /** Closes old windows for good, once all their reports are confirmed. */
  async #forget(list: WindowList): Promise<void> {
    this.#forgetEntriesBelow(list);
    const starts = list.windows.map(({ windowStart }) => windowStart);
    const floor = findOldestKept(starts, KEPT_WINDOWS);
    const held = this.#lease.ifHeld();
    if (floor === undefined || held === undefined) return;
    const isConfirmed = list.windows.every((window) =>
      window.isAccepted || window.windowStart >= floor
    );
    if (!isConfirmed) return;
    await this.#windows.raiseFloor(Math.max(floor, list.floor), { list, held });
  }

  #forgetEntriesBelow(list: WindowList): void {
    for (const entry of this.#book.entries()) {
      if (entry.windowStart >= list.floor) continue;
      this.#book.remove(entry);
    }
  }

  async #saveCopy(): Promise<void> {
    this.#rounds += 1;
    if (this.#rounds % ROUNDS_BETWEEN_COPIES !== 0) return;
    const held = this.#lease.ifHeld();
    if (held === undefined) return;
    const { fencingNumber } = held;
    const entries = this.#book.entries();
    const covered = this.#covered;
    const options = { fencingNumber, covered };
    const outcome = await this.#copies.saveMerged(entries, options);
    if (outcome.kind !== "ok") return this.#noteFailure(outcome.reason);
    // Makes the next round look for copies of processes that ended since.
    this.#loadedAt = 0;
  }

  #noteFailure(reason: string): void {
    this.#context.log.emit("usageReportFailed", { reason });
  }
}
