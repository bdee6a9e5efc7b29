import { create } from "@bufbuild/protobuf";
import { KeyWithdrawalFactSchema } from "../../generated/snipepath/v1/peer_pb.ts";
import type { KeyRecord } from "../../generated/snipepath/v1/records_pb.ts";
import type { PeerDirectory } from "../membership/peer_directory.ts";
import type { ToldState } from "../membership/told_state.ts";
import type { NodeContext } from "../context/node_context.ts";
import { KeyCache } from "./key_cache.ts";
import { matchesDigest, type ParsedKey, parseKey } from "./key_format.ts";
import type { KeyRefusal, KeyResolution } from "./key_resolution.ts";
import { KeyTable } from "./key_table.ts";
import { LookupBudget } from "./lookup_budget.ts";

const POLLS_PER_FRESHNESS_BOUND = 4;
const RELOAD_INTERVAL_MILLISECONDS = 60_000;
const LOOKUPS_PER_SECOND = 20;

/** What the key directory works with. */
export interface KeyDirectoryOptions {
  readonly context: NodeContext;
  readonly peers: Pick<PeerDirectory, "keyAgeMilliseconds">;
  readonly told: ToldState;
}

/** Gets the identifier of each key that was withdrawn; returns how many running exchanges it cut. */
export type WithdrawalListener = (identifier: string) => number;

/**
 * Resolves the keys that callers show, and learns of withdrawals from the table and from peers.
 *
 * A key is accepted only while the view of withdrawals is fresh: the table or a peer with fresh
 * word confirmed it within the freshness bound, counted from when the question was sent.
 * @example
 * ```ts
 * const keys = new KeyDirectory({ context, peers, told });
 * const resolution = await keys.resolve(shownKey);
 * ```
 */
export class KeyDirectory {
  readonly #context: NodeContext;
  readonly #peers: Pick<PeerDirectory, "keyAgeMilliseconds">;
  readonly #told: ToldState;
  readonly #table: KeyTable;
  readonly #cache = new KeyCache();
  readonly #lookups: LookupBudget;
  readonly #listeners = new Set<WithdrawalListener>();
  readonly #unsaved = new Map<string, number>();
  #sequence = 0;
  #loadedAt: number | undefined;
  #confirmedAt: number | undefined;

