import { type QueuedSample, SampleQueue } from "../decisions/sample_queue.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { Clock } from "../utilities/clock.ts";
import type { CandidateEngine } from "./engine_availability.ts";
import {
  type EngineRequest,
  type EngineRequirements,
  toRequirementsKey,
} from "./engine_request.ts";

/** A sample that waits for an engine. */
export interface EngineWaiter extends QueuedSample<EngineRequirements> {
  readonly request: EngineRequest;
  /** Monotonic time, in milliseconds, since which the sample waits. */
  readonly waitsSince: number;
  readonly resolve: (engine: BackendServerEntry | undefined) => void;
}

/** A sample and the engine that it gets. */
export interface Assignment {
  readonly waiter: EngineWaiter;
  readonly engine: BackendServerEntry;
}

/** The samples that wait for engines, each until it gets one, is aborted or must ask again. */
export class WaitingSamples
  extends SampleQueue<EngineRequirements, EngineWaiter> {
  readonly #clock: Pick<Clock, "monotonic">;

  /** @param clock - Tells since when samples wait. */
  constructor(clock: Pick<Clock, "monotonic">) {
    super();
    this.#clock = clock;
  }

  /**
   * Adds a sample and waits until its wait ends.
   * @param request - The sample.
   * @param options - The signal that ends the wait, and a function that is called once the sample waits.
   * @returns The engine; undefined when the wait ended without one.
   */
  wait(
    request: EngineRequest,
    { signal, onAdded }: {
      readonly signal: AbortSignal;
      readonly onAdded: () => void;
    },
  ): Promise<BackendServerEntry | undefined> {
    if (signal.aborted) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      const { requirements, urgency } = request;
      const waiter: EngineWaiter = {
        urgency,
        requirements,
        requirementsKey: toRequirementsKey(requirements),
        request,
        waitsSince: request.waitsSince ?? this.#clock.monotonic(),
        resolve: (engine) => {
          signal.removeEventListener("abort", onAbort);
          resolve(engine);
        },
      };
      const onAbort = (): void => {
        this.remove(waiter);
        resolve(undefined);
      };
      signal.addEventListener("abort", onAbort, { once: true });
      this.add(waiter);
      onAdded();
    });
  }

  /**
   * Returns the most urgent sample that finds an engine, which waits on. A sample leaves the queue only
   * with an engine.
   * @param engines - The search for engines, which changes nothing, and the choice among those found.
   */
  findAssignment(
    { findCandidates, choose }: {
      readonly findCandidates: (
        requirements: EngineRequirements,
      ) => ReadonlyArray<CandidateEngine>;
      readonly choose: (
        request: EngineRequest,
        found: ReadonlyArray<CandidateEngine>,
      ) => BackendServerEntry | undefined;
    },
  ): Assignment | undefined {
    const found = new Map<string, ReadonlyArray<CandidateEngine>>();
    const waiter = this.findNext((requirements) => {
      const candidates = findCandidates(requirements);
      found.set(toRequirementsKey(requirements), candidates);
      return candidates.length > 0;
    });
    if (waiter === undefined) return undefined;
    const candidates = found.get(waiter.requirementsKey) ?? [];
    const engine = choose(waiter.request, candidates);
    return engine === undefined ? undefined : { waiter, engine };
  }

  /** Ends the waits of samples that would ask otherwise now. */
  endOutdated(): void {
    for (const waiter of this.samples) {
      if (waiter.request.isOutdated?.() !== true) continue;
      this.remove(waiter);
      waiter.resolve(undefined);
    }
  }
}
