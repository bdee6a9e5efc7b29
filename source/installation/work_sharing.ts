import { createHash } from "node:crypto";
import {
  countAhead,
  decayUse,
  type OwnRequest,
  RecentUse,
  type ServiceUse,
} from "../decisions/fair_order.ts";
import { leavesSlots } from "../decisions/slot_share.ts";
import type { Clock } from "../utilities/clock.ts";
import { toWorkTuple, type WorkEntry, type WorkRecord } from "./work_record.ts";

/**
 * Largest length of the record in a heartbeat. Each node reads up to 120 heartbeats a second, so
 * this is 14 KB a second if something waits at all nodes.
 */
const MAXIMUM_RECORD_BYTES = 120;
/** Names up to this length are published as they are, longer ones by a digest of it. */
const SHORT_NAME_LENGTH = 8;
/** Number of heartbeat intervals without a new record after which what it says waits is ignored. */
const VALID_INTERVALS = 2;
/**
 * Time for which claims are ignored that were not used. Slots are left for at most 1 s, so claims of a
 * node that can't use them cost at most a tenth of the slots.
 */
const IGNORED_MILLISECONDS = 10_000;
/** Sequence numbers that are used before they start again. */
const SEQUENCE_NUMBERS = 100;

/** Requests of one rank and organisation that wait at this node. */
export interface WaitingWork {
  readonly service: string;
  /** Rank after ageing; a lower one goes first. */
  readonly level: number;
  readonly organisation: string;
  /**
   * Whether other nodes can leave slots to them; not if they may use only some of the servers, as
   * others would leave the wrong ones.
   */
  readonly isClaiming: boolean;
}

/** The work of another node, as it published it. */
export interface NodeWork {
  readonly node: string;
  /** Interval between two of the node's heartbeats, in milliseconds. */
  readonly heartbeatMilliseconds: number;
  readonly work?: WorkRecord | undefined;
}

interface KnownWork {
  readonly record: WorkRecord;
  readonly receivedAt: number;
  readonly validUntil: number;
}

/** Dependencies of the sharing of work. */
export interface WorkSharingOptions {
  readonly clock: Pick<Clock, "monotonic">;
  /** Called when this node uses slots that it left to other nodes and that were not taken in time. */
  readonly onClaimIgnored?: (service: string) => void;
}

/**
 * Knows what organisations have used of each service and what waits for it, at this node and, as far
 * as heartbeats tell, at the others. Without heartbeats it knows this node's part alone.
 */
export class WorkSharing {
  readonly #options: WorkSharingOptions;
  readonly #uses = new Map<string, RecentUse>();
  readonly #sources: (() => Iterable<WaitingWork>)[] = [];
  #others = new Map<string, KnownWork>();
  /** Time since which free slots of a service are left to other nodes, by service. */
  readonly #leftSince = new Map<string, number>();
  /** Time until which claims on a service are ignored, by service. */
  readonly #ignoredUntil = new Map<string, number>();
  #sequence = 0;

  /** @param options - The clock and the listener. */
  constructor(options: WorkSharingOptions) {
    this.#options = options;
  }

  /** Adds a source of waiting work. */
  addSource(listWaiting: () => Iterable<WaitingWork>): void {
    this.#sources.push(listWaiting);
  }

  /** Records slot time that an organisation used at this node. */
  recordUse(
    service: string,
    { organisation, milliseconds }: {
      readonly organisation: string;
      readonly milliseconds: number;
    },
  ): void {
    const use = this.#uses.get(service) ?? new RecentUse();
    this.#uses.set(service, use);
    const now = this.#options.clock.monotonic();
    use.add(toShortName(organisation), { milliseconds, now });
  }

  /**
   * Returns the recent use of a service at all nodes, as it is now.
   * @param service - The service.
   * @param costMilliseconds - Usual slot time of a request.
   */
  toServiceUse(service: string, costMilliseconds: number): ServiceUse {
    const uses = this.listUse(service);
    return {
      useOf: (organisation) => uses.get(toShortName(organisation)) ?? 0,
      costMilliseconds,
    };
  }

