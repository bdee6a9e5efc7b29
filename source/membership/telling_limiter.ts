import type { Fact } from "../../generated/snipepath/v1/peer_pb.ts";
import type { Clock } from "../utilities/clock.ts";
import { FACT_RULES, isUrgentChange } from "./fact_rules.ts";
import type { FactKind } from "./told_state.ts";

/** A fact whose telling was put off. */
export interface DueTelling {
  readonly key: string;
  readonly content: Fact["value"];
}

interface Telling {
  readonly kind: FactKind;
  readonly key: string;
  readonly told: Fact["value"];
  readonly toldAt: number;
  pending: Fact["value"] | undefined;
}

/** Keeps a node from telling a key more often than its kind allows; the newest value is told later. */
export class TellingLimiter {
  readonly #clock: Clock;
  readonly #tellings = new Map<string, Telling>();

  /** @param clock - Measures the intervals. */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Returns whether a fact may be told now; if not, it is kept until it is due. */
  admit(kind: FactKind, key: string, content: Fact["value"]): boolean {
    if (FACT_RULES[kind].minimumIntervalMilliseconds === 0) return true;
    const slot = `${kind}\n${key}`;
    const last = this.#tellings.get(slot);
    if (last !== undefined && !isUrgentChange(last.told, content)) {
      last.pending = content;
      return false;
    }
    const toldAt = this.#clock.monotonic();
    this.#tellings.set(slot, {
      kind,
      key,
      told: content,
      toldAt,
      pending: undefined,
    });
    return true;
  }

  /** Drops a fact that waits to be told. */
  forget(kind: FactKind, key: string): void {
    this.#tellings.delete(`${kind}\n${key}`);
  }

  /** Returns the facts that may be told now, and counts them as told. */
  takeDue(): ReadonlyArray<DueTelling> {
    const now = this.#clock.monotonic();
    const due: DueTelling[] = [];
    for (const [slot, telling] of this.#tellings) {
      const { kind, key, toldAt, pending } = telling;
      const interval = FACT_RULES[kind].minimumIntervalMilliseconds;
      if (now - toldAt < interval) continue;
      this.#tellings.delete(slot);
      if (pending === undefined) continue;
      due.push({ key, content: pending });
      const told = { kind, key, told: pending, toldAt: now };
      this.#tellings.set(slot, { ...told, pending: undefined });
    }
    return due;
  }
}
