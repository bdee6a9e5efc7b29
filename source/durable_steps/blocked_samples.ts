import { BLOCKED_MILLISECONDS } from "../decisions/slot_share.ts";
import type { Clock } from "../utilities/clock.ts";
import type { EngineRequirements } from "./engine_request.ts";

/** The samples that have found no slot of this node's share, by service and model. */
export class BlockedSamples {
  readonly #clock: Pick<Clock, "monotonic">;
  /** Monotonic time, in milliseconds, since which the samples have found none. */
  readonly #since = new Map<string, number>();

  /** @param clock - Tells since when samples have found no slot. */
  constructor(clock: Pick<Clock, "monotonic">) {
    this.#clock = clock;
  }

  /** Number of services and models of which samples have found no slot. */
  get size(): number {
    return this.#since.size;
  }

  /** Whether samples like one with these requirements have found no slot. */
  has(requirements: EngineRequirements): boolean {
    return this.#since.has(toKey(requirements));
  }

  /** Whether they have found none for so long that they may use any slot that may be free. */
  mayUseAny(requirements: EngineRequirements): boolean {
    const since = this.#since.get(toKey(requirements));
    return since !== undefined &&
      this.#clock.monotonic() - since >= BLOCKED_MILLISECONDS;
  }

  /** Records that a sample has found no slot. */
  add(requirements: EngineRequirements): void {
    if (this.has(requirements)) return;
    this.#since.set(toKey(requirements), this.#clock.monotonic());
  }

  /** Records that samples find slots again. */
  delete(requirements: EngineRequirements): void {
    this.#since.delete(toKey(requirements));
  }
}

function toKey({ service, model }: EngineRequirements): string {
  return `${service}/${model}`;
}