  /** Returns the recent use of a service by organisation at all nodes, by short name. */
  listUse(service: string): ReadonlyMap<string, number> {
    const now = this.#options.clock.monotonic();
    const uses = new Map(this.#uses.get(service)?.list(now));
    for (const { record, receivedAt } of this.#others.values()) {
      for (const { organisation, use } of record.services.get(service) ?? []) {
        const milliseconds = decayUse(use, now - receivedAt);
        uses.set(organisation, (uses.get(organisation) ?? 0) + milliseconds);
      }
    }
    return uses;
  }

  /** Services with recent use at this node. */
  get services(): ReadonlyArray<string> {
    return [...this.#uses.keys()];
  }

  /**
   * Returns what to publish: what waits at this node, the most urgent and least served first, and the
   * organisations with the largest use, as far as the record has room. Undefined while nothing waits
   * for the services that this node uses.
   */
  toRecord(): WorkRecord | undefined {
    const waiting = this.#countWaiting();
    const now = this.#options.clock.monotonic();
    const names = [...new Set([...waiting.keys(), ...this.#uses.keys()])]
      .filter((service) => waiting.has(service) || this.#hasWaiting(service));
    const lists = names.map((service) => ({
      service,
      entries: orderEntries(
        waiting.get(service) ?? new Map(),
        this.#uses.get(service)?.list(now) ?? new Map(),
        this.listUse(service),
      ),
    })).filter(({ entries }) => entries.length > 0);
    if (lists.length === 0) return undefined;
    this.#sequence = (this.#sequence + 1) % SEQUENCE_NUMBERS;
    return toBoundedRecord(this.#sequence, lists);
  }

  /** Applies the latest records of all other nodes. */
  apply(news: ReadonlyArray<NodeWork>): void {
    const now = this.#options.clock.monotonic();
    const others = new Map<string, KnownWork>();
    for (const { node, heartbeatMilliseconds, work } of news) {
      if (work === undefined) continue;
      const known = this.#others.get(node);
      others.set(
        node,
        known?.record.sequence === work.sequence ? known : {
          record: work,
          receivedAt: now,
          validUntil: now + VALID_INTERVALS * heartbeatMilliseconds,
        },
      );
    }
    this.#others = others;
  }

  /** Returns the number of requests at other nodes that go before one of this node. */
  countAhead(
    service: string,
    own: OwnRequest,
    use: ServiceUse,
  ): number {
    if (this.#others.size === 0) return 0;
    const now = this.#options.clock.monotonic();
    const elsewhere = [...this.#others.values()]
      .filter(({ validUntil }) => now <= validUntil)
      .flatMap(({ record }) => record.services.get(service) ?? [])
      .filter(({ waiting }) => waiting > 0);
    const organisation = toShortName(own.organisation);
    return countAhead({ ...own, organisation }, elsewhere, use);
  }

  /**
   * Decides whether free slots of a service are left to other nodes. When these do not take them in
   * time, their claims are ignored for a while, as something keeps them from using the slots.
   * @param service - The service.
   * @param slots - Number of free slots, and of requests at other nodes that go before.
   */
  leavesSlots(
    service: string,
    slots: { readonly free: number; readonly ahead: number },
  ): boolean {
    const now = this.#options.clock.monotonic();
    if (slots.free <= 0 || slots.ahead === 0) this.#leftSince.delete(service);
    if (slots.free <= 0 || now < (this.#ignoredUntil.get(service) ?? 0)) {
      return false;
    }
    const since = this.#leftSince.get(service) ?? now;
    const leftMilliseconds = now - since;
    if (leavesSlots({ ...slots, leftMilliseconds })) {
      this.#leftSince.set(service, since);
      return true;
    }
    if (slots.free <= slots.ahead) this.#ignoreClaims(service, now);
    return false;
  }

  #ignoreClaims(service: string, now: number): void {
    this.#leftSince.delete(service);
    this.#ignoredUntil.set(service, now + IGNORED_MILLISECONDS);
    this.#options.onClaimIgnored?.(service);
  }

  #hasWaiting(service: string): boolean {
    return [...this.#others.values()].some(({ record }) =>
      record.services.get(service)?.some(({ waiting }) => waiting > 0) === true
    );
  }

  #countWaiting(): Map<string, Map<string, WorkEntry>> {
    const byService = new Map<string, Map<string, WorkEntry>>();
    for (const listWaiting of this.#sources) {
      for (const work of listWaiting()) {
        const entries = byService.get(work.service) ?? new Map();
        byService.set(work.service, entries);
        const organisation = toShortName(work.organisation);
        const key = `${work.level}/${organisation}`;
        const entry = entries.get(key);
        entries.set(key, {
          level: work.level,
          organisation,
          waiting: (entry?.waiting ?? 0) + Number(work.isClaiming),
          use: 0,
        });
      }
    }
    return byService;
  }
}

/**
 * Returns the name by which nodes publish an organisation: its own name or, for a long one, a digest,
 * so that the length of records is bounded.
 * @example
 * ```ts
 * const name = toShortName("organisation-with-a-long-name");
 * ```
 */
export function toShortName(organisation: string): string {
  if (organisation.length <= SHORT_NAME_LENGTH) return organisation;
  return createHash("sha1").update(organisation).digest("base64url")
    .slice(0, SHORT_NAME_LENGTH);
}

// Alternates between what waits, the most urgent and least served first, and the largest uses. An
// organisation's use is named once.
function orderEntries(
  waiting: ReadonlyMap<string, WorkEntry>,
  own: ReadonlyMap<string, number>,
  total: ReadonlyMap<string, number>,
): ReadonlyArray<WorkEntry> {
  const useOf = ({ organisation }: WorkEntry): number =>
    total.get(organisation) ?? 0;
  const claims = [...waiting.values()].sort((left, right) =>
    left.level - right.level || useOf(left) - useOf(right)
  );
  const lowest = claims[0]?.level ?? 0;
  const largest = [...own].sort(([, left], [, right]) => right - left)
    .map(([organisation]) =>
      claims.find((claim) => claim.organisation === organisation) ??
        { level: lowest, organisation, waiting: 0, use: 0 }
    );
  const ordered = new Set<WorkEntry>();
  const count = Math.max(claims.length, largest.length);
  for (let index = 0; index < count; index += 1) {
    for (const entry of [claims[index], largest[index]]) {
      if (entry !== undefined) ordered.add(entry);
    }
  }
  const named = new Set<string>();
  return [...ordered].map((entry) => {
    const { organisation } = entry;
    const use = named.has(organisation) ? 0 : own.get(organisation) ?? 0;
    named.add(organisation);
    return { ...entry, use };
  });
}

// Adds the entries of all services in turn until the record is full.
function toBoundedRecord(
  sequence: number,
  lists: ReadonlyArray<
    {
      readonly service: string;
      readonly entries: ReadonlyArray<WorkEntry>;
    }
  >,
): WorkRecord {
  const services = new Map<string, WorkEntry[]>();
  const longest = Math.max(...lists.map(({ entries }) => entries.length));
  for (let index = 0; index < longest; index += 1) {
    for (const { service, entries } of lists) {
      const entry = entries[index];
      if (entry === undefined) continue;
      const kept = services.get(service) ?? [];
      services.set(service, [...kept, entry]);
      const tuple = toWorkTuple({ sequence, services });
      if (Buffer.byteLength(JSON.stringify(tuple)) <= MAXIMUM_RECORD_BYTES) {
        continue;
      }
      if (kept.length === 0) services.delete(service);
      else services.set(service, kept);
      return { sequence, services };
    }
  }
  return { sequence, services };
}
