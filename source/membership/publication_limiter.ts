import type { Fact } from "../../generated/snipepath/v1/peer_pb.ts";
import type { Clock } from "../utilities/clock.ts";
import { FACT_RULES, isUrgentChange } from "./fact_rules.ts";
import type { FactKind } from "./replicated_facts.ts";

/** Deferred fact that is now due to be published. */
export interface DuePublication {
  readonly key: string;
  readonly content: Fact["value"];
}

interface Publication {
  readonly kind: FactKind;
  readonly key: string;
  readonly publishedValue: Fact["value"];
  /** Monotonic time of the publication, in milliseconds. */
  readonly publishedAt: number;
  deferredValue: Fact["value"] | undefined;
}

/**
 * Spaces the publications of a node: two facts with one kind and key are at least the kind's minimum interval apart,
 * unless the change is urgent. Of the facts deferred meanwhile only the newest is kept.
 */
export class PublicationLimiter {
  readonly #clock: Clock;
  readonly #publications = new Map<string, Publication>();

  /** @param clock - Measures the intervals. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Returns whether a fact may be published now. If it may, records the publication; otherwise defers the fact until
   * the minimum interval has elapsed.
   */
  admit(kind: FactKind, key: string, content: Fact["value"]): boolean {
    if (FACT_RULES[kind].minimumIntervalMilliseconds === 0) return true;
    const kindAndKey = `${kind}\n${key}`;
    const last = this.#publications.get(kindAndKey);
    if (last !== undefined && !isUrgentChange(last.publishedValue, content)) {
      last.deferredValue = content;
      return false;
    }
    const publishedAt = this.#clock.monotonic();
    this.#publications.set(kindAndKey, {
      kind,
      key,
      publishedValue: content,
      publishedAt,
      deferredValue: undefined,
    });
    return true;
  }

  /** Deletes the last publication and the deferred fact of a kind and key, because the fact is retracted. */
  remove(kind: FactKind, key: string): void {
    this.#publications.delete(`${kind}\n${key}`);
  }

  /** Returns the deferred facts that are due and records them as published. */
  takeDue(): ReadonlyArray<DuePublication> {
    const now = this.#clock.monotonic();
    const due: DuePublication[] = [];
    for (const [kindAndKey, publication] of this.#publications) {
      const { kind, key, publishedAt, deferredValue } = publication;
      const interval = FACT_RULES[kind].minimumIntervalMilliseconds;
      if (now - publishedAt < interval) continue;
      this.#publications.delete(kindAndKey);
      if (deferredValue === undefined) continue;
      due.push({ key, content: deferredValue });
      const renewed = {
        kind,
        key,
        publishedValue: deferredValue,
        publishedAt: now,
      };
      this.#publications.set(kindAndKey, {
        ...renewed,
        deferredValue: undefined,
      });
    }
    return due;
  }
}
