import { Buffer } from "node:buffer";
import { IncomingMessage } from "node:http";
import { containsKey, KEY_CHARACTERS } from "../keys/key_format.ts";

const KEY_PREFIX_PATTERN =
  /^s(p(_([0-9a-f]{0,16}|[0-9a-f]{16}_[0-9a-f]*))?)?$/i;

const MAXIMUM_BODY_BYTES = 67_108_864;

/** The reason why the rest of a request's body is rejected. */
export type BodyFault = "keyInBody" | "tooLarge";

/**
 * A caller's request, which checks the body for keys and against the maximum size before it passes
 * bytes to a reader.
 *
 * The request buffers bytes that may be the start of a key until the following bytes show whether
 * they belong to a key, so that it passes on no part of a complete key.
 */
export class CheckedRequest extends IncomingMessage {
  /** Called once when the body is rejected. */
  onBodyFault: ((fault: BodyFault) => void) | undefined;
  /** Maximum size of the body in bytes. */
  maximumBodyBytes = MAXIMUM_BODY_BYTES;
  #buffered = "";
  #receivedBytes = 0;
  #fault: BodyFault | undefined;
  #isBodyAborted = false;

  /** Returns why the body was rejected; undefined if it was not. */
  get bodyFault(): BodyFault | undefined {
    return this.#fault;
  }

  /**
   * Aborts the reading of the body with an error for its reader; the connection stays open, so that the
   * response can still be sent.
   */
  abortBody(): void {
    this.#isBodyAborted = true;
    this.destroy(new Error("The exchange was aborted"));
  }

  /** Destroys the stream; the connection stays open if the body was aborted. */
  override _destroy(
    error: Error | null,
    callback: (error?: Error | null) => void,
  ): void {
    if (this.#isBodyAborted) callback(error);
    else super._destroy(error, callback);
  }

  /** Checks a chunk from the HTTP parser and passes it on. */
  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (this.#isBodyAborted || this.#fault !== undefined) {
      return this.#discard(chunk);
    }
    if (chunk === null) return this.#pushEnd();
    const bytes = Buffer.isBuffer(chunk)
      ? chunk
      : Buffer.from(String(chunk), encoding);
    this.#receivedBytes += bytes.length;
    if (this.#receivedBytes > this.maximumBodyBytes) {
      return this.#reject("tooLarge");
    }
    const text = this.#buffered + bytes.toString("latin1");
    if (containsKey(text)) return this.#reject("keyInBody");
    const end = findKeyPrefix(text);
    this.#buffered = text.slice(end);
    if (end === 0) return true;
    return super.push(Buffer.from(text.slice(0, end), "latin1"));
  }

  // Reads the rest of a rejected body up to a limit, because a caller may read the refusal only after it has
  // sent the body.
  #discard(chunk: unknown): boolean {
    this.#receivedBytes += Buffer.isBuffer(chunk) ? chunk.length : 0;
    const isOverLimit = this.#receivedBytes > 2 * MAXIMUM_BODY_BYTES;
    if (isOverLimit) this.socket.destroy();
    return true;
  }

  #pushEnd(): boolean {
    if (this.#buffered !== "") {
      super.push(Buffer.from(this.#buffered, "latin1"));
    }
    this.#buffered = "";
    return super.push(null);
  }

  #reject(fault: BodyFault): boolean {
    this.#fault = fault;
    this.#buffered = "";
    this.onBodyFault?.(fault);
    return true;
  }
}

function findKeyPrefix(text: string): number {
  const from = Math.max(0, text.length - KEY_CHARACTERS + 1);
  for (let index = from; index < text.length; index += 1) {
    if (KEY_PREFIX_PATTERN.test(text.slice(index))) return index;
  }
  return text.length;
}
