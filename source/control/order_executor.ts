import { create } from "@bufbuild/protobuf";
import {
  IntentState,
  type OrderIntent,
  OrderIntentSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { SendGuard } from "../platform/send_guard.ts";
import type { LeaseElector } from "./lease_elector.ts";
import { type OpenIntent, OrderIntents } from "./order_intents.ts";
import { InFlightOrders } from "./in_flight_orders.ts";
import { UnresolvedOrders } from "./unresolved_orders.ts";

const MAXIMUM_SEND_ATTEMPTS = 3;
const RESEND_INTERVAL_MILLISECONDS = 100;
const MAXIMUM_CONCURRENT_RESENDS = 32;

/** An order as requested by the caller. */
export interface OrderRequest {
  /** Identical for every repetition of the order on any node; must not contain "/". */
  readonly idempotencyKey: string;
  readonly operation: "start" | "stop" | "loadVersion";
  readonly service: string;
  readonly failureDomain?: string;
  readonly tier?: string;
  /** Address of the backend server that receives the order or is affected by it. */
  readonly server?: string;
  readonly weightVersion?: number;
}

/** Input of a callback that sends an order once. */
export interface SendAttempt {
  readonly order: OrderIntent;
  readonly idempotencyKey: string;
  readonly fencingNumber: number;
  /** Aborted when this attempt has lasted the order deadline; this attempt may then send nothing more. */
  readonly signal: AbortSignal;
  /** Returns whether the order may still be sent; must be called in the tick that sends the first byte. */
  readonly mayStart: SendGuard;
}

/** Outcome of one send of an order. */
export type SendOutcome<Result> =
  | {
    readonly kind: "done";
    readonly result: Result;
    /**
     * Address of the started backend server; if set, the intent is retained until the caller
     * releases it.
     */
    readonly server?: string;
  }
  /** The receiver refused the order; it took no effect and is not sent again. */
  | { readonly kind: "refused"; readonly reason: string }
  /** The order was not executed, for example because `mayStart` returned false. */
  | { readonly kind: "notRun"; readonly reason: string }
  /** The order may have taken effect. */
  | { readonly kind: "unknown"; readonly reason: string };

/** Outcome of an order. */
export type OrderOutcome<Result> =
  | SendOutcome<Result>
  /** This node does not hold the lease; nothing was sent. */
  | { readonly kind: "notHeld" };

/** Sends an order once; its first byte must be sent in the same tick in which `mayStart` returned true. */
export type SendOrder<Result> = (
  attempt: SendAttempt,
) => Promise<SendOutcome<Result>>;

/** Options of an order executor. */
export interface OrderExecutorOptions {
  readonly context: NodeContext;
  /** The lease under which orders are given; the caller must call its `run`. */
  readonly lease: LeaseElector;
  /** Resends an open order of an earlier lease holder or of this node. */
  readonly resend: SendOrder<unknown>;
}

/**
 * Executes orders to the platform and to engines such that two nodes that both consider themselves
 * the lease holder never both send them. The intent of an order is its row in the store; the order is
 * open until its result is recorded there or the row is deleted. Each order goes through these steps:
 *
 * 1. The executor resends the open orders of earlier holders and of this node with their original
 *    idempotency keys.
 * 2. It writes the intent in a transaction that checks the lease's row.
 * 3. It checks the lease again in the tick of the send.
 * 4. It sends the order with the fencing number, the idempotency key and a deadline.
 * 5. It deletes the intent once the result is known, except that of a done order with a server, which
 *    is retained until `release`; an intent with an unknown result stays open.
 * 6. A newer order for the same operation and server supersedes an order with an unknown result
 *    after that order's deadline.
 *
 * Several orders may be in flight at once, but only one for each idempotency key and, except for
 * start orders, only one for each operation and server.
 * @example
 * ```ts
 * const executor = new OrderExecutor({ context, lease, resend: sendLoad });
 * void executor.run();
 * const outcome = await executor.perform(
 *   { idempotencyKey: "trainer-1:7:10.0.0.1:80", operation: "loadVersion", service, server },
 *   async ({ fencingNumber, idempotencyKey, signal, mayStart }) => {
 *     if (!mayStart()) return { kind: "notRun", reason: "The lease expired" };
 *     const load = { version, location, fencingNumber, idempotencyKey };
 *     return toSendOutcome(await engines.loadVersion(server, load, { signal, mayStart }));
 *   },
 * );
 * ```
 */
export class OrderExecutor {
  readonly #context: NodeContext;
  readonly #lease: LeaseElector;
  readonly #resend: SendOrder<unknown>;
  readonly #intents: OrderIntents;
  readonly #inFlight = new InFlightOrders();
  readonly #unresolved: UnresolvedOrders;
  /** Retained intents of completed orders, by idempotency key. */
  readonly #completed = new Map<string, OrderIntent>();
  #takenOverFencingNumber = 0;
  /** Fencing number under which `#unresolved` and `#completed` were recorded. */
  #stateFencingNumber = 0;
  /** Reason for the failure of the running takeover; an empty string is success. */
  #pendingTakeOver: Promise<string> | undefined;

  /** @param options - The lease and the callback that resends open orders. */
  constructor(options: OrderExecutorOptions) {
    this.#context = options.context;
    this.#lease = options.lease;
    this.#resend = options.resend;
    const { context, lease } = options;
    this.#intents = new OrderIntents(context, lease);
    const intents = this.#intents;
    this.#unresolved = new UnresolvedOrders(context, { lease, intents });
  }

  /**
   * Returns the intents of the orders with an unknown result and of those whose intent could not be
   * deleted; valid only while this node holds the lease.
   */
  unresolved(): ReadonlyArray<OrderIntent> {
    return this.#unresolved.intents();
  }

  /** Returns the retained intents of completed orders, including those of earlier holders. */
  completed(): ReadonlyArray<OrderIntent> {
    return [...this.#completed.values()];
  }

  /**
   * Deletes the retained intent of a completed order; the order stays in `completed` until the
   * deletion is confirmed.
   */
  async release(idempotencyKey: string): Promise<void> {
    if (await this.#intents.ensureDeleted(idempotencyKey)) {
      this.#completed.delete(idempotencyKey);
    }
  }

  /**
   * Resends the lease's open orders once per lease duration, while this node holds the lease, until
   * the node stops.
   */
  async run(): Promise<void> {
    const { clock, settings, stopping } = this.#context;
    while (!stopping.aborted) {
      await clock.sleep(settings.leaseMilliseconds, stopping);
      // Makes the takeover run again under the same fencing number.
      this.#takenOverFencingNumber = 0;
      await this.#ensureTakenOver();
    }
  }

  /**
   * Takes over the open orders of the lease, unless this was already done under the current fencing
   * number; `run` repeats the takeover once per lease duration.
   * @returns Whether the takeover is complete; false when the lease is not held, the intents
   * could not be read or an open order ended as `notHeld` or `notRun`.
   */
  async takeOver(): Promise<boolean> {
    return await this.#ensureTakenOver() === "";
  }

  /**
   * Executes one order.
   * @param order - The order.
   * @param send - Sends the order once; called again with the same key when the response is lost.
   * @returns The outcome; after `unknown` the order stays open and the same idempotency key may be used again.
   */
  perform<Result>(
    order: OrderRequest,
    send: SendOrder<Result>,
  ): Promise<OrderOutcome<Result>> {
    const earlier = this.#inFlight.find(order.idempotencyKey);
    if (earlier !== undefined) return earlier as Promise<OrderOutcome<Result>>;
    return this.#inFlight.execute(order, () => this.#perform(order, send));
  }

  async #perform<Result>(
    order: OrderRequest,
    send: SendOrder<Result>,
  ): Promise<OrderOutcome<Result>> {
    if (this.#lease.getHeldLease() === undefined) return { kind: "notHeld" };
    const takeOverFailure = await this.#ensureTakenOver();
    if (takeOverFailure !== "") {
      return { kind: "notRun", reason: takeOverFailure };
    }
    const isExclusive = this.#inFlight.startSending(order) &&
      await this.#unresolved.supersede(order);
    if (!isExclusive) {
      const reason = "An earlier order for the same server may be in flight";
      return { kind: "notRun", reason };
    }
    return await this.#openAndSend(toIntent(order), send);
  }

  async #openAndSend<Result>(
    intent: OrderIntent,
    send: SendOrder<Result>,
    rowVersion = 0,
  ): Promise<OrderOutcome<Result>> {
    const written = await this.#intents.write(intent, rowVersion);
    if (written.kind === "missing") return SUPERSEDED;
    if (written.kind === "unknown") this.#unresolved.add(intent);
    if (written.kind !== "written") return written;
    const { open: openIntent, wasOpen } = written;
    const outcome = await this.#sendUntilKnown(openIntent, send, wasOpen);
    return await this.#recordOutcome(openIntent, outcome);
  }

  async #sendUntilKnown<Result>(
    openIntent: OpenIntent,
    send: SendOrder<Result>,
    wasSentBefore: boolean,
  ): Promise<OrderOutcome<Result>> {
    let lastUnknownOutcome: SendOutcome<Result> | undefined = wasSentBefore
      ? { kind: "unknown", reason: "An earlier send may have taken effect" }
      : undefined;
    for (let attempt = 0; attempt < MAXIMUM_SEND_ATTEMPTS; attempt++) {
      const outcome = await this.#sendOnce(openIntent.intent, send);
      if (outcome.kind === "done" || outcome.kind === "refused") return outcome;
      if (outcome.kind !== "unknown") return lastUnknownOutcome ?? outcome;
      lastUnknownOutcome = outcome;
      const jitter = this.#context.random.next();
      await this.#context.clock.sleep(
        RESEND_INTERVAL_MILLISECONDS * 2 ** attempt * jitter,
      );
    }
    return lastUnknownOutcome ?? { kind: "notRun", reason: "Not sent" };
  }

  async #sendOnce<Result>(
    order: OrderIntent,
    send: SendOrder<Result>,
  ): Promise<OrderOutcome<Result>> {
    const { clock, settings } = this.#context;
    const fencingNumber = Number(order.fencingNumber);
    const deadline = new AbortController();
    const finished = new AbortController();
    const mayStart: SendGuard = () =>
      !deadline.signal.aborted &&
      this.#lease.getHeldLease()?.fencingNumber === fencingNumber;
    if (!mayStart()) return { kind: "notHeld" };
    const sent = send({
      order,
      idempotencyKey: order.idempotencyKey,
      fencingNumber,
      signal: deadline.signal,
      mayStart,
    });
    const timeout = clock.sleep(
      settings.orderDeadlineMilliseconds,
      finished.signal,
    ).then((): SendOutcome<Result> => {
      deadline.abort();
      return { kind: "unknown", reason: "The order's deadline has passed" };
    });
    const outcome = await Promise.race([sent, timeout]);
    finished.abort();
    return outcome;
  }

  async #recordOutcome<Result>(
    openIntent: OpenIntent,
    outcome: OrderOutcome<Result>,
  ): Promise<OrderOutcome<Result>> {
    const { idempotencyKey } = openIntent.intent;
    if (outcome.kind === "unknown") {
      this.#unresolved.add(openIntent.intent);
      return outcome;
    }
    this.#unresolved.remove(idempotencyKey);
    if (outcome.kind === "done" && outcome.server !== undefined) {
      const doneIntent = await this.#intents.markDone(
        openIntent,
        outcome.server,
      );
      this.#completed.set(idempotencyKey, doneIntent);
      return outcome;
    }
    if (outcome.kind === "refused") {
      this.#context.log.emit("orderRefused", {
        lease: this.#lease.name,
        idempotencyKey,
        reason: outcome.reason,
      });
    }
    const deletion = await this.#intents.close(openIntent);
    if (deletion === "deleted") return outcome;
    // The remaining row must be deleted before a newer order for the same server is sent.
    this.#unresolved.add(openIntent.intent);
    if (outcome.kind === "done" || outcome.kind === "refused") return outcome;
    // A later holder may have taken over the row and may send the order.
    return { kind: "unknown", reason: "The order's intent was not deleted" };
  }

  // Returns the reason why the takeover failed; an empty string is success.
  async #ensureTakenOver(): Promise<string> {
    const held = this.#lease.getHeldLease();
    if (held === undefined) return "The lease is not held";
    if (held.fencingNumber === this.#takenOverFencingNumber) return "";
    this.#pendingTakeOver ??= this.#takeOver(held.fencingNumber).finally(() => {
      this.#pendingTakeOver = undefined;
    });
    return await this.#pendingTakeOver;
  }

  /** Discards the orders that were recorded under an earlier fencing number. */
  #resetState(fencingNumber: number): void {
    this.#stateFencingNumber = fencingNumber;
    this.#unresolved.clear();
    this.#completed.clear();
  }

  // Returns the reason why the takeover failed; an empty string is success.
  async #takeOver(fencingNumber: number): Promise<string> {
    if (fencingNumber !== this.#stateFencingNumber) {
      this.#resetState(fencingNumber);
    }
    const expired = this.#unresolved.findExpired();
    const listed = await this.#intents.list();
    if (listed.kind !== "ok") return listed.reason;
    const keys = new Set(listed.value.map((row) => row.intent.idempotencyKey));
    for (const key of expired) {
      // The order has no row, and its pending intent write can no longer commit.
      if (!keys.has(key)) this.#unresolved.remove(key);
    }
    for (const { intent } of listed.value) {
      if (intent.state === IntentState.DONE) {
        this.#completed.set(intent.idempotencyKey, intent);
      }
    }
    const openIntents = listed.value.filter(({ intent }) =>
      intent.state !== IntentState.DONE
    );
    for (
      let from = 0;
      from < openIntents.length;
      from += MAXIMUM_CONCURRENT_RESENDS
    ) {
      const batch = openIntents.slice(from, from + MAXIMUM_CONCURRENT_RESENDS);
      const reasons = await Promise.all(
        batch.map((row) => this.#resendOpenOrder(row)),
      );
      const firstReason = reasons.find((reason) => reason !== "");
      if (firstReason !== undefined) return firstReason;
    }
    this.#takenOverFencingNumber = fencingNumber;
    this.#logTakeOver(openIntents.length);
    return "";
  }

  /**
   * Resends an open order that is not in flight; returns the reason when the outcome is `notHeld`
   * or `notRun`, and an empty string for any other outcome.
   */
  async #resendOpenOrder({ intent, rowVersion }: OpenIntent): Promise<string> {
    if (this.#inFlight.find(intent.idempotencyKey) !== undefined) return "";
    const outcome = await this.#inFlight.execute(intent, async () => {
      const isExclusive = this.#inFlight.startSending(intent);
      if (!isExclusive) return BLOCKED;
      return await this.#openAndSend(intent, this.#resend, rowVersion);
    });
    if (outcome.kind === "notHeld") return "The lease is not held";
    return outcome.kind === "notRun" ? outcome.reason : "";
  }

  #logTakeOver(openCount: number): void {
    if (openCount === 0) return;
    this.#context.log.emit("intentsTakenOver", {
      lease: this.#lease.name,
      open: openCount,
      unresolved: this.#unresolved.intents().length,
    });
  }
}

const BLOCKED = {
  kind: "unknown",
  reason: "Another order for the same server is in flight",
} as const;

const SUPERSEDED = {
  kind: "unknown",
  reason: "Another order superseded it",
} as const;

function toIntent(order: OrderRequest): OrderIntent {
  return create(OrderIntentSchema, {
    idempotencyKey: order.idempotencyKey,
    operation: order.operation,
    service: order.service,
    failureDomain: order.failureDomain ?? "",
    tier: order.tier ?? "",
    server: order.server ?? "",
    weightVersion: BigInt(order.weightVersion ?? 0),
  });
}
