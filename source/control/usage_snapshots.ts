import type { NodeContext } from "../context/node_context.ts";
import type { PlatformOutcome } from "../platform/platform_outcome.ts";
import type { UsageEntry } from "./usage_entry_set.ts";

const MERGED_PREFIX = "usage/merged/";
const ENDED_PREFIX = "usage/ended/";
const NUMBER_DIGITS = 15;

/** Saves and loads snapshots of usage entries in the object store. */
export class UsageSnapshots {
  readonly #context: NodeContext;

  /** @param context - The node context. */
  constructor(context: NodeContext) {
    this.#context = context;
  }

  /** Saves the usage that this process has counted, before it exits. */
  saveEnded(
    entries: ReadonlyArray<UsageEntry>,
  ): Promise<PlatformOutcome<void>> {
    const key = `${ENDED_PREFIX}${encodeURIComponent(this.#context.nodeStart)}`;
    return this.#context.platform.objects.put(key, encode(entries));
  }

  /**
   * Saves the usage that the lease holder has merged, then deletes the snapshots that it includes.
   * The key contains the fencing number, so that an earlier holder cannot overwrite the snapshot.
   */
  async saveMerged(
    entries: ReadonlyArray<UsageEntry>,
    options: {
      readonly fencingNumber: number;
      readonly includedKeys: ReadonlyArray<string>;
    },
  ): Promise<PlatformOutcome<void>> {
    const { objects } = this.#context.platform;
    const number = String(options.fencingNumber).padStart(NUMBER_DIGITS, "0");
    const key = `${MERGED_PREFIX}${number}`;
    const outcome = await objects.put(key, encode(entries));
    if (outcome.kind !== "ok") return outcome;
    for (const includedKey of options.includedKeys) {
      if (includedKey !== key) await objects.delete(includedKey);
    }
    return outcome;
  }

  /** Reads the entries of all snapshots, and the keys of the snapshots. */
  async load(): Promise<
    PlatformOutcome<{
      readonly entries: ReadonlyArray<UsageEntry>;
      readonly keys: ReadonlyArray<string>;
    }>
  > {
    const { objects } = this.#context.platform;
    const entries: UsageEntry[] = [];
    const keys: string[] = [];
    // Reads merged snapshots last: a snapshot is deleted only after the merged one that includes it was written.
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
