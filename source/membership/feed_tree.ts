/** Time without growth of a live origin's log after which its facts are asked for on all streams, in milliseconds. */
export const STALLED_FEED_MILLISECONDS = 5000;

/** A stream over which origins' logs can be asked for. */
export interface Feed {
  /** Asks the other side to send the log of an origin from now on. */
  ask(identity: string): void;
}

/**
 * Over which stream a node gets the log of each origin. The first stream that brings news feeds it; all others are
 * told not to. When a feed ends or brings nothing for long, the log is asked for on all streams again.
 */
export class FeedTree {
  readonly #feeds = new Set<Feed>();
  readonly #feedOf = new Map<string, Feed>();
  readonly #askedAt = new Map<string, number>();

  /** Adds a stream. */
  open(feed: Feed): void {
    this.#feeds.add(feed);
  }

  /** Removes a stream and asks for what it fed on all others. */
  close(feed: Feed): void {
    this.#feeds.delete(feed);
    for (const [identity, other] of this.#feedOf) {
      if (other === feed) this.#askAll(identity);
    }
  }

  /** Returns whether some stream feeds an origin's log. */
  isFed(identity: string): boolean {
    return this.#feedOf.has(identity);
  }

  /** Notes that a stream brought news of an origin; the first one feeds it. */
  noteNews(identity: string, feed: Feed): void {
    if (!this.#feedOf.has(identity)) this.#feedOf.set(identity, feed);
  }

  /** Returns whether a stream that brought nothing new of an origin should stop sending it. */
  isSuperfluous(identity: string, feed: Feed): boolean {
    const other = this.#feedOf.get(identity);
    return other !== undefined && other !== feed;
  }

  /** Asks for a log whose feed brings nothing, on all streams. */
  askForStalled(identity: string, now: number): void {
    const askedAt = this.#askedAt.get(identity) ?? -Infinity;
    if (now - askedAt < STALLED_FEED_MILLISECONDS) return;
    this.#askedAt.set(identity, now);
    this.#askAll(identity);
  }

  /** Forgets an origin. */
  forget(identity: string): void {
    this.#feedOf.delete(identity);
    this.#askedAt.delete(identity);
  }

  #askAll(identity: string): void {
    this.#feedOf.delete(identity);
    for (const feed of this.#feeds) feed.ask(identity);
  }
}
