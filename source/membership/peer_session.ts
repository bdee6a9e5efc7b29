import { create } from "@bufbuild/protobuf";
import {
  type Fact,
  type FactBatch,
  type FactSummary,
  FactSummarySchema,
  type Heartbeat,
  HeartbeatSchema,
  type Hello,
  type OriginRange,
  type OriginVersion,
  OriginVersionSchema,
  type PeerMessage,
  PeerMessageSchema,
} from "../../generated/snipepath/v1/peer_pb.ts";
import type { Clock } from "../utilities/clock.ts";
import { FactDecoder } from "./fact_decoder.ts";
import { FactEncoder, type LogPart } from "./fact_encoder.ts";
import type { Feed, FeedTree } from "./feed_tree.ts";
import type { FactStore } from "./fact_store.ts";
import type { KeyFreshness } from "./key_freshness.ts";
import { originIdentity, type OriginLog } from "./origin_log.ts";

/** Shortest time between two batches on one stream, in milliseconds. */
export const BATCH_INTERVAL_MILLISECONDS = 100;
const MAXIMUM_BATCH_PARTS = 200;
const NEGLIGIBLE_AGE_MILLISECONDS = 500;
const MAXIMUM_SUMMARY_ORIGINS = 4096;
/** Age that stands for "never", below the range of the message's field. */
const MAXIMUM_AGE_MILLISECONDS = 2 ** 31;
const MAXIMUM_OPEN_HEARTBEATS = 64;

/** What a peer session needs. */
export interface PeerSessionOptions {
  readonly store: FactStore;
  readonly freshness: KeyFreshness;
  readonly clock: Clock;
  /** Over which of the node's streams it gets which log. */
  readonly feeds: FeedTree;
  readonly heartbeatMilliseconds: number;
  /** Returns this node's introduction. */
  readonly hello: () => Hello;
  /** Gets the other side's introduction. */
  readonly onHello: (hello: Hello) => void;
}

type Handlers = {
  readonly [
    Case in NonNullable<PeerMessage["content"]["case"]>
  ]: (
    value: Extract<PeerMessage["content"], { readonly case: Case }>["value"],
  ) => void;
};

/** One side of a stream between two nodes: what to send, and what to do with what comes. */
export class PeerSession implements Feed {
  readonly #options: PeerSessionOptions;
  /** Version of each origin's log that the other side holds, as far as known. */
  readonly #known = new Map<string, number>();
  readonly #encoder = new FactEncoder();
  readonly #decoder = new FactDecoder();
  readonly #grown = new Set<string>();
  /** Origins whose grown logs hold an urgent change. */
  readonly #urgent = new Set<string>();
  /** Origins that the other side gets over another stream. */
  readonly #fedElsewhere = new Set<string>();
  readonly #pendingShared = new Map<string, Fact>();
  /** What to ask the other side for, or to tell it to stop sending, by origin. */
  readonly #asks = new Map<string, "send" | "stop">();
  readonly #heartbeatsSentAt = new Map<number, number>();
  readonly #ended = new AbortController();
  #wake = new AbortController();
  #sequence = 0;
  #heardSequence = 0n;
  #sharedDiffered = false;
  #lastHeardAt: number;

  /** @param options - The node's state and clock. */
  constructor(options: PeerSessionOptions) {
    this.#options = options;
    this.#lastHeardAt = options.clock.monotonic();
    for (const fact of options.store.sharedFacts()) this.#queueShared(fact);
  }

  /** Time since the last message of the other side, in milliseconds. */
  get silentMilliseconds(): number {
    return this.#options.clock.monotonic() - this.#lastHeardAt;
  }

  /** Ends the session; the messages stop. */
  end(): void {
    this.#options.feeds.close(this);
    this.#ended.abort();
    this.#wake.abort();
  }

