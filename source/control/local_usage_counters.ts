import { create } from "@bufbuild/protobuf";
import { UsageFactSchema } from "../../generated/snipepath/v1/peer_pb.ts";
import type { ReplicatedFacts } from "../membership/replicated_facts.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { ReportedFigures } from "../platform/usage_report_client.ts";
import {
  findOldestRetained,
  type UsageEntry,
  UsageEntrySet,
} from "./usage_entry_set.ts";
import { UsageSnapshots } from "./usage_snapshots.ts";
import type { UsageRecorder } from "./usage_recorder.ts";
import { fromMessage, toMessage } from "./usage_figures.ts";
import { findWindowStart } from "./usage_window_clock.ts";
import { UsageWindowStore } from "./usage_window_store.ts";

const PUBLISH_INTERVAL_MILLISECONDS = 500;
/** Number of the newest windows that are retained even after their report is answered. */
const RETAINED_WINDOWS = 8;
/** Number of the newest windows that are retained while their report is unanswered. */
const MAXIMUM_WINDOWS = 400;

/** Options of the local usage counters. */
export interface LocalUsageCountersOptions {
  readonly context: NodeContext;
  readonly replicatedFacts: ReplicatedFacts;
}

/**
 * Counts the usage of this process and publishes it to the peers, so that the counts survive the
 * process.
 * @example
 * ```ts
 * const counters = new LocalUsageCounters({ context, replicatedFacts });
 * void counters.run();
 * counters.record("school", { requests: 1, promptTokens: 10, generatedTokens: 20 });
 * ```
 */
export class LocalUsageCounters implements UsageRecorder {
  readonly #context: NodeContext;
  readonly #replicatedFacts: ReplicatedFacts;
  readonly #usage = new UsageEntrySet();
  readonly #snapshots: UsageSnapshots;
  readonly #windows: UsageWindowStore;
  /** Keys of the facts whose figures have changed since they were last published. */
  readonly #unpublishedKeys = new Set<string>();

  /** @param options - The node context and the state shared with the peers. */
  constructor(options: LocalUsageCountersOptions) {
    this.#context = options.context;
    this.#replicatedFacts = options.replicatedFacts;
    this.#snapshots = new UsageSnapshots(options.context);
    this.#windows = new UsageWindowStore(options.context);
  }

  /** Adds usage to the current window. */
  record(organisation: string, figures: ReportedFigures): void {
    const windowStart = findWindowStart(this.#context);
    const originStart = this.#context.nodeStart;
    this.#usage.add({ originStart, windowStart, organisation, figures });
    this.#unpublishedKeys.add(factKey(windowStart, organisation));
  }

  /** Returns the usage entries of this process. */
  entries(): ReadonlyArray<UsageEntry> {
    return this.#usage.entries();
  }

  /** Publishes changed counters until the node stops, then saves all of them to the object store. */
  async run(): Promise<void> {
    const { clock, stopping } = this.#context;
    const cleanup = this.#runCleanup();
    while (!stopping.aborted) {
      await clock.sleep(PUBLISH_INTERVAL_MILLISECONDS, stopping);
      this.#publish();
    }
    await cleanup;
    const entries = this.#usage.entries();
    if (entries.length > 0) await this.#snapshots.saveEnded(entries);
  }

  #publish(): void {
    for (const { windowStart, organisation, figures } of this.entries()) {
      const key = factKey(windowStart, organisation);
      if (!this.#unpublishedKeys.delete(key)) continue;
      const value = create(UsageFactSchema, { figures: toMessage(figures) });
      this.#replicatedFacts.publish("usage", key, value);
    }
  }

  async #runCleanup(): Promise<void> {
    const { clock, settings, stopping } = this.#context;
    while (!stopping.aborted) {
      await clock.sleep(settings.usageWindowMilliseconds, stopping);
      await this.#removeOldEntries();
    }
  }

  /**
   * Removes the entries of old windows whose report the platform has answered, and the entries of
   * windows beyond the maximum number in any case.
   */
  async #removeOldEntries(): Promise<void> {
    const starts = this.entries().map(({ windowStart }) => windowStart);
    const oldestRetained = findOldestRetained(starts, RETAINED_WINDOWS);
    const oldestPossible = findOldestRetained(starts, MAXIMUM_WINDOWS);
    if (oldestRetained === undefined) return;
    for (const entry of this.entries()) {
      if (entry.windowStart >= oldestRetained) continue;
      const isTooOld = entry.windowStart < (oldestPossible ?? 0);
      if (isTooOld) this.#context.log.emit("usageDropped", describe(entry));
      if (isTooOld || await this.#windows.isAccepted(entry)) {
        this.#removeEntry(entry);
      }
    }
  }

  #removeEntry(entry: UsageEntry): void {
    this.#usage.remove(entry);
    const key = factKey(entry.windowStart, entry.organisation);
    this.#replicatedFacts.retract?.("usage", key);
  }
}

/**
 * Reads the usage that all nodes have published.
 * @param replicatedFacts - Facts published by the nodes.
 */
export function readPublishedUsage(
  replicatedFacts: ReplicatedFacts,
): ReadonlyArray<UsageEntry> {
  return replicatedFacts.facts("usage").flatMap((fact) => {
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
