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
  readonly published: Fact["value"];
  readonly publishedAt: number;
  pending: Fact["value"] | undefined;
}

/** Limits how often a node publishes a key to the minimum interval of its kind; defers the newest value meanwhile. */
export class PublicationLimiter {
  readonly #clock: Clock;
  readonly #publications = new Map<string, Publication>();

  /** @param clock - Measures the intervals. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Returns whether a fact may be published now; otherwise defers the fact until its interval has elapsed. */
  admit(kind: FactKind, key: string, content: Fact["value"]): boolean {
    if (FACT_RULES[kind].minimumIntervalMilliseconds === 0) return true;
    const slot = `${kind}\n${key}`;
    const last = this.#publications.get(slot);
    if (last !== undefined && !isUrgentChange(last.published, content)) {
      last.pending = content;
      return false;
    }
    const publishedAt = this.#clock.monotonic();
    this.#publications.set(slot, {
      kind,
      key,
      published: content,
      publishedAt,
      pending: undefined,
    });
    return true;
  }

  /** Removes the last and the deferred publication of a key. */
  remove(kind: FactKind, key: string): void {
    this.#publications.delete(`${kind}\n${key}`);
  }

  /** Returns the deferred facts that are due and records them as published. */
  takeDue(): ReadonlyArray<DuePublication> {
    const now = this.#clock.monotonic();
    const due: DuePublication[] = [];
    for (const [slot, publication] of this.#publications) {
      const { kind, key, publishedAt, pending } = publication;
      const interval = FACT_RULES[kind].minimumIntervalMilliseconds;
      if (now - publishedAt < interval) continue;
      this.#publications.delete(slot);
      if (pending === undefined) continue;
      due.push({ key, content: pending });
      const published = { kind, key, published: pending, publishedAt: now };
      this.#publications.set(slot, { ...published, pending: undefined });
    }
    return due;
  }
}
