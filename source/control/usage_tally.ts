import { create } from "@bufbuild/protobuf";
import { UsageFactSchema } from "../../generated/snipepath/v1/peer_pb.ts";
import type { ToldState } from "../membership/told_state.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { ReportedFigures } from "../platform/usage_report_client.ts";
import { findOldestKept, UsageBook, type UsageEntry } from "./usage_book.ts";
import { UsageCopies } from "./usage_copies.ts";
import type { UsageCounters } from "./usage_counters.ts";
import { fromMessage, toMessage } from "./usage_figures.ts";
import { findWindowStart } from "./usage_window_clock.ts";
import { UsageWindows } from "./usage_windows.ts";

const TELL_INTERVAL_MILLISECONDS = 500;
const KEPT_WINDOWS = 8;
const MAXIMUM_WINDOWS = 400;

/** What a tally needs. */
export interface UsageTallyOptions {
  readonly context: NodeContext;
  readonly told: ToldState;
}

/**
 * Counts the usage of this process and tells it to the peers, which outlive the process.
 * @example
 * ```ts
 * const tally = new UsageTally({ context, told });
 * void tally.run();
 * tally.record("school", { requests: 1, promptTokens: 10, generatedTokens: 20 });
 * ```
 */
export class UsageTally implements UsageCounters {
  readonly #context: NodeContext;
  readonly #told: ToldState;
  readonly #book = new UsageBook();
  readonly #copies: UsageCopies;
  readonly #windows: UsageWindows;
  readonly #untold = new Set<string>();

  /** @param options - The node and what it tells. */
  constructor(options: UsageTallyOptions) {
    this.#context = options.context;
    this.#told = options.told;
    this.#copies = new UsageCopies(options.context);
    this.#windows = new UsageWindows(options.context);
  }

  /** Adds usage to the window that is open now. */
  record(organisation: string, figures: ReportedFigures): void {
    const windowStart = findWindowStart(this.#context);
    const originStart = this.#context.nodeStart;
    this.#book.add({ originStart, windowStart, organisation, figures });
    this.#untold.add(factKey(windowStart, organisation));
  }

  /** Returns the counters of this process. */
  entries(): ReadonlyArray<UsageEntry> {
    return this.#book.entries();
  }

  /** Tells changed counters until the node stops, then saves them all. */
  async run(): Promise<void> {
    const { clock, stopping } = this.#context;
    const forgetting = this.#runForgetting();
    while (!stopping.aborted) {
      await clock.sleep(TELL_INTERVAL_MILLISECONDS, stopping);
      this.#tell();
    }
    await forgetting;
    const entries = this.#book.entries();
    if (entries.length > 0) await this.#copies.saveEnded(entries);
  }

  #tell(): void {
    for (const { windowStart, organisation, figures } of this.entries()) {
      const key = factKey(windowStart, organisation);
      if (!this.#untold.delete(key)) continue;
      const value = create(UsageFactSchema, { figures: toMessage(figures) });
      this.#told.tell("usage", key, value);
    }
  }

  async #runForgetting(): Promise<void> {
    const { clock, settings, stopping } = this.#context;
    while (!stopping.aborted) {
      await clock.sleep(settings.usageWindowMilliseconds, stopping);
      await this.#forget();
    }
  }

  /** Drops old windows whose report the platform has confirmed, and older ones whatever. */
  async #forget(): Promise<void> {
    const starts = this.entries().map(({ windowStart }) => windowStart);
    const oldestKept = findOldestKept(starts, KEPT_WINDOWS);
    const oldestPossible = findOldestKept(starts, MAXIMUM_WINDOWS);
    if (oldestKept === undefined) return;
    for (const entry of this.entries()) {
      if (entry.windowStart >= oldestKept) continue;
      const isTooOld = entry.windowStart < (oldestPossible ?? 0);
      if (isTooOld) this.#context.log.emit("usageDropped", describe(entry));
      if (isTooOld || await this.#windows.isAccepted(entry)) {
        this.#remove(entry);
      }
    }
  }

  #remove(entry: UsageEntry): void {
    this.#book.remove(entry);
    const key = factKey(entry.windowStart, entry.organisation);
    this.#told.retract?.("usage", key);
  }
}

/**
 * Reads all told usage as entries.
 * @param told - What the nodes told.
 */
export function readToldUsage(told: ToldState): ReadonlyArray<UsageEntry> {
  return told.facts("usage").flatMap((fact) => {
    const separator = fact.key.indexOf("/");
    const windowStart = Number(fact.key.slice(0, separator));
    if (!Number.isSafeInteger(windowStart)) return [];
    const figures = fact.value.figures;
    if (figures === undefined) return [];
    return [{
      originStart: fact.originStart,
      windowStart,
      organisation: fact.key.slice(separator + 1),
      figures: fromMessage(figures),
    }];
  });
}

function describe(entry: UsageEntry): {
  readonly windowStart: number;
  readonly organisation: string;
  readonly requests: number;
} {
  const { windowStart, organisation, figures } = entry;
  return { windowStart, organisation, requests: figures.requests };
}

function factKey(windowStart: number, organisation: string): string {
  return `${windowStart}/${organisation}`;
}
