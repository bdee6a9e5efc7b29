import { create } from "@bufbuild/protobuf";
import { KeyWithdrawalFactSchema } from "../../generated/snipepath/v1/peer_pb.ts";
import type { KeyRecord } from "../../generated/snipepath/v1/records_pb.ts";
import type { PeerDirectory } from "../membership/peer_directory.ts";
import type { ReplicatedFacts } from "../membership/replicated_facts.ts";
import type { NodeContext } from "../context/node_context.ts";
import { KeyCache } from "./key_cache.ts";
import { matchesDigest, type ParsedKey, parseKey } from "./key_format.ts";
import type { KeyRefusal, KeyResolution } from "./key_resolution.ts";
import { KeyTable } from "./key_table.ts";
import { LookupRateLimiter } from "./lookup_rate_limiter.ts";

const POLLS_PER_FRESHNESS_BOUND = 4;
const RELOAD_INTERVAL_MILLISECONDS = 60_000;
const LOOKUPS_PER_SECOND = 20;

/** Components of the node that the key directory uses. */
export interface KeyDirectoryOptions {
  readonly context: NodeContext;
  readonly peers: Pick<PeerDirectory, "keyAgeMilliseconds">;
  readonly replicatedFacts: ReplicatedFacts;
}

/** Receives the identifier of each withdrawn key and returns how many running exchanges it aborted. */
export type WithdrawalListener = (identifier: string) => number;

/**
 * Resolves the keys that callers show, and receives withdrawals from the table and from peers.
 *
 * A key is accepted only while this node's view of withdrawals is fresh: the table, or a peer whose
 * own view is fresh, confirmed it within the freshness bound. The time counts from the sending of
 * the query, not from the response.
 * @example
 * ```ts
 * const keys = new KeyDirectory({ context, peers, replicatedFacts });
 * const resolution = await keys.resolve(shownKey);
 * ```
 */
export class KeyDirectory {
  readonly #context: NodeContext;
  readonly #peers: Pick<PeerDirectory, "keyAgeMilliseconds">;
  readonly #replicatedFacts: ReplicatedFacts;
  readonly #table: KeyTable;
  readonly #cache = new KeyCache();
  readonly #lookupLimiter: LookupRateLimiter;
  readonly #listeners = new Set<WithdrawalListener>();
  readonly #unsavedWithdrawals = new Map<string, number>();
  #sequence = 0;
  /** Monotonic time at which the last successful full reload started, in milliseconds. */
  #loadedAt: number | undefined;
  /** Monotonic time at which the last successful read of the table started, in milliseconds. */
  #confirmedAt: number | undefined;

