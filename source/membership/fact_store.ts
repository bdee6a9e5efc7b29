import { create } from "@bufbuild/protobuf";
import {
  type Fact,
  type FactBatch,
  FactSchema,
  type OriginRange,
} from "../../generated/snipepath/v1/peer_pb.ts";
import type { EventLog } from "../observability/event_log.ts";
import type { Clock } from "../utilities/clock.ts";
import { invariant } from "../utilities/invariant.ts";
import {
  factRejectionReason,
  isValidName,
  isValidVersion,
  MAXIMUM_FACTS_OF_ORIGIN,
  MAXIMUM_ORIGINS,
} from "./fact_limits.ts";
import { FACT_RULES, isShared, isUrgentChange } from "./fact_rules.ts";
import { FactListeners } from "./fact_listeners.ts";
import {
  kindOf,
  type LoggedFact,
  originIdentity,
  OriginLog,
} from "./origin_log.ts";
import { SharedFacts } from "./shared_facts.ts";
import { PublicationLimiter } from "./publication_limiter.ts";
import type {
  FactKind,
  FactValue,
  HeldFact,
  ReplicatedFacts,
} from "./replicated_facts.ts";

/** Time without growth of its log after which an origin expires. */
export const ORIGIN_EXPIRY_MILLISECONDS = 10_000;
/** Interval at which an origin without new facts increments its version as a heartbeat. */
export const ORIGIN_HEARTBEAT_MILLISECONDS = 2000;
const RETRACTION_RETENTION_MILLISECONDS = 3 * ORIGIN_EXPIRY_MILLISECONDS;
const EXPIRED_ORIGIN_RETENTION_MILLISECONDS = 3_600_000;

/** Options of a fact store. */
export interface FactStoreOptions {
  readonly node: string;
  readonly nodeStart: string;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Receives the changes that must be sent to peers. */
export interface ReplicationListener {
  /** Called when the log of an origin has grown. */
  onOriginGrown(log: OriginLog, urgent: boolean): void;
  /** Called with each new or changed fact that belongs to no origin. */
  onSharedChanged(fact: Fact): void;
}

/** Log that lacks facts of its origin and must therefore be requested from a peer. */
export interface IncompleteLog {
  readonly origin: string;
  /** Start identity of the origin's process. */
  readonly start: string;
  /** Version up to which no fact is missing. */
  readonly through: number;
}

/** Holds all replicated facts of a node: its own, those of other origins, and those that belong to no origin. */
export class FactStore implements ReplicatedFacts {
  readonly #options: FactStoreOptions;
  readonly #ownLog: OriginLog;
  readonly #logs = new Map<string, OriginLog>();
  readonly #shared = new SharedFacts();
  readonly #listenersByKind = new FactListeners();
  readonly #replicationListeners = new Set<ReplicationListener>();
  readonly #limiter: PublicationLimiter;
  #version = 0;

  /** @param options - Identity of this node, its clock and log. */
  constructor(options: FactStoreOptions) {
    this.#options = options;
    this.#limiter = new PublicationLimiter(options.clock);
    const { node, nodeStart, clock } = options;
    this.#ownLog = new OriginLog(node, nodeStart, clock.monotonic());
    this.#logs.set(this.#ownLog.identity, this.#ownLog);
  }

  /**
   * Publishes a fact of this node, or defers it until the minimum interval of its kind has elapsed.
   */
  publish<Kind extends FactKind>(
    kind: Kind,
    key: string,
    value: FactValue<Kind>,
  ): void {
    const content = { case: kind, value } as Fact["value"];
    if (isShared(kind)) {
      this.#mergeShared(this.#createFact(key, content));
      return;
    }
    if (!this.#limiter.admit(kind, key, content)) return;
    this.#putInOwnLog(key, content);
  }

  /** Retracts a fact of this node. */
  retract(kind: FactKind, key: string): void {
    invariant(!isShared(kind), `Facts of kind ${kind} can't be retracted`);
    this.#limiter.remove(kind, key);
    if (this.#ownLog.get(kind, key) === undefined) return;
    this.#putInOwnLog(key, {
      case: "retraction",
      value: { $typeName: "snipepath.v1.Retraction", kind },
    });
  }

  /**
   * Publishes the deferred facts that are due; increments the version as a heartbeat if a heartbeat
   * is due.
   */
  publishDue(): void {
    const due = this.#limiter.takeDue();
    for (const { key, content } of due) this.#putInOwnLog(key, content);
    const idleMilliseconds = this.#options.clock.monotonic() -
      this.#ownLog.grownAt;
    if (idleMilliseconds < ORIGIN_HEARTBEAT_MILLISECONDS) return;
    this.#growOwnLog(false);
  }

  /** Returns all held facts of a kind. */
  facts<Kind extends FactKind>(kind: Kind): ReadonlyArray<HeldFact<Kind>> {
    if (isShared(kind)) return this.#shared.ofKind(kind);
    const held: HeldFact<Kind>[] = [];
    for (const log of this.#logs.values()) {
      for (const logged of log.facts()) {
        if (logged.fact.value.case !== kind) continue;
        held.push(toHeldFact(logged) as unknown as HeldFact<Kind>);
      }
    }
    return held;
  }

