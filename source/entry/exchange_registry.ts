import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { invariant } from "../utilities/invariant.ts";
import type { GuardedRequest } from "./guarded_request.ts";
import { type Refusal, sendRefusal } from "./refusal.ts";

/** Why an exchange is cut. */
export type CutReason =
  | "callerGone"
  | "keyWithdrawn"
  | "staleKeys"
  | "keyInBody"
  | "tooLarge"
  | "silentCaller"
  | "leaving";

/** An exchange that is being served. */
export interface RunningExchange {
  /** Empty without a key. */
  readonly keyIdentifier: string;
  readonly request: GuardedRequest;
  readonly response: ServerResponse;
  readonly controller: AbortController;
}

const REFUSAL_BY_REASON: Readonly<
  Record<Exclude<CutReason, "callerGone">, Refusal>
> = {
  keyWithdrawn: {
    error: "keyWithdrawn",
    message: "The key was withdrawn",
    ran: "unknown",
  },
  staleKeys: {
    error: "staleKeys",
    message: "This node can't confirm any more that the key is valid",
    ran: "unknown",
    retryAfterMilliseconds: 2000,
  },
  keyInBody: {
    error: "invalidRequest",
    message: "A key stands in the body; keys belong in a header",
    ran: "unknown",
    field: "body",
  },
  tooLarge: {
    error: "tooLarge",
    message: "The body has too many bytes",
    ran: "unknown",
    field: "body",
  },
  silentCaller: {
    error: "invalidRequest",
    message: "The body stopped coming",
    ran: "unknown",
    field: "body",
  },
  leaving: {
    error: "leaving",
    message: "The node has to end before the answer is whole",
    ran: "unknown",
    retryAfterMilliseconds: 1000,
  },
};

/** All exchanges that run on this node, so that those of a withdrawn key can be cut at once. */
export class ExchangeRegistry {
  readonly #running = new Set<RunningExchange>();
  readonly #byKey = new Map<string, Set<RunningExchange>>();

  /** Returns the number of running exchanges. */
  get size(): number {
    return this.#running.size;
  }

  /** Returns the running exchanges. */
  exchanges(): ReadonlyArray<RunningExchange> {
    return [...this.#running];
  }

  /** Returns whether an exchange runs on a caller's connection. */
  isBusy(socket: Socket): boolean {
    return this.exchanges().some(({ request }) => request.socket === socket);
  }

  /** Adds an exchange; it must be removed when it has ended. */
  add(exchange: RunningExchange): void {
    this.#running.add(exchange);
    const same = this.#byKey.get(exchange.keyIdentifier) ?? new Set();
    same.add(exchange);
    this.#byKey.set(exchange.keyIdentifier, same);
  }

  /** Removes an exchange that has ended. */
  remove(exchange: RunningExchange): void {
    const same = this.#byKey.get(exchange.keyIdentifier);
    const wasRunning = this.#running.delete(exchange);
    invariant(
      wasRunning && same !== undefined && same.delete(exchange),
      "An exchange was removed that was not running",
    );
    if (same.size === 0) this.#byKey.delete(exchange.keyIdentifier);
  }

  /** Cuts the exchanges of a withdrawn key; returns how many. */
  cutKey(keyIdentifier: string): number {
    const same = this.#byKey.get(keyIdentifier) ?? new Set<RunningExchange>();
    return this.#cutAll(same, "keyWithdrawn");
  }

  /** Cuts all exchanges that run under a key; returns how many. */
  cutKeyed(reason: CutReason): number {
    const keyed = [...this.#running].filter((exchange) =>
      exchange.keyIdentifier !== ""
    );
    return this.#cutAll(keyed, reason);
  }

  /** Cuts all exchanges; returns how many. */
  cutEvery(reason: CutReason): number {
    return this.#cutAll(this.#running, reason);
  }

  #cutAll(exchanges: Iterable<RunningExchange>, reason: CutReason): number {
    let cut = 0;
    for (const exchange of exchanges) {
      if (cutExchange(exchange, reason)) cut += 1;
    }
    return cut;
  }
}

/**
 * Cuts one exchange: its work is cancelled, and the caller gets a refusal or a closed connection.
 * @param exchange - The exchange.
 * @param reason - Why.
 * @returns Whether it was still running.
 * @example
 * ```ts
 * cutExchange(exchange, "keyWithdrawn");
 * ```
 */
export function cutExchange(
  exchange: RunningExchange,
  reason: CutReason,
): boolean {
  if (exchange.controller.signal.aborted) return false;
  exchange.controller.abort(reason);
  if (reason === "callerGone") {
    exchange.response.destroy();
    return true;
  }
  sendRefusal(exchange.response, REFUSAL_BY_REASON[reason]);
  if (!exchange.request.complete) exchange.request.abandon();
  return true;
}
