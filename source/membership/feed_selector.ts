/** Time without growth of a live origin's log after which the log is requested on all streams, in milliseconds. */
export const STALLED_FEED_MILLISECONDS = 5000;

/** Peer stream over which the logs of origins can be requested. */
export interface Feed {
  /** Requests that the other side sends the log of an origin from now on. */
  requestLog(identity: string): void;
}

/**
 * Selects the stream over which a node receives the log of each origin. The first stream that
 * delivers new facts of the origin becomes the feed of the log; the peers of all other streams are
 * requested to send only urgent changes of the log. When the feed closes or the log has not grown
 * for STALLED_FEED_MILLISECONDS, the log is requested on all streams again.
 */
export class FeedSelector {
  readonly #feeds = new Set<Feed>();
  /** Selected stream of each log, by the log's identity. */
  readonly #feedByIdentity = new Map<string, Feed>();
  /** Monotonic time at which each stalled log was last requested, in milliseconds, by the log's identity. */
  readonly #requestedAt = new Map<string, number>();

  /** Adds a stream. */
  open(feed: Feed): void {
    this.#feeds.add(feed);
  }

  /** Removes a stream and requests the logs that it delivered from all other streams. */
  close(feed: Feed): void {
    this.#feeds.delete(feed);
    for (const [identity, other] of this.#feedByIdentity) {
      if (other === feed) this.#requestFromAll(identity);
    }
  }

  /** Returns whether a stream is selected for an origin's log. */
  hasFeed(identity: string): boolean {
    return this.#feedByIdentity.has(identity);
  }

  /** Selects a stream that delivered new facts of an origin, unless another one is selected already. */
  selectIfNone(identity: string, feed: Feed): void {
    if (!this.#feedByIdentity.has(identity)) {
      this.#feedByIdentity.set(identity, feed);
    }
  }

  /**
   * Returns whether another stream is selected for an origin's log, so that the given one should
   * stop sending it.
   */
  isRedundant(identity: string, feed: Feed): boolean {
    const other = this.#feedByIdentity.get(identity);
    return other !== undefined && other !== feed;
  }

  /**
   * Requests a stalled log on all streams, at most once in STALLED_FEED_MILLISECONDS.
   * @param identity - Identity of the log.
   * @param now - Monotonic time, in milliseconds.
   */
  requestStalled(identity: string, now: number): void {
    const requestedAt = this.#requestedAt.get(identity) ?? -Infinity;
    if (now - requestedAt < STALLED_FEED_MILLISECONDS) return;
    this.#requestedAt.set(identity, now);
    this.#requestFromAll(identity);
  }

  /**
   * Removes the selected stream of an origin's log and the time of the last request for the log.
   */
  remove(identity: string): void {
    this.#feedByIdentity.delete(identity);
    this.#requestedAt.delete(identity);
  }

  #requestFromAll(identity: string): void {
    this.#feedByIdentity.delete(identity);
    for (const feed of this.#feeds) feed.requestLog(identity);
  }
}