  /** Sends what this node holds and learns until the session ends. */
  async *messages(): AsyncGenerator<PeerMessage> {
    const { store, clock, feeds, heartbeatMilliseconds } = this.#options;
    const unlisten = store.listen({
      onOriginGrown: (log, urgent) => this.#queueOrigin(log, urgent),
      onSharedChanged: (fact) => this.#queueShared(fact),
    });
    feeds.open(this);
    try {
      yield createMessage({ case: "hello", value: this.#options.hello() });
      yield createMessage({ case: "summary", value: this.#completeSummary() });
      let heartbeatAt = -Infinity;
      while (!this.#ended.signal.aborted) {
        this.#wake = new AbortController();
        const isDue = clock.monotonic() - heartbeatAt >= heartbeatMilliseconds;
        if (isDue) heartbeatAt = clock.monotonic();
        yield* this.#takeMessages(isDue);
        if (this.#ended.signal.aborted) break;
        await clock.sleep(BATCH_INTERVAL_MILLISECONDS, this.#wake.signal);
      }
    } finally {
      unlisten();
      feeds.close(this);
    }
  }

  /** Asks the other side to send the log of an origin from now on. */
  ask(identity: string): void {
    this.#asks.set(identity, "send");
  }

  /** Takes facts and heartbeat in one tick, so that a heartbeat never overtakes what it vouches for. */
  #takeMessages(isHeartbeatDue: boolean): ReadonlyArray<PeerMessage> {
    const messages: PeerMessage[] = [];
    if (this.#asks.size > 0) {
      const value = this.#takeAsks();
      messages.push(createMessage({ case: "summary", value }));
    }
    const batch = this.#takeBatch();
    if (batch !== undefined) {
      messages.push(createMessage({ case: "facts", value: batch }));
    }
    if (isHeartbeatDue) {
      const value = this.#heartbeat();
      messages.push(createMessage({ case: "heartbeat", value }));
    }
    return messages;
  }

  /** Takes one message of the other side. */
  receive(message: PeerMessage): void {
    this.#lastHeardAt = this.#options.clock.monotonic();
    const { content } = message;
    if (content.case === undefined) return;
    const handle = this.#handlers[content.case] as (value: unknown) => void;
    handle(content.value);
  }

  readonly #handlers: Handlers = {
    hello: (hello) => this.#options.onHello(hello),
    facts: (batch) => this.#receiveFacts(batch),
    summary: (summary) => this.#receiveSummary(summary),
    heartbeat: (heartbeat) => this.#receiveHeartbeat(heartbeat),
  };

  #receiveFacts(packed: FactBatch): void {
    const batch = this.#decoder.decode(packed);
    for (const range of batch.ranges) {
      const identity = originIdentity(range.origin, range.originStart);
      const through = Number(range.through);
      if (through <= (this.#known.get(identity) ?? 0)) continue;
      this.#noteKnown(identity, through);
    }
    for (const range of batch.ranges) this.#noteFeed(range);
    const missing = this.#options.store.applyBatch(batch);
    for (const fact of batch.facts) this.#dropEcho(fact);
    if (missing.length === 0) return;
    for (const { origin, start } of missing) {
      this.ask(originIdentity(origin, start));
    }
    this.#wake.abort();
  }

  /** A shared fact that came over this stream need not go back over it. */
  #dropEcho(fact: Fact): void {
    const slot = `${fact.value.case}\n${fact.key}`;
    if (this.#pendingShared.get(slot)?.value.value !== fact.value.value) return;
    this.#pendingShared.delete(slot);
  }

  #noteFeed(range: OriginRange): void {
    if (range.ended) return;
    const { feeds, store } = this.#options;
    const identity = originIdentity(range.origin, range.originStart);
    const isNews = Number(range.through) > (store.log(identity)?.through ?? 0);
    if (isNews) feeds.noteNews(identity, this);
    else if (feeds.isSuperfluous(identity, this)) this.#tellToStop(identity);
  }

  #tellToStop(identity: string): void {
    if (!this.#asks.has(identity)) this.#asks.set(identity, "stop");
  }

  #receiveSummary(summary: FactSummary): void {
    if (summary.complete) {
      this.#known.clear();
      this.#fedElsewhere.clear();
    }
    const versions = summary.versions.slice(0, MAXIMUM_SUMMARY_ORIGINS);
    for (const { origin, originStart, version, fedElsewhere } of versions) {
      const identity = originIdentity(origin, originStart);
      this.#noteKnown(identity, Number(version));
      if (!fedElsewhere) this.#fedElsewhere.delete(identity);
      else if (this.#known.has(identity)) this.#fedElsewhere.add(identity);
    }
    for (const log of this.#options.store.logs()) {
      const known = this.#known.get(log.identity) ?? 0;
      if (log.through > known) this.#grown.add(log.identity);
    }
  }

  #receiveHeartbeat(heartbeat: Heartbeat): void {
    const { freshness, store } = this.#options;
    this.#heardSequence = heartbeat.sequence;
    const echoed = Number(heartbeat.echoSequence);
    const sentAt = this.#heartbeatsSentAt.get(echoed);
    if (sentAt !== undefined) {
      freshness.notePeer(sentAt, Number(heartbeat.tableAgeMilliseconds));
      forgetUpTo(this.#heartbeatsSentAt, echoed);
    }
    const differs = heartbeat.sharedDigest !== store.sharedDigest();
    if (differs && this.#sharedDiffered) this.#queueAllShared();
    this.#sharedDiffered = differs && !this.#sharedDiffered;
  }

  #noteKnown(identity: string, through: number): void {
    const isNew = !this.#known.has(identity);
    if (isNew && this.#known.size >= MAXIMUM_SUMMARY_ORIGINS) return;
    this.#known.set(identity, through);
  }

  #queueAllShared(): void {
    for (const fact of this.#options.store.sharedFacts()) {
      this.#queueShared(fact);
    }
  }

  #queueOrigin(log: OriginLog, urgent: boolean): void {
    if (log.through <= (this.#known.get(log.identity) ?? 0)) return;
    this.#grown.add(log.identity);
    if (!urgent) return;
    this.#urgent.add(log.identity);
    this.#wake.abort();
  }

  #queueShared(fact: Fact): void {
    this.#pendingShared.set(`${fact.value.case}\n${fact.key}`, fact);
    this.#wake.abort();
  }

  #takeBatch(): FactBatch | undefined {
    const shared = [...this.#pendingShared.values()];
    this.#pendingShared.clear();
    const parts: LogPart[] = [];
    for (const identity of this.#grown) {
      if (parts.length >= MAXIMUM_BATCH_PARTS) break;
      this.#grown.delete(identity);
      const isUrgent = this.#urgent.delete(identity);
      if (this.#fedElsewhere.has(identity) && !isUrgent) continue;
      const log = this.#options.store.log(identity);
      const known = this.#known.get(identity) ?? 0;
      if (log === undefined || log.through <= known) continue;
      parts.push({ log, from: known, ageMilliseconds: this.#ageOf(log) });
      this.#known.set(identity, log.through);
    }
    if (shared.length === 0 && parts.length === 0) return undefined;
    return this.#encoder.encode(parts, shared);
  }

  /** Ages below the time between two batches count as none, which needs no bytes. */
  #ageOf(log: OriginLog): number {
    if (log.isDead) return 0;
    const age = this.#options.store.originAge(log.origin, log.start);
    if (age < NEGLIGIBLE_AGE_MILLISECONDS) return 0;
    return Math.round(Math.min(age, MAXIMUM_AGE_MILLISECONDS));
  }

  #completeSummary(): FactSummary {
    const versions: OriginVersion[] = [];
    for (const log of this.#options.store.logs()) {
      const isFed = this.#options.feeds.isFed(log.identity);
      versions.push(createOriginVersion(log, isFed));
    }
    return create(FactSummarySchema, { versions, complete: true });
  }

  #takeAsks(): FactSummary {
    const versions: OriginVersion[] = [];
    for (const [identity, wish] of this.#asks) {
      const log = this.#options.store.log(identity);
      if (log === undefined) continue;
      versions.push(createOriginVersion(log, wish === "stop"));
    }
    this.#asks.clear();
    return create(FactSummarySchema, { versions });
  }

  #heartbeat(): Heartbeat {
    const { clock, freshness, store } = this.#options;
    this.#sequence += 1;
    this.#heartbeatsSentAt.set(this.#sequence, clock.monotonic());
    forgetUpTo(
      this.#heartbeatsSentAt,
      this.#sequence - MAXIMUM_OPEN_HEARTBEATS,
    );
    const age = Math.min(freshness.ageMilliseconds(), MAXIMUM_AGE_MILLISECONDS);
    return create(HeartbeatSchema, {
      sequence: BigInt(this.#sequence),
      tableAgeMilliseconds: BigInt(Math.ceil(age)),
      echoSequence: this.#heardSequence,
      sharedDigest: store.sharedDigest(),
    });
  }
}

function createMessage(content: PeerMessage["content"]): PeerMessage {
  return create(PeerMessageSchema, { content });
}

function createOriginVersion(
  log: OriginLog,
  fedElsewhere: boolean,
): OriginVersion {
  return create(OriginVersionSchema, {
    origin: log.origin,
    originStart: log.start,
    // Of a dead origin everything is wanted anew, should the other side hear it.
    version: BigInt(log.isDead ? 0 : log.through),
    fedElsewhere,
  });
}

function forgetUpTo(sentAt: Map<number, number>, sequence: number): void {
  for (const known of sentAt.keys()) {
    if (known <= sequence) sentAt.delete(known);
  }
}
