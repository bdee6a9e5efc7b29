import { LRUCache } from "lru-cache";

/** Maximum number of prompts that are assumed to be kept by one engine. */
const PROMPTS_PER_ENGINE = 48;

/**
 * Remembers which shared prompts each engine has read for which weights, as far as this node's own
 * requests tell. An engine discards its prompts when it loads weights or starts again.
 */
export class PromptMemory {
  readonly #engines = new Map<string, LRUCache<string, true>>();

  /** Records that an engine has read a prompt. */
  record(engine: string, prompt: string): void {
    let prompts = this.#engines.get(engine);
    if (prompts === undefined) {
      prompts = new LRUCache({ max: PROMPTS_PER_ENGINE });
      this.#engines.set(engine, prompts);
    }
    prompts.set(prompt, true);
  }

  /** Whether an engine has probably kept a prompt. */
  has(engine: string, prompt: string): boolean {
    return this.#engines.get(engine)?.has(prompt) ?? false;
  }

  /** Forgets all prompts of an engine. */
  forget(engine: string): void {
    this.#engines.delete(engine);
  }
}
