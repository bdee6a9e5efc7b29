import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { IncomingMessage } from "node:http";

/** A request that replays a body that was read into memory. */
export class BufferedRequest extends IncomingMessage {
  /**
   * @param request - The caller's request, whose body has been read completely.
   * @param body - The body of the request.
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

  /** Does nothing, because the constructor has pushed the whole body. */
  override _read(): void {}

  /** Destroys the stream without its socket, which the response still needs. */
  override _destroy(
    error: Error | null,
    callback: (error?: Error | null) => void,
  ): void {
    callback(error);
  }
}

/**
 * Returns the SHA-256 of a request's method, URL, content type and body, in hexadecimal.
 * @param request - The request.
 * @param body - The body of the request.
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
