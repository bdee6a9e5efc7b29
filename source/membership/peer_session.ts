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
import { FactEncoder, type LogRange } from "./fact_encoder.ts";
import type { Feed, FeedSelector } from "./feed_selector.ts";
import type { FactStore } from "./fact_store.ts";
import type { KeyFreshnessTracker } from "./key_freshness_tracker.ts";
import { originIdentity, type OriginLog } from "./origin_log.ts";

/**
 * Time between two batches on one stream, in milliseconds; an urgent change or a fact of no origin
 * is sent earlier.
 */
export const BATCH_INTERVAL_MILLISECONDS = 100;
const MAXIMUM_BATCH_RANGES = 200;
const NEGLIGIBLE_AGE_MILLISECONDS = 500;
const MAXIMUM_SUMMARY_ORIGINS = 4096;
/** Age that represents "never"; it is within the range of the message's field. */
const MAXIMUM_AGE_MILLISECONDS = 2 ** 31;
const MAXIMUM_UNANSWERED_HEARTBEATS = 64;

/** Options of a peer session. */
export interface PeerSessionOptions {
  readonly store: FactStore;
  readonly freshness: KeyFreshnessTracker;
  readonly clock: Clock;
  /** Selects the stream over which this node receives each log. */
  readonly feeds: FeedSelector;
  /** Interval between two heartbeats, in milliseconds. */
  readonly heartbeatMilliseconds: number;
  /** Returns the hello message of this node. */
  readonly hello: () => Hello;
  /** Receives the hello message of the other side. */
  readonly onHello: (hello: Hello) => void;
}

type Handlers = {
  readonly [
    Case in NonNullable<PeerMessage["content"]["case"]>
  ]: (
    value: Extract<PeerMessage["content"], { readonly case: Case }>["value"],
  ) => void;
};

/** One side of a peer stream: creates the messages to send and handles the received messages. */
export class PeerSession implements Feed {
  readonly #options: PeerSessionOptions;
  /** Last known version up to which the other side holds each log, by the log's identity. */
  readonly #remoteVersions = new Map<string, number>();
  readonly #encoder = new FactEncoder();
  readonly #decoder = new FactDecoder();
  /** Identities of the logs that may hold versions which the other side lacks. */
  readonly #grownLogs = new Set<string>();
  /** Identities of the logs that have grown by an urgent change. */
  readonly #urgentLogs = new Set<string>();
  /** Identities of the logs that the other side receives over another stream. */
  readonly #fedElsewhere = new Set<string>();
  /** Facts of no origin to send with the next batch, by kind and key. */
  readonly #pendingShared = new Map<string, Fact>();
  /** Requests to the other side to send a log, or to stop sending it, by the log's identity. */
  readonly #logRequests = new Map<string, "send" | "stop">();
  /** Monotonic time at which each heartbeat was sent, in milliseconds, by its sequence number. */
  readonly #heartbeatsSentAt = new Map<number, number>();
  readonly #ended = new AbortController();
  #wakeUp = new AbortController();
  #sentSequence = 0;
  #receivedSequence = 0n;
  #sharedDigestDiffered = false;
  #lastReceivedAt: number;

  /** @param options - The node's state and clock. */
  constructor(options: PeerSessionOptions) {
    this.#options = options;
    this.#lastReceivedAt = options.clock.monotonic();
    for (const fact of options.store.sharedFacts()) this.#queueShared(fact);
  }

  /** Time since the last message was received from the other side, in milliseconds. */
  get silentMilliseconds(): number {
    return this.#options.clock.monotonic() - this.#lastReceivedAt;
  }

  /** Ends the session and its messages. */
  end(): void {
    this.#options.feeds.close(this);
    this.#ended.abort();
    this.#wakeUp.abort();
  }

