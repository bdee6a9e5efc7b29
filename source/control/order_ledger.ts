import { create } from "@bufbuild/protobuf";
import {
  IntentState,
  type OrderIntent,
  OrderIntentSchema,
} from "../../generated/snipepath/v1/records_pb.ts";
import type { NodeContext } from "../context/node_context.ts";
import type { SendGuard } from "../platform/send_guard.ts";
import type { LeaseKeeper } from "./lease_keeper.ts";
import { type OpenIntent, OrderIntents } from "./order_intents.ts";
import { OrdersUnderWay } from "./orders_under_way.ts";
import { UnresolvedOrders } from "./unresolved_orders.ts";

const MAXIMUM_SENDS = 3;
const RESEND_MILLISECONDS = 100;
const CONCURRENT_RESENDS = 32;

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
  | {
    readonly kind: "done";
    readonly result: Result;
    /** The backend server that was started; keeps the order on record until released. */
    readonly server?: string;
  }
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

/** What a ledger needs. */
export interface OrderLedgerOptions {
  readonly context: NodeContext;
  /** The lease that the orders are given under; its owner runs it. */
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
 * void ledger.run();
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
  readonly #underWay = new OrdersUnderWay();
  readonly #unresolved: UnresolvedOrders;
  readonly #kept = new Map<string, OrderIntent>();
  #takenOverAt = 0;
  #fencingNumber = 0;
  #takingOver: Promise<string> | undefined;

  /** @param options - The lease and how open orders are sent again. */
  constructor(options: OrderLedgerOptions) {
    this.#context = options.context;
    this.#lease = options.lease;
    this.#resend = options.resend;
    const { context, lease } = options;
    this.#intents = new OrderIntents(context, lease);
    const intents = this.#intents;
    this.#unresolved = new UnresolvedOrders(context, { lease, intents });
  }

  /** Returns the orders whose effect is unknown still; of use only while the lease is held. */
  unresolved(): ReadonlyArray<OrderIntent> {
    return this.#unresolved.intents();
  }

  /** Returns the done orders that are kept on record, earlier holders' included. */
  kept(): ReadonlyArray<OrderIntent> {
    return [...this.#kept.values()];
  }

  /** Ends the record of a done order. */
  async release(idempotencyKey: string): Promise<void> {
    if (await this.#intents.withdraw(idempotencyKey)) {
      this.#kept.delete(idempotencyKey);
    }
  }

  /** Sends the orders without a known result again, until the node stops. */
  async run(): Promise<void> {
    const { clock, settings, stopping } = this.#context;
    while (!stopping.aborted) {
      await clock.sleep(settings.leaseMilliseconds, stopping);
      this.#takenOverAt = 0;
      await this.#ensureTakenOver();
    }
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
    const earlier = this.#underWay.find(order.idempotencyKey);
    if (earlier !== undefined) return earlier as Promise<OrderOutcome<Result>>;
    return this.#underWay.track(order, () => this.#perform(order, send));
  }

  async #perform<Result>(
    order: LedgerOrder,
    send: SendOrder<Result>,
  ): Promise<OrderOutcome<Result>> {
    if (this.#lease.ifHeld() === undefined) return { kind: "notHeld" };
    const obstacle = await this.#ensureTakenOver();
    if (obstacle !== "") return { kind: "notRun", reason: obstacle };
    const isAlone = this.#underWay.startSending(order) &&
      await this.#unresolved.supersede(order);
    if (!isAlone) {
      const reason = "An earlier order to the same server may be under way";
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
    if (written.kind === "gone") return GONE;
    if (written.kind === "unknown") this.#unresolved.add(intent);
    if (written.kind !== "written") return written;
    const { open, wasOpen } = written;
    const outcome = await this.#sendUntilKnown(open, send, wasOpen);
    return await this.#conclude(open, outcome);
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

  async #conclude<Result>(
    open: OpenIntent,
    outcome: OrderOutcome<Result>,
  ): Promise<OrderOutcome<Result>> {
    const { idempotencyKey } = open.intent;
    if (outcome.kind === "unknown") {
      this.#unresolved.add(open.intent);
      return outcome;
    }
    this.#unresolved.remove(idempotencyKey);
    if (outcome.kind === "done" && outcome.server !== undefined) {
      const kept = await this.#intents.keep(open, outcome.server);
      this.#kept.set(idempotencyKey, kept);
      return outcome;
    }
    if (outcome.kind === "refused") {
      this.#context.log.emit("orderRefused", {
        lease: this.#lease.name,
        idempotencyKey,
        reason: outcome.reason,
      });
    }
    const closed = await this.#intents.close(open);
    if (closed === "deleted") return outcome;
    // The row that was left has to be withdrawn before a newer order about the server.
    this.#unresolved.add(open.intent);
    if (outcome.kind === "done" || outcome.kind === "refused") return outcome;
    // A later holder may have taken the row over and send the order.
    return { kind: "unknown", reason: "The order's intent was not withdrawn" };
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

  /** Forgets what was known under an earlier hold of the lease. */
  #startAnew(fencingNumber: number): void {
    this.#fencingNumber = fencingNumber;
    this.#unresolved.clear();
    this.#kept.clear();
  }

  async #takeOver(fencingNumber: number): Promise<string> {
    if (fencingNumber !== this.#fencingNumber) this.#startAnew(fencingNumber);
    const past = this.#unresolved.past();
    const listed = await this.#intents.list();
    if (listed.kind !== "ok") return listed.reason;
    const keys = new Set(listed.value.map((row) => row.intent.idempotencyKey));
    for (const key of past) {
      // Its row was never written, and can no longer be.
      if (!keys.has(key)) this.#unresolved.remove(key);
    }
    for (const { intent } of listed.value) {
      if (intent.state === IntentState.DONE) {
        this.#kept.set(intent.idempotencyKey, intent);
      }
    }
    const open = listed.value.filter(({ intent }) =>
      intent.state !== IntentState.DONE
    );
    for (let from = 0; from < open.length; from += CONCURRENT_RESENDS) {
      const batch = open.slice(from, from + CONCURRENT_RESENDS);
      const obstacles = await Promise.all(
        batch.map((row) => this.#sendAgain(row)),
      );
      const obstacle = obstacles.find((reason) => reason !== "");
      if (obstacle !== undefined) return obstacle;
    }
    this.#takenOverAt = fencingNumber;
    this.#noteTakenOver(open.length);
    return "";
  }

  /** Sends an open order again; returns what prevented it. */
  async #sendAgain({ intent, rowVersion }: OpenIntent): Promise<string> {
    if (this.#underWay.find(intent.idempotencyKey) !== undefined) return "";
    const outcome = await this.#underWay.track(intent, async () => {
      const isAlone = this.#underWay.startSending(intent);
      if (!isAlone) return OVERTAKEN;
      return await this.#openAndSend(intent, this.#resend, rowVersion);
    });
    if (outcome.kind === "notHeld") return "The lease is not held";
    return outcome.kind === "notRun" ? outcome.reason : "";
  }

  #noteTakenOver(open: number): void {
    if (open === 0) return;
    this.#context.log.emit("intentsTakenOver", {
      lease: this.#lease.name,
      open,
      unresolved: this.#unresolved.intents().length,
    });
  }
}

const OVERTAKEN = {
  kind: "unknown",
  reason: "Another order about the server is under way",
} as const;

const GONE = { kind: "unknown", reason: "Another order voided it" } as const;

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
