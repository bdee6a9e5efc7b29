import type { PlatformState } from "./platform_state.ts";

/** One request to the platform, its body read. */
export interface PlatformRequest {
  readonly state: PlatformState;
  readonly url: URL;
  /** Decoded parts of the path after the area's name. */
  readonly parts: ReadonlyArray<string>;
  readonly body: Buffer;
}

/** One answer of the platform. */
export interface PlatformAnswer {
  readonly status: number;
  /** Bytes, a stream of bytes, or a value to be sent as JSON. */
  readonly body: unknown;
}

/** Serves one kind of request. */
export type PlatformHandler = (
  request: PlatformRequest,
) => Promise<PlatformAnswer> | PlatformAnswer;

/** Returns an answer with status 200. */
export function ok(body: unknown): PlatformAnswer {
  return { status: 200, body };
}

/** Returns an answer with status 404. */
export function notFound(): PlatformAnswer {
  return { status: 404, body: { error: "notFound" } };
}

/** Parses the body as JSON. */
export function parseBody<Value>(request: PlatformRequest): Value {
  return JSON.parse(request.body.toString()) as Value;
}
