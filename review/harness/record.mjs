// deno-lint-ignore-file explicit-function-return-type
import { writeFileSync } from "node:fs";

/** Lines of what was sent, answered and run, with the time since the start. */
export class Record {
  #lines = [];
  #startedAt = performance.now();

  /** Time since the start, in milliseconds. */
  get now() {
    return performance.now() - this.#startedAt;
  }

  /** Adds a line. */
  add(text) {
    this.#lines.push(`${String(Math.round(this.now)).padStart(6)} ms ${text}`);
  }

  /** Writes all lines to a file. */
  write(path) {
    writeFileSync(path, `${this.#lines.join("\n")}\n`);
  }
}
