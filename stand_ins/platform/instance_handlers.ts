import type { ListedInstance } from "../../source/platform/instance_list_client.ts";
import {
  ok,
  parseBody,
  type PlatformAnswer,
  type PlatformRequest,
} from "./platform_exchange.ts";

/** Serves `GET /instances`. */
export function listInstances(request: PlatformRequest): PlatformAnswer {
  return ok({ instances: request.state.instances.shown() });
}

/** Serves `POST /instances`. */
export function registerInstance(request: PlatformRequest): PlatformAnswer {
  const { permanent, ...instance } = parseBody<
    ListedInstance & { readonly permanent?: boolean }
  >(request);
  request.state.instances.register(instance, permanent ?? false);
  return ok({});
}

/** Serves `GET /weights/NAME` at the store's limited rate. */
export function readWeights(request: PlatformRequest): PlatformAnswer {
  return ok(request.state.weights.read());
}
