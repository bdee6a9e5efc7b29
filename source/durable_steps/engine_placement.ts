import {
  chooseEngine,
  type EngineCandidate,
  spread,
} from "../decisions/engine_choice.ts";
import { shouldMove } from "../decisions/engine_move.ts";
import type { BackendServerEntry } from "../installation/backend_server_entry.ts";
import type { SlotSharing } from "../installation/slot_sharing.ts";
import type { Rendezvous } from "../membership/rendezvous.ts";
import type { Clock } from "../utilities/clock.ts";
import type {
  CandidateEngine,
  EngineAvailability,
} from "./engine_availability.ts";
import type { EngineRequest, EngineRequirements } from "./engine_request.ts";
import type { EngineUseReport } from "./engine_use_report.ts";
import type { EngineState } from "./engine_state.ts";
import { PromptMemory } from "./prompt_memory.ts";

/** Time per event that is assumed while no engine has a recent measurement. */
const INITIAL_EVENT_MILLISECONDS = 40;
/** Time for which the average time per event of all engines is used before it is computed again. */
const USUAL_EVENT_TIME_VALIDITY_MILLISECONDS = 500;

/** A text that runs on an engine and might be continued at another one. */
export interface RunningText {
  readonly engine: string;
  readonly requirements: EngineRequirements;
  /** Expected number of events that are left. */
  readonly remainingEvents: number;
  /** Number of tokens of the prompt and the text so far. */
  readonly tokens: number;
  /** Number of moves so far. */
  readonly moves: number;
}

/** What is known of the engines. */
export interface EnginePlacementOptions {
  readonly clock: Clock;
  readonly availability: EngineAvailability;
  /** States of the engines that this node has used, by identifier. */
  readonly states: ReadonlyMap<string, EngineState>;
  /** Divides the free slots between the nodes; without it, all belong to this one. */
  readonly sharing: SlotSharing | undefined;
  /** Orders the engines of a prompt; without it, prompts stay where this node sent them. */
  readonly rendezvous: Rendezvous | undefined;
  readonly report: EngineUseReport | undefined;
  /** Whether an idle connection to an engine is open. */
  readonly isConnected: (engine: BackendServerEntry) => boolean;
  /** Returns the tokens that an engine of a service has memory for; 0 when it is not known. */
  readonly findMemoryTokens: (service: string) => number;
}

interface Candidate extends EngineCandidate {
  readonly engine: BackendServerEntry;
}

/** Selects the engine of a sample by what the node knows of each. */
export class EnginePlacement {
  readonly #options: EnginePlacementOptions;
  readonly #prompts = new PromptMemory();
  #usualEventMilliseconds = INITIAL_EVENT_MILLISECONDS;
  #usualEventTimeComputedAt = -Infinity;
  #movedAt = -Infinity;

  /** @param options - The engines and what is known of them. */
  constructor(options: EnginePlacementOptions) {
    this.#options = options;
  }

