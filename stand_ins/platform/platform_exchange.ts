import type { PlatformState } from "./platform_state.ts";

/** A request to the platform whose body has been read. */
export interface PlatformRequest {
  readonly state: PlatformState;
  readonly url: URL;
  /** Decoded path segments after the one that names the interface. */
  readonly parts: ReadonlyArray<string>;
  readonly body: Buffer;
}

/** A response of the platform. */
export interface PlatformResponse {
  readonly status: number;
  /** Bytes, a stream of bytes, or a value that is serialized as JSON. */
  readonly body: unknown;
}

/** Handles one kind of request. */
export type PlatformHandler = (
  request: PlatformRequest,
) => Promise<PlatformResponse> | PlatformResponse;

/** Creates a response with status 200. */
export function createOkResponse(body: unknown): PlatformResponse {
  return { status: 200, body };
}

/** Creates a response with status 404. */
export function createNotFoundResponse(): PlatformResponse {
  return { status: 404, body: { error: "notFound" } };
}

/** Parses a request body as JSON without validating its type. */
export function parseBody<Value>(request: PlatformRequest): Value {
  return JSON.parse(request.body.toString()) as Value;
}
