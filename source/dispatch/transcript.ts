import type { EngineTokens } from "../backends/engine_client.ts";
import { invariant } from "../utilities/invariant.ts";
import type { Stretch } from "./dispatcher.ts";

/** State of a transcript at some moment. */
export interface TranscriptMark {
  readonly text: string;
  readonly tokens: number;
  readonly stretches: ReadonlyArray<Stretch>;
}

/** Text of a completion with the weight versions that made it. */
export class Transcript {
  #text = "";
  #tokens = 0;
  #stretches: Stretch[] = [];

  /** The text so far. */
  get text(): string {
    return this.#text;
  }

  /** Number of tokens so far. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Tokens in a row of one version each. */
  get stretches(): ReadonlyArray<Stretch> {
    return this.#stretches;
  }

  /** Adds tokens at the end. */
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
    this.#check();
  }

  /** Returns the present state, to go back to. */
  mark(): TranscriptMark {
    return {
      text: this.#text,
      tokens: this.#tokens,
      stretches: [...this.#stretches],
    };
  }

  /** Forgets what was added since a mark. */
  restore(mark: TranscriptMark): void {
    this.#text = mark.text;
    this.#tokens = mark.tokens;
    this.#stretches = [...mark.stretches];
  }

  #check(): void {
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
