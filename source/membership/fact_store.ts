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
  factFault,
  isName,
  isVersion,
  MAXIMUM_FACTS_OF_ORIGIN,
  MAXIMUM_ORIGINS,
} from "./fact_limits.ts";
import { FACT_RULES, isShared, isUrgentChange } from "./fact_rules.ts";
import { FactWatchers } from "./fact_watchers.ts";
import {
  kindOf,
  type LoggedFact,
  originIdentity,
  OriginLog,
} from "./origin_log.ts";
import { SharedFacts } from "./shared_facts.ts";
import { TellingLimiter } from "./telling_limiter.ts";
import type { FactKind, FactValue, HeldFact, ToldState } from "./told_state.ts";

/** Time without growth of its log after which an origin is dead. */
export const ORIGIN_EXPIRY_MILLISECONDS = 10_000;
/** Time between two signs of life of an origin that has nothing to tell. */
export const ORIGIN_BEAT_MILLISECONDS = 2000;
const RETRACTION_KEPT_MILLISECONDS = 3 * ORIGIN_EXPIRY_MILLISECONDS;
const DEAD_ORIGIN_KEPT_MILLISECONDS = 3_600_000;

/** What a fact store needs. */
export interface FactStoreOptions {
  readonly node: string;
  readonly nodeStart: string;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Gets word of changes, to send them on. */
export interface FactStoreListener {
  /** An origin's log grew. */
  onOriginGrown(log: OriginLog, urgent: boolean): void;
  /** A fact that belongs to no origin is new or changed. */
  onSharedChanged(fact: Fact): void;
}

/** A part of an origin's log that must be asked for again. */
export interface MissingPart {
  readonly origin: string;
  readonly start: string;
  readonly through: number;
}

/** All facts that a node holds: its own, those of other origins, and shared ones. */
export class FactStore implements ToldState {
  readonly #options: FactStoreOptions;
  readonly #own: OriginLog;
  readonly #logs = new Map<string, OriginLog>();
  readonly #shared = new SharedFacts();
  readonly #watchers = new FactWatchers();
  readonly #listeners = new Set<FactStoreListener>();
  readonly #limiter: TellingLimiter;
  #version = 0;

  /** @param options - Identity of this node, its clock and log. */
  constructor(options: FactStoreOptions) {
    this.#options = options;
    this.#limiter = new TellingLimiter(options.clock);
    const { node, nodeStart, clock } = options;
    this.#own = new OriginLog(node, nodeStart, clock.monotonic());
    this.#logs.set(this.#own.identity, this.#own);
  }

  /** Tells a fact in this node's name. */
  tell<Kind extends FactKind>(
    kind: Kind,
    key: string,
    value: FactValue<Kind>,
  ): void {
    const content = { case: kind, value } as Fact["value"];
    if (isShared(kind)) {
      this.#takeShared(this.#createFact(key, content));
      return;
    }
    if (!this.#limiter.admit(kind, key, content)) return;
    this.#putOwn(key, content);
  }

  /** Stops telling a fact. */
  retract(kind: FactKind, key: string): void {
    invariant(!isShared(kind), `Facts of kind ${kind} can't be retracted`);
    this.#limiter.forget(kind, key);
    if (this.#own.get(kind, key) === undefined) return;
    this.#putOwn(key, {
      case: "retraction",
      value: { $typeName: "snipepath.v1.Retraction", kind },
    });
  }

  /** Tells facts that waited for their shortest interval, and a sign of life when there were none. */
  tellDue(): void {
    const due = this.#limiter.takeDue();
    for (const { key, content } of due) this.#putOwn(key, content);
    const quiet = this.#options.clock.monotonic() - this.#own.heardAt;
    if (quiet < ORIGIN_BEAT_MILLISECONDS) return;
    this.#growOwn(false);
  }

  /** Returns all held facts of a kind. */
  facts<Kind extends FactKind>(kind: Kind): ReadonlyArray<HeldFact<Kind>> {
    if (isShared(kind)) return this.#shared.held(kind);
    const held: HeldFact<Kind>[] = [];
    for (const log of this.#logs.values()) {
      for (const logged of log.facts()) {
        if (logged.fact.value.case !== kind) continue;
        held.push(toHeldFact(logged) as unknown as HeldFact<Kind>);
      }
    }
    return held;
  }

