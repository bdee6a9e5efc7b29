import type { EngineTokens } from "../backends/engine_client.ts";
import { invariant } from "../utilities/invariant.ts";
import type { Stretch } from "./dispatcher.ts";

/** State of a transcript to which it can be reset. */
export interface TranscriptCheckpoint {
  readonly text: string;
  readonly tokens: number;
  readonly stretches: ReadonlyArray<Stretch>;
}

/** Text of a completion with the weight versions that generated it. */
export class Transcript {
  #text = "";
  #tokens = 0;
  #stretches: Stretch[] = [];

  /** Text received so far. */
  get text(): string {
    return this.#text;
  }

  /** Number of tokens received so far. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Consecutive tokens by weight version, in order. */
  get stretches(): ReadonlyArray<Stretch> {
    return this.#stretches;
  }

  /** Appends tokens. */
  add(added: EngineTokens): void {
    this.#text += added.text;
    this.#tokens += added.tokens;
    const last = this.#stretches.at(-1);
    const { weightVersion, tokens } = added;
    if (last?.weightVersion === weightVersion) {
      const joined = { weightVersion, tokens: last.tokens + tokens };
      this.#stretches[this.#stretches.length - 1] = joined;
    } else {
      this.#stretches.push({ weightVersion, tokens });
    }
    this.#checkTokenCount();
  }

  /** Returns the current state, for a later `restore`. */
  checkpoint(): TranscriptCheckpoint {
    return {
      text: this.#text,
      tokens: this.#tokens,
      stretches: [...this.#stretches],
    };
  }

  /** Discards the tokens that were added since a checkpoint. */
  restore(checkpoint: TranscriptCheckpoint): void {
    this.#text = checkpoint.text;
    this.#tokens = checkpoint.tokens;
    this.#stretches = [...checkpoint.stretches];
  }

  #checkTokenCount(): void {
    const sum = this.#stretches.reduce(
      (total, { tokens }) => total + tokens,
      0,
    );
    invariant(
      sum === this.#tokens,
      `Stretches cover ${sum} of ${this.#tokens} tokens`,
    );
  }
}
