import { Buffer } from "node:buffer";
import { IncomingMessage } from "node:http";
import { containsKey, KEY_CHARACTERS } from "../keys/key_format.ts";

const KEY_START_PATTERN = /^s(p(_([0-9a-f]{0,16}|[0-9a-f]{16}_[0-9a-f]*))?)?$/i;

const MAXIMUM_BODY_BYTES = 67_108_864;

/** Why a request's body is not passed on further. */
export type BodyFault = "keyInBody" | "tooLarge";

/**
 * A caller's request whose body is checked as it arrives, before any reader sees it.
 *
 * Bytes that could be the start of a key are held back until the next ones decide, so that no
 * part of a body with a key's last byte is ever passed on.
 */
export class GuardedRequest extends IncomingMessage {
  /** Called once when the body is stopped. */
  onBodyFault: ((fault: BodyFault) => void) | undefined;
  /** The most bytes that the body may have. */
  maximumBodyBytes = MAXIMUM_BODY_BYTES;
  #held = "";
  #received = 0;
  #fault: BodyFault | undefined;
  #isAbandoned = false;

  /** Returns why the body was stopped; undefined while it was not. */
  get bodyFault(): BodyFault | undefined {
    return this.#fault;
  }

  /**
   * Ends the reading of the body for good, with an error for who reads it; the connection stays open, so
   * that the answer can still be sent.
   */
  abandon(): void {
    this.#isAbandoned = true;
    this.destroy(new Error("The exchange was cut"));
  }

  /** Ends the stream; of an abandoned request, without the connection. */
  override _destroy(
    error: Error | null,
    callback: (error?: Error | null) => void,
  ): void {
    if (this.#isAbandoned) callback(error);
    else super._destroy(error, callback);
  }

  /** Takes a chunk from the parser. */
  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (this.#isAbandoned || this.#fault !== undefined) {
      return this.#discard(chunk);
    }
    if (chunk === null) return this.#pushEnd();
    const bytes = Buffer.isBuffer(chunk)
      ? chunk
      : Buffer.from(String(chunk), encoding);
    this.#received += bytes.length;
    if (this.#received > this.maximumBodyBytes) return this.#stop("tooLarge");
    const text = this.#held + bytes.toString("latin1");
    if (containsKey(text)) return this.#stop("keyInBody");
    const end = findKeyStart(text);
    this.#held = text.slice(end);
    if (end === 0) return true;
    return super.push(Buffer.from(text.slice(0, end), "latin1"));
  }

  // The rest of a stopped body is read up to a bound, so that the caller can take the refusal.
  #discard(chunk: unknown): boolean {
    this.#received += Buffer.isBuffer(chunk) ? chunk.length : 0;
    const isEndless = this.#received > 2 * MAXIMUM_BODY_BYTES;
    if (isEndless) this.socket.destroy();
    return true;
  }

  #pushEnd(): boolean {
    if (this.#held !== "") super.push(Buffer.from(this.#held, "latin1"));
    this.#held = "";
    return super.push(null);
  }

  #stop(fault: BodyFault): boolean {
    this.#fault = fault;
    this.#held = "";
    this.onBodyFault?.(fault);
    return true;
  }
}

function findKeyStart(text: string): number {
  const from = Math.max(0, text.length - KEY_CHARACTERS + 1);
  for (let index = from; index < text.length; index += 1) {
    if (KEY_START_PATTERN.test(text.slice(index))) return index;
  }
  return text.length;
}
