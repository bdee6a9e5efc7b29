import { create } from "@bufbuild/protobuf";
import {
  type OrderIntent,
  OrderIntentSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import type { NodeContext } from "../node/node_context.ts";
import type { SendGuard } from "../platform/send_guard.ts";
import type { LeaseKeeper } from "./lease_keeper.ts";
import { type OpenIntent, OrderIntents } from "./order_intents.ts";

const MAXIMUM_SENDS = 3;
const RESEND_MILLISECONDS = 100;

/** An order as its giver states it. */
export interface LedgerOrder {
  /** The same for each repetition of the order, by whichever node; without "/". */
  readonly idempotencyKey: string;
  readonly operation: "start" | "stop" | "loadVersion";
  readonly service: string;
  readonly failureDomain?: string;
  readonly tier?: string;
  /** Address of the backend server that the order goes to or is about. */
  readonly server?: string;
  readonly weightVersion?: number;
}

/** What a send callback needs in order to send an order once. */
export interface OrderSending {
  readonly order: OrderIntent;
  readonly idempotencyKey: string;
  readonly fencingNumber: number;
  /** Aborted at the order's deadline; nothing may be sent after that. */
  readonly signal: AbortSignal;
  /** Whether the order may still go out; to be asked in the tick of the first byte. */
  readonly mayStart: SendGuard;
}

/** What one send came to. */
export type SendOutcome<Result> =
  | { readonly kind: "done"; readonly result: Result }
  /** The receiver refused; the order took no effect and is not sent again. */
  | { readonly kind: "refused"; readonly reason: string }
  | { readonly kind: "notRun"; readonly reason: string }
  | { readonly kind: "unknown"; readonly reason: string };

/** What became of an order. */
export type OrderOutcome<Result> =
  | SendOutcome<Result>
  /** This node is not in charge; nothing was sent. */
  | { readonly kind: "notHeld" };

/** Sends an order once; its first byte must leave within the tick in which `mayStart` is true. */
export type SendOrder<Result> = (
  sending: OrderSending,
) => Promise<SendOutcome<Result>>;

interface UnresolvedOrder {
  readonly open: OpenIntent;
  /** Monotonic time of the last send's end, in milliseconds. */
  readonly since: number;
}

/** What a ledger needs. */
export interface OrderLedgerOptions {
  readonly context: NodeContext;
  /** The lease that the orders are given under; its `run` is started by the owner. */
  readonly lease: LeaseKeeper;
  /** Sends an open order of an earlier holder again. */
  readonly resend: SendOrder<unknown>;
}

/**
 * Gives orders to the outside so that two nodes that both believe they are in charge never
 * both give them. An order goes through these steps, for backend server orders and for
 * orders to engines alike:
 *
 * 1. Open orders of earlier holders are sent again, with their own idempotency keys.
 * 2. The intent is written in a transaction that checks the lease's row.
 * 3. The lease is checked again in the tick of the send.
 * 4. The order carries the fencing number, the idempotency key and a deadline.
 * 5. The intent is deleted once the result is known; an unknown one stays open.
 * 6. A newer order about the same server voids an unknown one, after its deadline.
 *
 * Several orders may be under way at once; one idempotency key is sent once at a time.
 * @example
 * ```ts
 * const ledger = new OrderLedger({ context, lease, resend: sendLoad });
 * const outcome = await ledger.perform(
 *   { idempotencyKey: "trainer-1:7:10.0.0.1:80", operation: "loadVersion", service, server },
 *   async ({ fencingNumber, idempotencyKey, signal, mayStart }) => {
 *     if (!mayStart()) return { kind: "notRun", reason: "The lease lapsed" };
 *     return toSendOutcome(await engines.loadVersion(server, order, { signal }));
 *   },
 * );
 * ```
 */
export class OrderLedger {
  readonly #context: NodeContext;
  readonly #lease: LeaseKeeper;
  readonly #resend: SendOrder<unknown>;
  readonly #intents: OrderIntents;
  readonly #underWay = new Map<string, Promise<OrderOutcome<unknown>>>();
  readonly #unresolved = new Map<string, UnresolvedOrder>();
  #takenOverAt = 0;
  #takingOver: Promise<string> | undefined;

  /** @param options - The lease and how open orders are sent again. */
  constructor(options: OrderLedgerOptions) {
    this.#context = options.context;
    this.#lease = options.lease;
    this.#resend = options.resend;
    this.#intents = new OrderIntents(options.context, options.lease);
  }

  /** Returns the orders whose effect is unknown still; of use only while the lease is held. */
  unresolved(): ReadonlyArray<OrderIntent> {
    return [...this.#unresolved.values()].map(({ open }) => open.intent);
  }

  /**
   * Takes over the open orders of earlier holders, once for each fencing number.
   * @returns Whether that is done; false when the lease is not held or the table is away.
   */
  async takeOver(): Promise<boolean> {
    return await this.#ensureTakenOver() === "";
  }

  /**
   * Gives one order.
   * @param order - The order.
   * @param send - Sends it once; called again with the same key when its answer is lost.
   * @returns `unknown` leaves the order open: the same idempotency key may be given again.
   */
  perform<Result>(
    order: LedgerOrder,
    send: SendOrder<Result>,
  ): Promise<OrderOutcome<Result>> {
    const earlier = this.#underWay.get(order.idempotencyKey);
    if (earlier !== undefined) {
      return earlier as Promise<OrderOutcome<Result>>;
    }
    const running = this.#perform(order, send).finally(() =>
      this.#underWay.delete(order.idempotencyKey)
    );
    this.#underWay.set(order.idempotencyKey, running);
    return running;
  }

  async #perform<Result>(
    order: LedgerOrder,
    send: SendOrder<Result>,
  ): Promise<OrderOutcome<Result>> {
    if (this.#lease.ifHeld() === undefined) return { kind: "notHeld" };
    const obstacle = await this.#ensureTakenOver();
    if (obstacle !== "") return { kind: "notRun", reason: obstacle };
    if (!(await this.#supersede(order))) {
      const reason = "An earlier order to the same server may be under way";
      return { kind: "notRun", reason };
    }
    const open = this.#unresolved.get(order.idempotencyKey)?.open;
    return await this.#openAndSend(toIntent(order), { send, open });
  }

  async #openAndSend<Result>(
    intent: OrderIntent,
    how: {
      readonly send: SendOrder<Result>;
      readonly open: OpenIntent | undefined;
    },
  ): Promise<OrderOutcome<Result>> {
    const written = await this.#intents.write(
      intent,
      how.open?.rowVersion ?? 0,
    );
    if (written.kind === "notHeld") return written;
    if (written.kind === "failed") {
      return { kind: "notRun", reason: written.reason };
    }
    const outcome = await this.#sendUntilKnown(
      written.open,
      how.send,
      written.wasOpen,
    );
    await this.#conclude(written.open, outcome);
    return outcome;
  }

  async #sendUntilKnown<Result>(
    open: OpenIntent,
    send: SendOrder<Result>,
    wasSentBefore: boolean,
  ): Promise<OrderOutcome<Result>> {
    let unknown: SendOutcome<Result> | undefined = wasSentBefore
      ? { kind: "unknown", reason: "An earlier send may have taken effect" }
      : undefined;
    for (let attempt = 0; attempt < MAXIMUM_SENDS; attempt++) {
      const outcome = await this.#sendOnce(open.intent, send);
      if (outcome.kind === "done" || outcome.kind === "refused") return outcome;
      if (outcome.kind !== "unknown") return unknown ?? outcome;
      unknown = outcome;
      const jitter = this.#context.random.next();
      await this.#context.clock.sleep(
        RESEND_MILLISECONDS * 2 ** attempt * jitter,
      );
    }
    return unknown ?? { kind: "notRun", reason: "Not sent" };
  }

  async #sendOnce<Result>(
    order: OrderIntent,
    send: SendOrder<Result>,
  ): Promise<OrderOutcome<Result>> {
    const { clock, settings } = this.#context;
    const fencingNumber = Number(order.fencingNumber);
    const deadline = new AbortController();
    const ended = new AbortController();
    const mayStart: SendGuard = () =>
      !deadline.signal.aborted &&
      this.#lease.ifHeld()?.fencingNumber === fencingNumber;
    if (!mayStart()) return { kind: "notHeld" };
    const sent = send({
      order,
      idempotencyKey: order.idempotencyKey,
      fencingNumber,
      signal: deadline.signal,
      mayStart,
    });
    const overdue = clock.sleep(
      settings.orderDeadlineMilliseconds,
      ended.signal,
    ).then((): SendOutcome<Result> => {
      deadline.abort();
      return { kind: "unknown", reason: "The order's deadline has passed" };
    });
    const outcome = await Promise.race([sent, overdue]);
    ended.abort();
    return outcome;
  }

  async #conclude(
    open: OpenIntent,
    outcome: OrderOutcome<unknown>,
  ): Promise<void> {
    const { log } = this.#context;
    const idempotencyKey = open.intent.idempotencyKey;
    const fields = { lease: this.#lease.name, idempotencyKey };
    if (outcome.kind === "unknown") {
      const since = this.#context.clock.monotonic();
      this.#unresolved.set(idempotencyKey, { open, since });
      log.emit("orderUnresolved", { ...fields, reason: outcome.reason });
      return;
    }
    this.#unresolved.delete(idempotencyKey);
    if (outcome.kind === "refused") {
      log.emit("orderRefused", { ...fields, reason: outcome.reason });
    }
    await this.#intents.close(open);
  }

  /** Closes unresolved orders that a newer one to the same server makes void. */
  async #supersede(order: LedgerOrder): Promise<boolean> {
    const { clock, settings } = this.#context;
    const superseded = [...this.#unresolved.values()].filter(({ open }) =>
      order.operation !== "start" &&
      open.intent.idempotencyKey !== order.idempotencyKey &&
      open.intent.operation === order.operation &&
      open.intent.server === order.server
    );
    for (const { open, since } of superseded) {
      const age = clock.monotonic() - since;
      if (age < settings.orderDeadlineMilliseconds) return false;
      if (!(await this.#intents.close(open))) return false;
      this.#unresolved.delete(open.intent.idempotencyKey);
    }
    return true;
  }

  async #ensureTakenOver(): Promise<string> {
    const held = this.#lease.ifHeld();
    if (held === undefined) return "The lease is not held";
    if (held.fencingNumber === this.#takenOverAt) return "";
    this.#takingOver ??= this.#takeOver(held.fencingNumber).finally(() => {
      this.#takingOver = undefined;
    });
    return await this.#takingOver;
  }

  async #takeOver(fencingNumber: number): Promise<string> {
    const listed = await this.#intents.list();
    if (listed.kind !== "ok") return listed.reason;
    this.#unresolved.clear();
    for (const open of listed.value) {
      const { idempotencyKey } = open.intent;
      if (this.#underWay.has(idempotencyKey)) continue;
      const outcome = await this.#openAndSend(open.intent, {
        send: this.#resend,
        open,
      });
      if (outcome.kind === "notHeld") return "The lease is not held";
      if (outcome.kind === "notRun") return outcome.reason;
    }
    this.#takenOverAt = fencingNumber;
    this.#context.log.emit("intentsTakenOver", {
      lease: this.#lease.name,
      open: listed.value.length,
      unresolved: this.#unresolved.size,
    });
    return "";
  }
}

function toIntent(order: LedgerOrder): OrderIntent {
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