  /**
   * Yields messages with the state of this node and the changes of that state until the session
   * ends.
   */
  async *messages(): AsyncGenerator<PeerMessage> {
    const { store, clock, feeds, heartbeatMilliseconds } = this.#options;
    const removeListener = store.listen({
      onOriginGrown: (log, urgent) => this.#queueOrigin(log, urgent),
      onSharedChanged: (fact) => this.#queueShared(fact),
    });
    feeds.open(this);
    try {
      yield createMessage({ case: "hello", value: this.#options.hello() });
      yield createMessage({
        case: "summary",
        value: this.#createCompleteSummary(),
      });
      let heartbeatAt = -Infinity;
      while (!this.#ended.signal.aborted) {
        this.#wakeUp = new AbortController();
        const isDue = clock.monotonic() - heartbeatAt >= heartbeatMilliseconds;
        if (isDue) heartbeatAt = clock.monotonic();
        yield* this.#takeMessages(isDue);
        if (this.#ended.signal.aborted) break;
        await clock.sleep(BATCH_INTERVAL_MILLISECONDS, this.#wakeUp.signal);
      }
    } finally {
      removeListener();
      feeds.close(this);
    }
  }

  /** Requests that the other side sends the log of an origin from now on. */
  requestLog(identity: string): void {
    this.#logRequests.set(identity, "send");
  }

  /**
   * Takes facts and heartbeat without an await between them, so that a heartbeat is never sent
   * before the facts that it confirms.
   */
  #takeMessages(isHeartbeatDue: boolean): ReadonlyArray<PeerMessage> {
    const messages: PeerMessage[] = [];
    if (this.#logRequests.size > 0) {
      const value = this.#takeLogRequests();
      messages.push(createMessage({ case: "summary", value }));
    }
    const batch = this.#takeBatch();
    if (batch !== undefined) {
      messages.push(createMessage({ case: "facts", value: batch }));
    }
    if (isHeartbeatDue) {
      const value = this.#createHeartbeat();
      messages.push(createMessage({ case: "heartbeat", value }));
    }
    return messages;
  }

  /** Handles one message of the other side. */
  receive(message: PeerMessage): void {
    this.#lastReceivedAt = this.#options.clock.monotonic();
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
      if (through <= (this.#remoteVersions.get(identity) ?? 0)) continue;
      this.#setRemoteVersion(identity, through);
    }
    for (const range of batch.ranges) this.#updateFeed(range);
    const incompleteLogs = this.#options.store.applyBatch(batch);
    for (const fact of batch.facts) this.#removeEcho(fact);
    if (incompleteLogs.length === 0) return;
    for (const { origin, start } of incompleteLogs) {
      this.requestLog(originIdentity(origin, start));
    }
    this.#wakeUp.abort();
  }

  /** Removes a shared fact from the pending ones if it was received over this stream, so that it isn't sent back. */
  #removeEcho(fact: Fact): void {
    const kindAndKey = `${fact.value.case}\n${fact.key}`;
    if (this.#pendingShared.get(kindAndKey)?.value.value !== fact.value.value) {
      return;
    }
    this.#pendingShared.delete(kindAndKey);
  }

  #updateFeed(range: OriginRange): void {
    if (range.ended) return;
    const { feeds, store } = this.#options;
    const identity = originIdentity(range.origin, range.originStart);
    const hasNewFacts =
      Number(range.through) > (store.log(identity)?.through ?? 0);
    if (hasNewFacts) feeds.selectIfNone(identity, this);
    else if (feeds.isRedundant(identity, this)) this.#requestStop(identity);
  }

  #requestStop(identity: string): void {
    if (!this.#logRequests.has(identity)) {
      this.#logRequests.set(identity, "stop");
    }
  }

  #receiveSummary(summary: FactSummary): void {
    if (summary.complete) {
      this.#remoteVersions.clear();
      this.#fedElsewhere.clear();
    }
    const versions = summary.versions.slice(0, MAXIMUM_SUMMARY_ORIGINS);
    for (const { origin, originStart, version, fedElsewhere } of versions) {
      const identity = originIdentity(origin, originStart);
      this.#setRemoteVersion(identity, Number(version));
      if (!fedElsewhere) this.#fedElsewhere.delete(identity);
      else if (this.#remoteVersions.has(identity)) {
        this.#fedElsewhere.add(identity);
      }
    }
    for (const log of this.#options.store.logs()) {
      const known = this.#remoteVersions.get(log.identity) ?? 0;
      if (log.through > known) this.#grownLogs.add(log.identity);
    }
  }