  /** Returns the value that this node publishes under a kind and key. */
  ownValue<Kind extends FactKind>(
    kind: Kind,
    key: string,
  ): FactValue<Kind> | undefined {
    const content = this.#ownLog.get(kind, key)?.fact.value;
    if (content?.case !== kind) return undefined;
    return content.value as unknown as FactValue<Kind> | undefined;
  }

  /** Calls a listener with each new or changed fact of a kind; returns a function that removes the listener. */
  watch<Kind extends FactKind>(
    kind: Kind,
    listener: (fact: HeldFact<Kind>) => void,
  ): () => void {
    return this.#listenersByKind.watch(kind, listener);
  }

  /** Calls a listener with each removed fact of a kind; returns a function that removes the listener. */
  watchRemovals<Kind extends FactKind>(
    kind: Kind,
    listener: (fact: HeldFact<Kind>) => void,
  ): () => void {
    return this.#listenersByKind.watchRemovals(kind, listener);
  }

  /** Adds a listener to the changes that must be sent to peers; returns a function that removes the listener. */
  listen(listener: ReplicationListener): () => void {
    this.#replicationListeners.add(listener);
    return () => this.#replicationListeners.delete(listener);
  }

  /** Returns the logs of all origins, expired ones included. */
  logs(): Iterable<OriginLog> {
    return this.#logs.values();
  }

  /** Returns the log of one incarnation of a node by its identity. */
  log(identity: string): OriginLog | undefined {
    return this.#logs.get(identity);
  }

  /** Returns the time since an origin's log last grew, in milliseconds; infinite for an unknown or expired origin. */
  originAgeMilliseconds(origin: string, start: string): number {
    const log = this.#logs.get(originIdentity(origin, start));
    if (log === undefined || log.isExpired) return Infinity;
    if (log === this.#ownLog) return 0;
    return this.#options.clock.monotonic() - log.grownAt;
  }

  /** Returns the facts that belong to no origin. */
  sharedFacts(): ReadonlyArray<Fact> {
    return this.#shared.all();
  }

  /** Returns a digest of the facts that belong to no origin. */
  sharedDigest(): number {
    return this.#shared.digest();
  }

  /**
   * Applies a batch received from a peer.
   * @returns The logs that must be requested, because facts before a received range are missing.
   */
  applyBatch(batch: FactBatch): ReadonlyArray<IncompleteLog> {
    const rejected = new Map<string, number>();
    const urgent = new Set<string>();
    const ranges = this.#selectValidRanges(batch.ranges);
    for (const fact of batch.facts) {
      const reason = this.#applyFact(fact, urgent);
      if (reason === undefined) continue;
      rejected.set(reason, (rejected.get(reason) ?? 0) + 1);
    }
    for (const [reason, count] of rejected) {
      this.#options.log.emit("factsRejected", { count, reason });
    }
    return ranges.flatMap((range) => this.#applyRange(range, urgent));
  }

  /**
   * Expires the origins whose logs have not grown for ORIGIN_EXPIRY_MILLISECONDS; removes old
   * retractions, and the logs of origins that expired long ago.
   */
  expireOrigins(): void {
    const now = this.#options.clock.monotonic();
    this.#ownLog.removeRetractions(now - RETRACTION_RETENTION_MILLISECONDS);
    for (const log of this.#logs.values()) {
      if (log === this.#ownLog) continue;
      const idleMilliseconds = now - log.grownAt;
      log.removeRetractions(now - RETRACTION_RETENTION_MILLISECONDS);
      if (!log.isExpired && idleMilliseconds > ORIGIN_EXPIRY_MILLISECONDS) {
        this.#expire(log);
      }
      if (idleMilliseconds > EXPIRED_ORIGIN_RETENTION_MILLISECONDS) {
        this.#logs.delete(log.identity);
      }
    }
  }

  #expire(log: OriginLog): void {
    const { origin, start } = log;
    this.#options.log.emit("originExpired", {
      node: origin,
      nodeStart: start,
    });
    for (const logged of log.expire()) this.#notifyRemoval(logged);
  }

  #selectValidRanges(
    ranges: ReadonlyArray<OriginRange>,
  ): ReadonlyArray<OriginRange> {
    return ranges.filter((range) =>
      isValidName(range.origin) && isValidName(range.originStart) &&
      isValidVersion(range.through) && range.from < range.through &&
      originIdentity(range.origin, range.originStart) !==
        this.#ownLog.identity &&
      this.#prepareLog(range)
    );
  }

  /**
   * Creates or reactivates the log of a range where needed; returns whether the range may extend
   * the log.
   */
  #prepareLog(range: OriginRange): boolean {
    const grownAt = this.#options.clock.monotonic() - range.ageMilliseconds;
    const identity = originIdentity(range.origin, range.originStart);
    const held = this.#logs.get(identity);
    if (held === undefined) {
      if (this.#logs.size >= MAXIMUM_ORIGINS) return false;
      const log = new OriginLog(range.origin, range.originStart, grownAt);
      log.isExpired = range.ended;
      this.#logs.set(identity, log);
      return true;
    }
    if (range.ended) return true;
    if (Number(range.through) <= held.through) return false;
    if (held.isExpired) held.reactivate();
    return true;
  }