  /** @param options - Components of the node. */
  constructor(options: KeyDirectoryOptions) {
    this.#context = options.context;
    this.#peers = options.peers;
    this.#replicatedFacts = options.replicatedFacts;
    this.#table = new KeyTable(options.context.platform.table);
    this.#lookupLimiter = new LookupRateLimiter(
      options.context.clock,
      LOOKUPS_PER_SECOND,
    );
    this.#replicatedFacts.watch("keyWithdrawal", (fact) => {
      this.applyWithdrawal(fact.key);
    });
    for (const fact of this.#replicatedFacts.facts("keyWithdrawal")) {
      this.applyWithdrawal(fact.key);
    }
  }

  /**
   * Resolves a key to its caller.
   * @param shown - The key as sent by the caller.
   * @returns The caller, or a refusal `keyUnknown`, `keyWithdrawn` or `staleKeys`.
   */
  async resolve(shown: string): Promise<KeyResolution> {
    const parsed = parseKey(shown);
    if (parsed === undefined) return KEY_UNKNOWN;
    if (this.isWithdrawn(parsed.identifier)) return KEY_WITHDRAWN;
    if (!this.isFresh()) return STALE_KEYS;
    const record = await this.#findRecord(parsed.identifier);
    if ("kind" in record) return record;
    return this.#verify(parsed, record);
  }

  /** Returns whether the view of withdrawals is fresh enough to accept keys. */
  isFresh(): boolean {
    const boundMilliseconds = this.#context.settings.keyFreshnessMilliseconds;
    return this.keyAgeMilliseconds() <= boundMilliseconds;
  }

  /**
   * Returns the age of this node's view of keys, as confirmed by the table or a peer, in milliseconds; infinite
   * before the first load.
   */
  keyAgeMilliseconds(): number {
    if (this.#loadedAt === undefined) return Infinity;
    const peerAge = this.#peers.keyAgeMilliseconds();
    return Math.min(peerAge, this.tableAgeMilliseconds());
  }

  /** Returns the milliseconds since the table itself confirmed this node's view; infinite before the first time. */
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
   * Applies a withdrawal that came from a peer or an operator.
   * @param identifier - The key's identifier.
   * @returns How many running exchanges were aborted.
   */
  applyWithdrawal(identifier: string): number {
    if (!this.#cache.markWithdrawn(identifier)) return 0;
    this.#unsavedWithdrawals.set(identifier, this.#context.clock.monotonic());
    return this.#notifyListeners(identifier);
  }

  /** Calls a listener at each withdrawal; returns a function that removes the listener. */
  addWithdrawalListener(listener: WithdrawalListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Returns the monotonic time at which this node received each withdrawal that it has neither read
   * from the table nor marked as saved, in milliseconds, by the identifier of the key.
   */
  unsavedWithdrawals(): ReadonlyMap<string, number> {
    return this.#unsavedWithdrawals;
  }

  /**
   * Records that a withdrawal needs no write, because the table has recorded it or has no such key.
   */
  markSaved(identifier: string): void {
    this.#unsavedWithdrawals.delete(identifier);
  }

  /** Refreshes this node's view of keys periodically until the node stops. */
  async run(): Promise<void> {
    const { clock, random, stopping, settings } = this.#context;
    const intervalMilliseconds = settings.keyFreshnessMilliseconds /
      POLLS_PER_FRESHNESS_BOUND;
    while (!stopping.aborted) {
      await this.refresh();
      await clock.sleep(
        intervalMilliseconds * (0.75 + random.next() / 2),
        stopping,
      );
    }
  }

  /** Reads the changes from the table once, or all keys if a full reload is due. */
  async refresh(): Promise<void> {
    const wasConfirmed = this.#confirmedAt !== undefined;
    const sentAt = this.#context.clock.monotonic();
    const isReloadDue = this.#loadedAt === undefined ||
      sentAt - this.#loadedAt >= RELOAD_INTERVAL_MILLISECONDS;
    const wasRead = isReloadDue
      ? await this.#reload()
      : await this.#readChanges();
    if (!wasRead) return;
    if (isReloadDue) this.#loadedAt = sentAt;
    this.#confirmedAt = sentAt;
    if (!wasConfirmed) this.#context.log.emit("keysLoaded", {});
  }

  async #reload(): Promise<boolean> {
    const sequence = await this.#table.readSequence();
    if (sequence.kind !== "ok") return this.#logFailure(sequence.reason);
    if (sequence.value < this.#sequence) {
      return this.#logFailure(
        "The table's sequence number of key changes decreased",
      );
    }
    let next: string | undefined = "";
    while (next !== undefined) {
      const page = await this.#table.readPage(next);
      if (page.kind !== "ok") return this.#logFailure(page.reason);
      for (const record of page.value.records) this.#applyRecord(record);
      next = page.value.next;
    }
    this.#sequence = sequence.value;
    return true;
  }

  async #readChanges(): Promise<boolean> {
    let hasMore = true;
    while (hasMore) {
      const changes = await this.#table.readChanges(this.#sequence);
      if (changes.kind !== "ok") return this.#logFailure(changes.reason);
      for (const record of changes.value.records) this.#applyRecord(record);
      this.#sequence = changes.value.sequence;
      hasMore = changes.value.more;
    }
    return true;
  }

  #logFailure(reason: string): false {
    this.#context.log.emit("keyRefreshFailed", { reason });
    return false;
  }

  #applyRecord(record: KeyRecord): void {
    if (!record.withdrawn) return this.#cache.store(record);
    const isNew = this.#cache.markWithdrawn(record.keyIdentifier);
    this.#unsavedWithdrawals.delete(record.keyIdentifier);
    if (!isNew) return;
    this.#publishWithdrawal(record.keyIdentifier);
    this.#notifyListeners(record.keyIdentifier);
  }

  // Published even at the first load: a peer that relies on this node's view must have the same withdrawals.
  #publishWithdrawal(identifier: string): void {
    const fact = create(KeyWithdrawalFactSchema);
    this.#replicatedFacts.publish("keyWithdrawal", identifier, fact);
  }

  #notifyListeners(identifier: string): number {
    let aborted = 0;
    for (const listener of this.#listeners) aborted += listener(identifier);
    this.#context.log.emit("keyWithdrawn", { key: identifier, cut: aborted });
    return aborted;
  }

  async #findRecord(identifier: string): Promise<KeyRecord | KeyRefusal> {
    const { clock } = this.#context;
    const cached = this.#cache.find(identifier, clock.monotonic());
    if (cached.kind === "known") return cached.record;
    if (cached.kind === "withdrawn") return KEY_WITHDRAWN;
    if (cached.kind === "unknown") return KEY_UNKNOWN;
    if (!this.#lookupLimiter.tryAcquire()) return STALE_KEYS;
    const read = await this.#table.read(identifier);
    if (read.kind !== "ok") return STALE_KEYS;
    if (read.value === undefined) {
      this.#cache.storeUnknown(identifier, clock.monotonic());
      return KEY_UNKNOWN;
    }
    this.#applyRecord(read.value.record);
    return read.value.record;
  }

  // Runs after the last await, so that a withdrawal received during the table look-up is applied.
  #verify(parsed: ParsedKey, record: KeyRecord): KeyResolution {
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
