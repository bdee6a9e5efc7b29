import {
  notFound,
  ok,
  type PlatformAnswer,
  type PlatformRequest,
} from "./platform_exchange.ts";

/** Serves `PUT /objects/K`. */
export function putObject(request: PlatformRequest): PlatformAnswer {
  request.state.objects.put(objectKey(request), request.body);
  return ok({});
}

/** Serves `GET /objects/K` and `GET /objects?prefix=`. */
export function readObjects(request: PlatformRequest): PlatformAnswer {
  if (request.parts.length === 0) {
    const prefix = request.url.searchParams.get("prefix") ?? "";
    return ok({ keys: request.state.objects.list(prefix) });
  }
  const body = request.state.objects.get(objectKey(request));
  return body === undefined ? notFound() : ok(body);
}

/** Serves `DELETE /objects/K`. */
export function deleteObject(request: PlatformRequest): PlatformAnswer {
  request.state.objects.delete(objectKey(request));
  return ok({});
}

function objectKey(request: PlatformRequest): string {
  return request.parts.join("/");
}
