import {
  createNotFoundResponse,
  createOkResponse,
  type PlatformRequest,
  type PlatformResponse,
} from "./platform_exchange.ts";

/** Handles `PUT /objects/K`. */
export function putObject(request: PlatformRequest): PlatformResponse {
  request.state.objects.put(objectKey(request), request.body);
  return createOkResponse({});
}

/** Handles `GET /objects/K` and `GET /objects?prefix=`. */
export function readObjects(request: PlatformRequest): PlatformResponse {
  if (request.parts.length === 0) {
    const prefix = request.url.searchParams.get("prefix") ?? "";
    return createOkResponse({ keys: request.state.objects.list(prefix) });
  }
  const body = request.state.objects.get(objectKey(request));
  return body === undefined ? createNotFoundResponse() : createOkResponse(body);
}

/** Handles `DELETE /objects/K`. */
export function deleteObject(request: PlatformRequest): PlatformResponse {
  request.state.objects.delete(objectKey(request));
  return createOkResponse({});
}

function objectKey(request: PlatformRequest): string {
  return request.parts.join("/");
}