  /** Returns what this node tells under a kind and key. */
  ownValue<Kind extends FactKind>(
    kind: Kind,
    key: string,
  ): FactValue<Kind> | undefined {
    const content = this.#own.get(kind, key)?.fact.value;
    if (content?.case !== kind) return undefined;
    return content.value as unknown as FactValue<Kind> | undefined;
  }

  /** Calls a listener with each new or changed fact of a kind. */
  watch<Kind extends FactKind>(
    kind: Kind,
    listener: (fact: HeldFact<Kind>) => void,
  ): () => void {
    return this.#watchers.watch(kind, listener);
  }

  /** Calls a listener with the facts of a kind that end. */
  watchEnds<Kind extends FactKind>(
    kind: Kind,
    listener: (fact: HeldFact<Kind>) => void,
  ): () => void {
    return this.#watchers.watchEnds(kind, listener);
  }

  /** Calls a listener with what must be sent on. */
  listen(listener: FactStoreListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Returns the logs of all origins, dead ones included. */
  logs(): Iterable<OriginLog> {
    return this.#logs.values();
  }

  /** Returns the log of one process of a node. */
  log(identity: string): OriginLog | undefined {
    return this.#logs.get(identity);
  }

  /** Returns the time since an origin's log last grew, in milliseconds; infinite for an unknown one. */
  originAge(origin: string, start: string): number {
    const log = this.#logs.get(originIdentity(origin, start));
    if (log === undefined || log.isDead) return Infinity;
    if (log === this.#own) return 0;
    return this.#options.clock.monotonic() - log.heardAt;
  }

  /** Returns the facts without an origin. */
  sharedFacts(): ReadonlyArray<Fact> {
    return this.#shared.all();
  }

  /** Returns a digest of the facts without an origin. */
  sharedDigest(): number {
    return this.#shared.digest();
  }

  /**
   * Takes over what a peer sent.
   * @returns The parts that must be asked for, because earlier facts are missing.
   */
  applyBatch(batch: FactBatch): ReadonlyArray<MissingPart> {
    const rejected = new Map<string, number>();
    const urgent = new Set<string>();
    const ranges = this.#usableRanges(batch.ranges);
    for (const fact of batch.facts) {
      const fault = this.#applyFact(fact, urgent);
      if (fault === undefined) continue;
      rejected.set(fault, (rejected.get(fault) ?? 0) + 1);
    }
    for (const [reason, count] of rejected) {
      this.#options.log.emit("factsRejected", { count, reason });
    }
    return ranges.flatMap((range) => this.#applyRange(range, urgent));
  }

  /** Drops the facts of origins that told nothing for too long. */
  expireOrigins(): void {
    const now = this.#options.clock.monotonic();
    this.#own.dropRetractions(now - RETRACTION_KEPT_MILLISECONDS);
    for (const log of this.#logs.values()) {
      if (log === this.#own) continue;
      const quiet = now - log.heardAt;
      log.dropRetractions(now - RETRACTION_KEPT_MILLISECONDS);
      if (!log.isDead && quiet > ORIGIN_EXPIRY_MILLISECONDS) this.#expire(log);
      if (quiet > DEAD_ORIGIN_KEPT_MILLISECONDS) {
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
    for (const logged of log.expire()) this.#notifyEnd(logged);
  }

  #usableRanges(
    ranges: ReadonlyArray<OriginRange>,
  ): ReadonlyArray<OriginRange> {
    return ranges.filter((range) =>
      isName(range.origin) && isName(range.originStart) &&
      isVersion(range.through) && range.from < range.through &&
      originIdentity(range.origin, range.originStart) !== this.#own.identity &&
      this.#openLog(range)
    );
  }

  /** Returns whether the range may grow a log; creates or revives the log where needed. */
  #openLog(range: OriginRange): boolean {
    const heardAt = this.#options.clock.monotonic() - range.ageMilliseconds;
    const identity = originIdentity(range.origin, range.originStart);
    const held = this.#logs.get(identity);
    if (held === undefined) {
      if (this.#logs.size >= MAXIMUM_ORIGINS) return false;
      const log = new OriginLog(range.origin, range.originStart, heardAt);
      log.isDead = range.ended;
      this.#logs.set(identity, log);
      return true;
    }
    if (range.ended) return true;
    if (Number(range.through) <= held.through) return false;
    if (held.isDead) held.revive();
    return true;
  }

  #applyFact(fact: Fact, urgent: Set<string>): string | undefined {
    const fault = factFault(fact);
    if (fault !== undefined) return fault;
    const kind = kindOf(fact);
    if (kind === undefined) return "unknown kind";
    if (isShared(kind)) return this.#applyShared(fact);
    const log = this.#logs.get(originIdentity(fact.origin, fact.originStart));
    if (log === this.#own) return undefined;
    if (log === undefined) return "origin without a range";
    const isKept = FACT_RULES[kind].scope === "originKept";
    if (log.isDead && !isKept) return undefined;
    const held = log.get(kind, fact.key);
    if (held === undefined && log.size >= MAXIMUM_FACTS_OF_ORIGIN) {
      return "too many facts of one origin";
    }
    const put = log.put(fact, this.#options.clock.monotonic());
    if (put === undefined) return undefined;
    if (isUrgentChange(held?.fact.value, fact.value)) urgent.add(log.identity);
    this.#notify(put, held);
    return undefined;
  }

  #applyShared(fact: Fact): string | undefined {
    if (fact.value.case === "retraction") return "retraction of a shared fact";
    return this.#takeShared(fact);
  }

  #takeShared(fact: Fact): string | undefined {
    const now = this.#options.clock.monotonic();
    const outcome = this.#shared.join(fact, now);
    if (outcome.kind === "full") return "too many shared facts";
    if (outcome.kind === "unchanged") return undefined;
    this.#watchers.notify(kindOf(fact) as FactKind, outcome.held);
    for (const listener of this.#listeners) {
      listener.onSharedChanged(outcome.fact);
    }
    return undefined;
  }

  #applyRange(
    range: OriginRange,
    urgent: ReadonlySet<string>,
  ): ReadonlyArray<MissingPart> {
    const identity = originIdentity(range.origin, range.originStart);
    const log = this.#logs.get(identity);
    if (log === undefined) return [];
    if (range.ended) {
      if (log.isDead) log.completeThrough(Number(range.through), log.heardAt);
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
      origin: this.#own.origin,
      originStart: this.#own.start,
      version: BigInt(this.#version),
      key,
      value: content,
    });
  }

  #putOwn(key: string, content: Fact["value"]): void {
    const fact = this.#createFact(key, content);
    const kind = kindOf(fact);
    invariant(kind !== undefined, "A told fact must have a kind");
    const held = this.#own.get(kind, key);
    if (held === undefined && this.#own.size >= MAXIMUM_FACTS_OF_ORIGIN) {
      const reason = "too many facts of this node";
      this.#options.log.emit("factsRejected", { count: 1, reason });
      return;
    }
    const now = this.#options.clock.monotonic();
    const put = this.#own.put(fact, now);
    this.#growOwn(isUrgentChange(held?.fact.value, fact.value));
    if (put !== undefined) this.#notify(put, held);
  }

  #growOwn(urgent: boolean): void {
    const isNewVersion = this.#version > this.#own.through;
    if (!isNewVersion) this.#version += 1;
    const now = this.#options.clock.monotonic();
    this.#own.completeThrough(this.#version, now);
    this.#notifyGrown(this.#own, urgent);
  }

  #notifyGrown(log: OriginLog, urgent: boolean): void {
    for (const listener of this.#listeners) {
      listener.onOriginGrown(log, urgent);
    }
  }

  #notify(logged: LoggedFact, before: LoggedFact | undefined): void {
    const kind = logged.fact.value.case;
    if (kind !== undefined && kind !== "retraction") {
      this.#watchers.notify(kind, toHeldFact(logged));
      return;
    }
    if (before !== undefined) this.#notifyEnd(before);
  }

  #notifyEnd(logged: LoggedFact): void {
    const kind = logged.fact.value.case;
    if (kind === undefined || kind === "retraction") return;
    this.#watchers.notifyEnd(kind, toHeldFact(logged));
  }
}

function toHeldFact({ fact, heardAt }: LoggedFact): HeldFact<FactKind> {
  return {
    origin: fact.origin,
    originStart: fact.originStart,
    key: fact.key,
    value: fact.value.value as FactValue<FactKind>,
    heardAt,
  };
}