  #receiveHeartbeat(heartbeat: Heartbeat): void {
    const { freshness, store } = this.#options;
    this.#receivedSequence = heartbeat.sequence;
    const echoedSequence = Number(heartbeat.echoSequence);
    const sentAt = this.#heartbeatsSentAt.get(echoedSequence);
    if (sentAt !== undefined) {
      freshness.recordPeerAge(sentAt, Number(heartbeat.tableAgeMilliseconds));
      deleteUpTo(this.#heartbeatsSentAt, echoedSequence);
    }
    const differs = heartbeat.sharedDigest !== store.sharedDigest();
    if (differs && this.#sharedDigestDiffered) this.#queueAllShared();
    this.#sharedDigestDiffered = differs && !this.#sharedDigestDiffered;
  }

  #setRemoteVersion(identity: string, through: number): void {
    const isNew = !this.#remoteVersions.has(identity);
    if (isNew && this.#remoteVersions.size >= MAXIMUM_SUMMARY_ORIGINS) return;
    this.#remoteVersions.set(identity, through);
  }

  #queueAllShared(): void {
    for (const fact of this.#options.store.sharedFacts()) {
      this.#queueShared(fact);
    }
  }

  #queueOrigin(log: OriginLog, urgent: boolean): void {
    if (log.through <= (this.#remoteVersions.get(log.identity) ?? 0)) return;
    this.#grownLogs.add(log.identity);
    if (!urgent) return;
    this.#urgentLogs.add(log.identity);
    this.#wakeUp.abort();
  }

  #queueShared(fact: Fact): void {
    this.#pendingShared.set(`${fact.value.case}\n${fact.key}`, fact);
    this.#wakeUp.abort();
  }

  #takeBatch(): FactBatch | undefined {
    const shared = [...this.#pendingShared.values()];
    this.#pendingShared.clear();
    const ranges: LogRange[] = [];
    for (const identity of this.#grownLogs) {
      if (ranges.length >= MAXIMUM_BATCH_RANGES) break;
      this.#grownLogs.delete(identity);
      const isUrgent = this.#urgentLogs.delete(identity);
      if (this.#fedElsewhere.has(identity) && !isUrgent) continue;
      const log = this.#options.store.log(identity);
      const known = this.#remoteVersions.get(identity) ?? 0;
      if (log === undefined || log.through <= known) continue;
      ranges.push({
        log,
        from: known,
        ageMilliseconds: this.#reportedAge(log),
      });
      this.#remoteVersions.set(identity, log.through);
    }
    if (shared.length === 0 && ranges.length === 0) return undefined;
    return this.#encoder.encode(ranges, shared);
  }

  /** Returns 0 for ages below NEGLIGIBLE_AGE_MILLISECONDS, because 0 takes no bytes on the wire. */
  #reportedAge(log: OriginLog): number {
    if (log.isExpired) return 0;
    const ageMilliseconds = this.#options.store.originAgeMilliseconds(
      log.origin,
      log.start,
    );
    if (ageMilliseconds < NEGLIGIBLE_AGE_MILLISECONDS) return 0;
    return Math.round(Math.min(ageMilliseconds, MAXIMUM_AGE_MILLISECONDS));
  }

  #createCompleteSummary(): FactSummary {
    const versions: OriginVersion[] = [];
    for (const log of this.#options.store.logs()) {
      const hasFeed = this.#options.feeds.hasFeed(log.identity);
      versions.push(createOriginVersion(log, hasFeed));
    }
    return create(FactSummarySchema, { versions, complete: true });
  }

  #takeLogRequests(): FactSummary {
    const versions: OriginVersion[] = [];
    for (const [identity, action] of this.#logRequests) {
      const log = this.#options.store.log(identity);
      if (log === undefined) continue;
      versions.push(createOriginVersion(log, action === "stop"));
    }
    this.#logRequests.clear();
    return create(FactSummarySchema, { versions });
  }

  #createHeartbeat(): Heartbeat {
    const { clock, freshness, store } = this.#options;
    this.#sentSequence += 1;
    this.#heartbeatsSentAt.set(this.#sentSequence, clock.monotonic());
    deleteUpTo(
      this.#heartbeatsSentAt,
      this.#sentSequence - MAXIMUM_UNANSWERED_HEARTBEATS,
    );
    const ageMilliseconds = Math.min(
      freshness.ageMilliseconds(),
      MAXIMUM_AGE_MILLISECONDS,
    );
    return create(HeartbeatSchema, {
      sequence: BigInt(this.#sentSequence),
      tableAgeMilliseconds: BigInt(Math.ceil(ageMilliseconds)),
      echoSequence: this.#receivedSequence,
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
    // Requests the whole log of an expired origin, in case the other side still receives it.
    version: BigInt(log.isExpired ? 0 : log.through),
    fedElsewhere,
  });
}

function deleteUpTo(sentAt: Map<number, number>, sequence: number): void {
  for (const known of sentAt.keys()) {
    if (known <= sequence) sentAt.delete(known);
  }
}
