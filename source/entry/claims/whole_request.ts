import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { IncomingMessage } from "node:http";

/** A caller's request whose body was read before it is passed on. */
export class WholeRequest extends IncomingMessage {
  /**
   * @param request - The caller's request, read to its end.
   * @param body - Its body.
   */
  constructor(request: IncomingMessage, body: Buffer) {
    super(request.socket);
    this.method = request.method;
    this.url = request.url;
    this.headers = request.headers;
    this.rawHeaders = request.rawHeaders;
    this.complete = true;
    if (body.length > 0) this.push(body);
    this.push(null);
  }

  /** Has nothing to ask the connection for. */
  override _read(): void {}

  /** Ends the stream alone; the connection carries the answer. */
  override _destroy(
    error: Error | null,
    callback: (error?: Error | null) => void,
  ): void {
    callback(error);
  }
}

/**
 * Returns the SHA-256 of what a request asks for, in hexadecimal.
 * @param request - The request.
 * @param body - Its body.
 * @example
 * ```ts
 * const digest = digestRequest(exchange.request, body);
 * ```
 */
export function digestRequest(request: IncomingMessage, body: Buffer): string {
  const hash = createHash("sha256");
  const type = request.headers["content-type"] ?? "";
  hash.update(JSON.stringify([request.method, request.url, type]));
  hash.update(body);
  return hash.digest("hex");
}