  /** Usual time for one event at the engines with a recent measurement, in milliseconds. */
  get usualEventMilliseconds(): number {
    const now = this.#options.clock.monotonic();
    const age = now - this.#usualEventTimeComputedAt;
    if (age < USUAL_EVENT_TIME_VALIDITY_MILLISECONDS) {
      return this.#usualEventMilliseconds;
    }
    this.#usualEventTimeComputedAt = now;
    const measured = [...this.#options.states.values()]
      .flatMap(({ speed }) => speed.recent(now) ?? [])
      .sort((left, right) => left - right);
    this.#usualEventMilliseconds = measured[measured.length >> 1] ??
      this.#usualEventMilliseconds;
    return this.#usualEventMilliseconds;
  }

  /** Records that an engine reads the prompt of a request. */
  recordPrompt(engine: string, prompt: string): void {
    this.#prompts.record(engine, prompt);
  }

  /** Forgets the prompts that an engine has read. */
  forgetPrompts(engine: string): void {
    this.#prompts.forget(engine);
  }

  /** Selects one of the engines that a request may be sent to; undefined without any. */
  choose(
    request: EngineRequest,
    engines: ReadonlyArray<CandidateEngine>,
  ): BackendServerEntry | undefined {
    const candidates = engines.map(({ engine, isShared }) => {
      const candidate = this.#toCandidate(engine, request);
      return isShared ? spread(candidate) : candidate;
    });
    return chooseEngine(candidates, {
      expectedEvents: request.expectedEvents,
      promptTokens: request.promptTokens,
      memoryShare: this.#toMemoryShare(request, request.expectedTokens),
      usualEventMilliseconds: this.usualEventMilliseconds,
      avoidedEngine: request.avoidedEngine,
    })?.engine;
  }

  /** Decides whether a text leaves its engine for a faster one, and records that it does. */
  shouldMove(text: RunningText): boolean {
    const { states, availability, clock, isConnected } = this.#options;
    const now = clock.monotonic();
    const speed = states.get(text.engine)?.speed;
    const recentMilliseconds = speed?.recent(now);
    // Saves the search for other engines in the usual case.
    if (
      recentMilliseconds === undefined ||
      recentMilliseconds <= this.usualEventMilliseconds
    ) return false;
    const candidates = availability.findAvailable(text.requirements)
      .filter(({ identifier }) => identifier !== text.engine)
      .map((engine) => ({
        eventMilliseconds: this.#expectMeasured(engine.identifier),
        isConnected: isConnected(engine),
      }));
    const isMoved = shouldMove({
      remainingEvents: text.remainingEvents,
      tokens: text.tokens,
      moves: text.moves,
      recentMilliseconds,
      usualMilliseconds: speed?.usual,
      sinceLastMove: now - this.#movedAt,
    }, candidates);
    if (!isMoved) return false;
    this.#movedAt = now;
    this.#options.report?.recordMove({
      engine: text.engine,
      remainingEvents: text.remainingEvents,
      eventMilliseconds: recentMilliseconds,
    });
    return true;
  }

  // Returns the expected time per event of an engine; undefined if it was never measured.
  #expectMeasured(identifier: string): number | undefined {
    const { states, clock } = this.#options;
    const speed = states.get(identifier)?.speed;
    return speed?.usual === undefined
      ? undefined
      : speed.expect(clock.monotonic(), this.usualEventMilliseconds);
  }

  #toCandidate(engine: BackendServerEntry, request: EngineRequest): Candidate {
    const { availability, states, clock, isConnected } = this.#options;
    const { identifier } = engine;
    const { model, minimumVersion } = request.requirements;
    return {
      engine,
      identifier,
      running: availability.countOccupiedSlots(engine),
      eventMilliseconds: states.get(identifier)?.speed.expect(
        clock.monotonic(),
        this.usualEventMilliseconds,
      ),
      memoryShare: this.#toMemoryShare(
        request,
        availability.countTokens(engine, request.expectedTokens),
      ),
      isConnected: isConnected(engine),
      hasPrompt: this.#prompts.has(identifier, request.prompt),
      ...this.#toPromptOrder(engine, request),
      tieBreak: this.#breakTie(engine),
      versionLead: (availability.getVersion(engine, model) ?? 0) -
        minimumVersion,
    };
  }

  #toPromptOrder(
    { identifier, slots }: BackendServerEntry,
    { prompt }: EngineRequest,
  ): Pick<Candidate, "slots" | "promptScore"> {
    const { rendezvous } = this.#options;
    if (rendezvous === undefined || prompt === "") return {};
    return {
      slots,
      promptScore: rendezvous.score(prompt, identifier) / 2 ** 32,
    };
  }

  #breakTie({ identifier, service }: BackendServerEntry): number {
    const { sharing } = this.#options;
    return sharing === undefined || sharing.countNodes(service) === 1
      ? 0
      : sharing.breakTie(identifier);
  }

  #toMemoryShare({ requirements }: EngineRequest, tokens: number): number {
    const memory = this.#options.findMemoryTokens(requirements.service);
    return memory > 0 ? tokens / memory : 0;
  }
}