  #applyFact(fact: Fact, urgent: Set<string>): string | undefined {
    const reason = factRejectionReason(fact);
    if (reason !== undefined) return reason;
    const kind = kindOf(fact);
    if (kind === undefined) return "kind of fact is unknown";
    if (isShared(kind)) return this.#applyShared(fact);
    const log = this.#logs.get(originIdentity(fact.origin, fact.originStart));
    if (log === this.#ownLog) return undefined;
    if (log === undefined) {
      return "batch has no range for the origin of the fact";
    }
    const outlivesOrigin = FACT_RULES[kind].scope === "originKept";
    if (log.isExpired && !outlivesOrigin) return undefined;
    const held = log.get(kind, fact.key);
    if (held === undefined && log.size >= MAXIMUM_FACTS_OF_ORIGIN) {
      return "origin has too many facts";
    }
    const put = log.put(fact, this.#options.clock.monotonic());
    if (put === undefined) return undefined;
    if (isUrgentChange(held?.fact.value, fact.value)) urgent.add(log.identity);
    this.#notify(put, held);
    return undefined;
  }

  #applyShared(fact: Fact): string | undefined {
    if (fact.value.case === "retraction") {
      return "fact of a shared kind can't be retracted";
    }
    return this.#mergeShared(fact);
  }

  #mergeShared(fact: Fact): string | undefined {
    const now = this.#options.clock.monotonic();
    const outcome = this.#shared.merge(fact, now);
    if (outcome.kind === "full") return "too many shared facts";
    if (outcome.kind === "unchanged") return undefined;
    this.#listenersByKind.notify(kindOf(fact) as FactKind, outcome.held);
    for (const listener of this.#replicationListeners) {
      listener.onSharedChanged(outcome.fact);
    }
    return undefined;
  }

  #applyRange(
    range: OriginRange,
    urgent: ReadonlySet<string>,
  ): ReadonlyArray<IncompleteLog> {
    const identity = originIdentity(range.origin, range.originStart);
    const log = this.#logs.get(identity);
    if (log === undefined) return [];
    if (range.ended) {
      if (log.isExpired) {
        log.completeThrough(Number(range.through), log.grownAt);
      }
      return [];
    }
    if (Number(range.from) > log.through) {
      return [{ origin: log.origin, start: log.start, through: log.through }];
    }
    const now = this.#options.clock.monotonic();
    log.completeThrough(Number(range.through), now - range.ageMilliseconds);
    this.#notifyGrown(log, urgent.has(identity));
    return [];
  }

  #createFact(key: string, content: Fact["value"]): Fact {
    this.#version += 1;
    return create(FactSchema, {
      origin: this.#ownLog.origin,
      originStart: this.#ownLog.start,
      version: BigInt(this.#version),
      key,
      value: content,
    });
  }

  #putInOwnLog(key: string, content: Fact["value"]): void {
    const fact = this.#createFact(key, content);
    const kind = kindOf(fact);
    invariant(kind !== undefined, "A published fact must have a kind");
    const held = this.#ownLog.get(kind, key);
    if (held === undefined && this.#ownLog.size >= MAXIMUM_FACTS_OF_ORIGIN) {
      const reason = "this node publishes too many facts";
      this.#options.log.emit("factsRejected", { count: 1, reason });
      return;
    }
    const now = this.#options.clock.monotonic();
    const put = this.#ownLog.put(fact, now);
    this.#growOwnLog(isUrgentChange(held?.fact.value, fact.value));
    if (put !== undefined) this.#notify(put, held);
  }

  #growOwnLog(urgent: boolean): void {
    const isNewVersion = this.#version > this.#ownLog.through;
    if (!isNewVersion) this.#version += 1;
    const now = this.#options.clock.monotonic();
    this.#ownLog.completeThrough(this.#version, now);
    this.#notifyGrown(this.#ownLog, urgent);
  }

  #notifyGrown(log: OriginLog, urgent: boolean): void {
    for (const listener of this.#replicationListeners) {
      listener.onOriginGrown(log, urgent);
    }
  }

  #notify(logged: LoggedFact, before: LoggedFact | undefined): void {
    const kind = logged.fact.value.case;
    if (kind !== undefined && kind !== "retraction") {
      this.#listenersByKind.notify(kind, toHeldFact(logged));
      return;
    }
    if (before !== undefined) this.#notifyRemoval(before);
  }

  #notifyRemoval(logged: LoggedFact): void {
    const kind = logged.fact.value.case;
    if (kind === undefined || kind === "retraction") return;
    this.#listenersByKind.notifyRemoval(kind, toHeldFact(logged));
  }
}

function toHeldFact({ fact, receivedAt }: LoggedFact): HeldFact<FactKind> {
  return {
    origin: fact.origin,
    originStart: fact.originStart,
    key: fact.key,
    value: fact.value.value as FactValue<FactKind>,
    receivedAt,
  };
}
