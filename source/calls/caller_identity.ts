import {
  type Configuration,
  findRoute,
} from "../installation/configuration.ts";
import type { OperatorView } from "../installation/operator_view.ts";
import type { IncomingCall } from "./incoming_call.ts";

const NOT_CONFIGURED_RETRY_MILLISECONDS = 300;
const STALE_KEYS_RETRY_MILLISECONDS = 400;

/** The organisation that owns a key, or why the call is refused. */
export type KeyOutcome =
  | { readonly kind: "organisation"; readonly organisation: string }
  | {
    readonly kind: "refused";
    readonly refusal:
      | "unknownKey"
      | "unknownRoute"
      | "staleKeys"
      | "notConfigured";
    readonly retryAfterMilliseconds?: number;
  };

/** Finds the organisations of callers by the routes and keys of the configuration in force. */
export class CallerIdentity {
  readonly #operator: Pick<OperatorView, "configuration" | "isKeyViewFresh">;

  /** @param operator - The configuration in force. */
  constructor(
    operator: Pick<OperatorView, "configuration" | "isKeyViewFresh">,
  ) {
    this.#operator = operator;
  }

  /**
   * Finds the organisation of a call before its body is read.
   * @returns The organisation, empty for a public route; the refusal if the call is refused whatever its
   * body is.
   */
  identifyCaller(
    { host, target, key }: Pick<IncomingCall, "host" | "target" | "key">,
  ): KeyOutcome {
    const { configuration } = this.#operator;
    if (configuration === undefined) return NOT_CONFIGURED;
    const route = findRoute(configuration, host, target.split("?")[0] ?? "");
    if (route === undefined) return this.refuseUnknownRoute();
    if (route.isPublic || configuration.organisationsByKey === undefined) {
      return { kind: "organisation", organisation: "" };
    }
    return this.resolveKey(configuration, key);
  }

  /**
   * Refuses a call without a route. A node that can't reach the store may have missed a new route, so the
   * caller should retry then.
   */
  refuseUnknownRoute(): Extract<KeyOutcome, { kind: "refused" }> {
    return this.#operator.isKeyViewFresh()
      ? { kind: "refused", refusal: "unknownRoute" }
      : STALE_KEYS;
  }

  /**
   * Finds the organisation of a key for calls that run nothing and so need no fresh view of the
   * keys.
   */
  identifyOrganisation(key: string | undefined): KeyOutcome {
    const { configuration } = this.#operator;
    if (configuration === undefined) return NOT_CONFIGURED;
    return this.resolveKey(configuration, key);
  }

  /** Finds the organisation of a key in a configuration. */
  resolveKey(
    configuration: Configuration,
    key: string | undefined,
  ): KeyOutcome {
    const organisation = configuration.organisationsByKey?.get(key ?? "");
    if (organisation !== undefined) {
      return { kind: "organisation", organisation };
    }
    // The key may have been created after this node last read the store.
    return this.#operator.isKeyViewFresh()
      ? { kind: "refused", refusal: "unknownKey" }
      : STALE_KEYS;
  }
}

/** Outcome of a request to a node that has not read a configuration. */
export const NOT_CONFIGURED = {
  kind: "refused",
  refusal: "notConfigured",
  retryAfterMilliseconds: NOT_CONFIGURED_RETRY_MILLISECONDS,
} as const;

/** Outcome of a request to a node whose view of the keys is too old. */
export const STALE_KEYS = {
  kind: "refused",
  refusal: "staleKeys",
  retryAfterMilliseconds: STALE_KEYS_RETRY_MILLISECONDS,
} as const;