  /** @param options - The node and its peers. */
  constructor(options: KeyDirectoryOptions) {
    this.#context = options.context;
    this.#peers = options.peers;
    this.#told = options.told;
    this.#table = new KeyTable(options.context.platform.table);
    this.#lookups = new LookupBudget(options.context.clock, LOOKUPS_PER_SECOND);
    this.#told.watch("keyWithdrawal", (fact) => {
      this.applyWithdrawal(fact.key);
    });
    for (const fact of this.#told.facts("keyWithdrawal")) {
      this.applyWithdrawal(fact.key);
    }
  }

  /**
   * Resolves a key to its caller.
   * @param shown - The key as the caller showed it.
   * @returns The caller, or a refusal `keyUnknown`, `keyWithdrawn` or `staleKeys`.
   */
  async resolve(shown: string): Promise<KeyResolution> {
    const parsed = parseKey(shown);
    if (parsed === undefined) return KEY_UNKNOWN;
    if (this.isWithdrawn(parsed.identifier)) return KEY_WITHDRAWN;
    if (!this.isFresh()) return STALE_KEYS;
    const record = await this.#findRecord(parsed.identifier);
    if ("kind" in record) return record;
    return this.#check(parsed, record);
  }

  /** Returns whether the view of withdrawals is fresh enough to accept keys. */
  isFresh(): boolean {
    const bound = this.#context.settings.keyFreshnessMilliseconds;
    return this.keyAgeMilliseconds() <= bound;
  }

  /** Returns the age of this node's view of keys by the table or its peers, in milliseconds. */
  keyAgeMilliseconds(): number {
    if (this.#loadedAt === undefined) return Infinity;
    const peerAge = this.#peers.keyAgeMilliseconds();
    return Math.min(peerAge, this.tableAgeMilliseconds());
  }

  /** Returns the time since the table itself confirmed this node's view, in milliseconds; infinite before the first. */
  tableAgeMilliseconds(): number {
    if (this.#confirmedAt === undefined) return Infinity;
    return this.#context.clock.monotonic() - this.#confirmedAt;
  }

  /** Returns whether a key is known to be withdrawn. */
  isWithdrawn(identifier: string): boolean {
    const now = this.#context.clock.monotonic();
    return this.#cache.find(identifier, now).kind === "withdrawn";
  }

  /**
   * Applies a withdrawal that a peer or an operator told.
   * @param identifier - The key's identifier.
   * @returns How many running exchanges were cut.
   */
  applyWithdrawal(identifier: string): number {
    if (!this.#cache.markWithdrawn(identifier)) return 0;
    this.#unsaved.set(identifier, this.#context.clock.monotonic());
    return this.#cutExchanges(identifier);
  }

  /** Calls a listener at each withdrawal; returns what ends that. */
  watchWithdrawals(listener: WithdrawalListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Returns the told withdrawals that the table has not shown yet, with the monotonic time each was heard. */
  unsavedWithdrawals(): ReadonlyMap<string, number> {
    return this.#unsaved;
  }

  /** Notes that the table holds a withdrawal. */
  noteSaved(identifier: string): void {
    this.#unsaved.delete(identifier);
  }

  /** Keeps the view current until the node stops. */
  async run(): Promise<void> {
    const { clock, random, stopping, settings } = this.#context;
    const interval = settings.keyFreshnessMilliseconds /
      POLLS_PER_FRESHNESS_BOUND;
    while (!stopping.aborted) {
      await this.refresh();
      await clock.sleep(interval * (0.75 + random.next() / 2), stopping);
    }
  }

  /** Reads once what changed in the table, or the whole list when that is due. */
  async refresh(): Promise<void> {
    const wasFresh = this.#confirmedAt !== undefined;
    const sentAt = this.#context.clock.monotonic();
    const isReloadDue = this.#loadedAt === undefined ||
      sentAt - this.#loadedAt >= RELOAD_INTERVAL_MILLISECONDS;
    const isDone = isReloadDue ? await this.#reload() : await this.#follow();
    if (!isDone) return;
    if (isReloadDue) this.#loadedAt = sentAt;
    this.#confirmedAt = sentAt;
    if (!wasFresh) this.#context.log.emit("keysLoaded", {});
  }

  async #reload(): Promise<boolean> {
    const sequence = await this.#table.readSequence();
    if (sequence.kind !== "ok") return this.#noteFailure(sequence.reason);
    if (sequence.value < this.#sequence) {
      return this.#noteFailure("The table's number of key changes went back");
    }
    let next: string | undefined = "";
    while (next !== undefined) {
      const page = await this.#table.readPage(next);
      if (page.kind !== "ok") return this.#noteFailure(page.reason);
      for (const record of page.value.records) this.#takeOver(record);
      next = page.value.next;
    }
    this.#sequence = sequence.value;
    return true;
  }

  async #follow(): Promise<boolean> {
    let hasMore = true;
    while (hasMore) {
      const changes = await this.#table.readChanges(this.#sequence);
      if (changes.kind !== "ok") return this.#noteFailure(changes.reason);
      for (const record of changes.value.records) this.#takeOver(record);
      this.#sequence = changes.value.sequence;
      hasMore = changes.value.more;
    }
    return true;
  }

  #noteFailure(reason: string): false {
    this.#context.log.emit("keyRefreshFailed", { reason });
    return false;
  }

  #takeOver(record: KeyRecord): void {
    if (!record.withdrawn) return this.#cache.keep(record);
    const isNew = this.#cache.markWithdrawn(record.keyIdentifier);
    this.#unsaved.delete(record.keyIdentifier);
    if (!isNew) return;
    this.#tellWithdrawal(record.keyIdentifier);
    this.#cutExchanges(record.keyIdentifier);
  }

  // Told even at the first load: a peer that goes by this node's word must hold the same withdrawals.
  #tellWithdrawal(identifier: string): void {
    const fact = create(KeyWithdrawalFactSchema);
    this.#told.tell("keyWithdrawal", identifier, fact);
  }

  #cutExchanges(identifier: string): number {
    let cut = 0;
    for (const listener of this.#listeners) cut += listener(identifier);
    this.#context.log.emit("keyWithdrawn", { key: identifier, cut });
    return cut;
  }

  async #findRecord(identifier: string): Promise<KeyRecord | KeyRefusal> {
    const { clock } = this.#context;
    const cached = this.#cache.find(identifier, clock.monotonic());
    if (cached.kind === "known") return cached.record;
    if (cached.kind === "withdrawn") return KEY_WITHDRAWN;
    if (cached.kind === "unknown") return KEY_UNKNOWN;
    if (!this.#lookups.take()) return STALE_KEYS;
    const read = await this.#table.read(identifier);
    if (read.kind !== "ok") return STALE_KEYS;
    if (read.value === undefined) {
      this.#cache.keepUnknown(identifier, clock.monotonic());
      return KEY_UNKNOWN;
    }
    this.#takeOver(read.value.record);
    return read.value.record;
  }

  // The checks stand after the last wait, so that a withdrawal heard during it counts.
  #check(parsed: ParsedKey, record: KeyRecord): KeyResolution {
    if (!matchesDigest(parsed.secret, record.secretDigest)) return KEY_UNKNOWN;
    if (record.withdrawn || this.isWithdrawn(parsed.identifier)) {
      return KEY_WITHDRAWN;
    }
    if (!this.isFresh()) return STALE_KEYS;
    const caller = {
      organisation: record.organisation,
      keyIdentifier: record.keyIdentifier,
      isTrainer: record.trainer,
    };
    return { kind: "accepted", caller };
  }
}

const STALE_RETRY_MILLISECONDS = 2000;

const KEY_UNKNOWN: KeyRefusal = {
  kind: "refused",
  error: "keyUnknown",
  message: "The key is not known",
  retryAfterMilliseconds: 0,
};

const KEY_WITHDRAWN: KeyRefusal = {
  kind: "refused",
  error: "keyWithdrawn",
  message: "The key was withdrawn",
  retryAfterMilliseconds: 0,
};

const STALE_KEYS: KeyRefusal = {
  kind: "refused",
  error: "staleKeys",
  message: "This node can't confirm now that the key is still valid",
  retryAfterMilliseconds: STALE_RETRY_MILLISECONDS,
};
