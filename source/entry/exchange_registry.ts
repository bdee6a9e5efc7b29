import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { invariant } from "../utilities/invariant.ts";
import type { CheckedRequest } from "./checked_request.ts";
import { type Refusal, sendRefusal } from "./refusal.ts";

/** The reason why an exchange is aborted. */
export type AbortReason =
  | "callerGone"
  | "keyWithdrawn"
  | "staleKeys"
  | "keyInBody"
  | "tooLarge"
  | "silentCaller"
  | "leaving";

/** An exchange that is being served. */
export interface RunningExchange {
  /** Identifier of the caller's key; empty for a request without a key. */
  readonly keyIdentifier: string;
  readonly request: CheckedRequest;
  readonly response: ServerResponse;
  readonly controller: AbortController;
}

const REFUSAL_BY_REASON: Readonly<
  Record<Exclude<AbortReason, "callerGone">, Refusal>
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
    message: "The body contains a key; send keys in a header",
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
    message: "The node shut down before the answer was complete",
    ran: "unknown",
    retryAfterMilliseconds: 1000,
  },
};

/** Registers the running exchanges of a node, so that those of a withdrawn key can be aborted at once. */
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

  /** Returns whether an exchange is running on a caller's connection. */
  hasExchangeOn(socket: Socket): boolean {
    return this.exchanges().some(({ request }) => request.socket === socket);
  }

  /** Adds an exchange, which must be removed after it has ended. */
  add(exchange: RunningExchange): void {
    this.#running.add(exchange);
    const exchangesOfKey = this.#byKey.get(exchange.keyIdentifier) ?? new Set();
    exchangesOfKey.add(exchange);
    this.#byKey.set(exchange.keyIdentifier, exchangesOfKey);
  }

  /** Removes an exchange that has ended. */
  remove(exchange: RunningExchange): void {
    const exchangesOfKey = this.#byKey.get(exchange.keyIdentifier);
    const wasRunning = this.#running.delete(exchange);
    invariant(
      wasRunning && exchangesOfKey !== undefined &&
        exchangesOfKey.delete(exchange),
      "The removed exchange is not registered",
    );
    if (exchangesOfKey.size === 0) this.#byKey.delete(exchange.keyIdentifier);
  }

  /** Aborts the exchanges of a withdrawn key; returns how many it aborted. */
  abortKey(keyIdentifier: string): number {
    const exchangesOfKey = this.#byKey.get(keyIdentifier) ??
      new Set<RunningExchange>();
    return this.#abortEach(exchangesOfKey, "keyWithdrawn");
  }

  /** Aborts all exchanges that use a key; returns how many it aborted. */
  abortKeyed(reason: AbortReason): number {
    const keyed = [...this.#running].filter((exchange) =>
      exchange.keyIdentifier !== ""
    );
    return this.#abortEach(keyed, reason);
  }

  /** Aborts all exchanges; returns how many it aborted. */
  abortAll(reason: AbortReason): number {
    return this.#abortEach(this.#running, reason);
  }

  #abortEach(
    exchanges: Iterable<RunningExchange>,
    reason: AbortReason,
  ): number {
    let aborted = 0;
    for (const exchange of exchanges) {
      if (abortExchange(exchange, reason)) aborted += 1;
    }
    return aborted;
  }
}

/**
 * Aborts one exchange: cancels its work, and sends the caller a refusal or closes the connection.
 * @param exchange - The exchange.
 * @param reason - Why the exchange is aborted.
 * @returns Whether this call aborted the exchange; false if it was aborted before.
 * @example
 * ```ts
 * abortExchange(exchange, "keyWithdrawn");
 * ```
 */
export function abortExchange(
  exchange: RunningExchange,
  reason: AbortReason,
): boolean {
  if (exchange.controller.signal.aborted) return false;
  exchange.controller.abort(reason);
  if (reason === "callerGone") {
    exchange.response.destroy();
    return true;
  }
  sendRefusal(exchange.response, REFUSAL_BY_REASON[reason]);
  if (!exchange.request.complete) exchange.request.abortBody();
  return true;
}
