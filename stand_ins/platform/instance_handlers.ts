import type { ListedInstance } from "../../source/platform/instance_list_client.ts";
import {
  createOkResponse,
  parseBody,
  type PlatformRequest,
  type PlatformResponse,
} from "./platform_exchange.ts";

/** Handles `GET /instances`. */
export function listInstances(request: PlatformRequest): PlatformResponse {
  return createOkResponse({ instances: request.state.instances.visible() });
}

/** Handles `POST /instances`. */
export function registerInstance(request: PlatformRequest): PlatformResponse {
  const { permanent, ...instance } = parseBody<
    ListedInstance & { readonly permanent?: boolean }
  >(request);
  request.state.instances.register(instance, permanent ?? false);
  return createOkResponse({});
}

/** Handles `GET /weights/NAME` at the weight store's limited rate. */
export function readWeights(request: PlatformRequest): PlatformResponse {
  return createOkResponse(request.state.weights.read());
}
