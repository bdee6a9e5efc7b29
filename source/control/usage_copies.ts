import type { NodeContext } from "../context/node_context.ts";
import type { PlatformOutcome } from "../platform/platform_outcome.ts";
import type { UsageEntry } from "./usage_book.ts";

const MERGED_PREFIX = "usage/merged/";
const ENDED_PREFIX = "usage/ended/";
const NUMBER_DIGITS = 15;

/** Copies of usage in the object store. */
export class UsageCopies {
  readonly #context: NodeContext;

  /** @param context - The node. */
  constructor(context: NodeContext) {
    this.#context = context;
  }

  /** Saves what a process that ends has counted. */
  saveEnded(
    entries: ReadonlyArray<UsageEntry>,
  ): Promise<PlatformOutcome<void>> {
    const key = `${ENDED_PREFIX}${encodeURIComponent(this.#context.nodeStart)}`;
    return this.#context.platform.objects.put(key, encode(entries));
  }

  /**
   * Saves what the holder of the lease has merged, under its fencing number, so that an
   * earlier holder cannot write over it; then deletes what the copy covers.
   */
  async saveMerged(
    entries: ReadonlyArray<UsageEntry>,
    options: {
      readonly fencingNumber: number;
      readonly covered: ReadonlyArray<string>;
    },
  ): Promise<PlatformOutcome<void>> {
    const { objects } = this.#context.platform;
    const number = String(options.fencingNumber).padStart(NUMBER_DIGITS, "0");
    const key = `${MERGED_PREFIX}${number}`;
    const outcome = await objects.put(key, encode(entries));
    if (outcome.kind !== "ok") return outcome;
    for (const covered of options.covered) {
      if (covered !== key) await objects.delete(covered);
    }
    return outcome;
  }

  /** Reads all copies with their keys. */
  async load(): Promise<
    PlatformOutcome<{
      readonly entries: ReadonlyArray<UsageEntry>;
      readonly keys: ReadonlyArray<string>;
    }>
  > {
    const { objects } = this.#context.platform;
    const entries: UsageEntry[] = [];
    const keys: string[] = [];
    // In this order: what a merged copy covers is deleted only after it was written.
    for (const prefix of [ENDED_PREFIX, MERGED_PREFIX]) {
      const listed = await objects.list(prefix);
      if (listed.kind !== "ok") return listed;
      for (const key of listed.value) {
        const outcome = await objects.get(key);
        if (outcome.kind !== "ok") return outcome;
        if (outcome.value === undefined) continue;
        entries.push(...decode(outcome.value));
        keys.push(key);
      }
    }
    return { kind: "ok", value: { entries, keys } };
  }
}

function encode(entries: ReadonlyArray<UsageEntry>): Uint8Array {
  return Buffer.from(JSON.stringify(entries));
}

function decode(body: Uint8Array): ReadonlyArray<UsageEntry> {
  return JSON.parse(Buffer.from(body).toString()) as UsageEntry[];
}
