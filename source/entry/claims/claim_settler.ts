import type { ClaimRecord } from "../../../generated/snipepath/v1/records_pb.ts";
import type { NodeContext } from "../../context/node_context.ts";
import type { ClaimState, ClaimTable } from "./claim_table.ts";

const RETRY_INTERVAL_MILLISECONDS = 500;
/** Time for which a claim is retried while its row is absent or holds another call's claim. */
const MISSING_CLAIM_RETRY_PERIOD_MILLISECONDS = 60_000;
/** Maximum number of claims that one call of `settleAll` tries to settle. */
const MAXIMUM_SETTLED_PER_CALL = 50;
const MAXIMUM_PENDING_CLAIMS = 5000;
/** Maximum number of pending answers; a claim that is added when they are this many is settled without its answer. */
const MAXIMUM_PENDING_ANSWERS = 200;

/** An answer that is to be written to the object store. */
export interface AnswerUpload {
  /** Key of the answer in the object store. */
  readonly object: string;
  readonly status: number;
  readonly body: Uint8Array;
}

/** The final state that is to be written to a claim of this node. */
export interface Settlement {
  readonly rowKey: string;
  /** The claim as this node wrote it, or attempted to write it. */
  readonly record: ClaimRecord;
  readonly state: Exclude<ClaimState, "running">;
  readonly answer?: AnswerUpload;
}

interface PendingSettlement {
  readonly settlement: Settlement;
  /** Monotonic time at which the settlement was added, in milliseconds. */
  readonly addedAt: number;
}

/** Writes the final states of claims to the table and their answers to the object store; retries failed writes. */
export class ClaimSettler {
  readonly #context: NodeContext;
  readonly #table: ClaimTable;
  /**
   * Settlements that are not written yet, by request identifier; the one that was added or tried the
   * longest time ago is first.
   */
  readonly #pending = new Map<string, PendingSettlement>();
  /** Request identifiers of the claims that are being settled. */
  readonly #inProgress = new Set<string>();
  #isLoopRunning = false;

  /**
   * @param context - Context of the node.
   * @param table - The table of claims.
   */
  constructor(context: NodeContext, table: ClaimTable) {
    this.#context = context;
    this.#table = table;
  }

  /** Returns the number of claims whose final state is not written yet. */
  get size(): number {
    return this.#pending.size;
  }

  /**
   * Adds a claim whose final state is to be written. If more than MAXIMUM_PENDING_CLAIMS are then
   * pending, drops the one that was added or tried the longest time ago and no longer retries it.
   */
  add(settlement: Settlement): void {
    const addedAt = this.#context.clock.monotonic();
    const { requestIdentifier } = settlement.record;
    this.#pending.set(requestIdentifier, {
      settlement: this.#omitAnswerIfFull(settlement),
      addedAt,
    });
    if (this.#pending.size > MAXIMUM_PENDING_CLAIMS) this.#dropOldest();
    if (!this.#isLoopRunning) void this.#runLoop();
  }

  /** Tries once to settle at most MAXIMUM_SETTLED_PER_CALL pending claims; skips those that are being settled already. */
  async settleAll(): Promise<void> {
    const due = [...this.#pending]
      .filter(([identifier]) => !this.#inProgress.has(identifier))
      .slice(0, MAXIMUM_SETTLED_PER_CALL);
    await Promise.all(
      due.map(([identifier, pending]) => this.#settleOne(identifier, pending)),
    );
  }

  // Returns when no claim is pending or the node is stopping; `add` starts the loop again.
  async #runLoop(): Promise<void> {
    const { clock, stopping } = this.#context;
    this.#isLoopRunning = true;
    while (!stopping.aborted && this.#pending.size > 0) {
      await clock.sleep(RETRY_INTERVAL_MILLISECONDS, stopping);
      await this.settleAll();
    }
    this.#isLoopRunning = false;
  }

  #dropOldest(): void {
    const [oldest] = this.#pending.keys();
    if (oldest !== undefined) this.#pending.delete(oldest);
  }

  async #settleOne(
    identifier: string,
    pending: PendingSettlement,
  ): Promise<void> {
    this.#inProgress.add(identifier);
    const isDone = await this.#settle(pending);
    this.#inProgress.delete(identifier);
    this.#pending.delete(identifier);
    if (!isDone) this.#pending.set(identifier, pending);
  }

  async #settle({ settlement, addedAt }: PendingSettlement): Promise<boolean> {
    const { rowKey, record, state, answer } = settlement;
    const found = await this.#table.read(rowKey);
    if (found.kind !== "ok") return false;
    // If the row is absent or holds another call's claim, the claim may still appear in it, because a
    // write of this node may still be in progress.
    if (found.value === undefined) return this.#hasExpired(addedAt);
    const current = found.value.record;
    const isOwn = current.requestIdentifier === record.requestIdentifier;
    if (!isOwn) return this.#hasExpired(addedAt);
    if (current.state !== "running") return true;
    if (answer !== undefined && !await this.#storeAnswer(answer)) return false;
    const written = await this.#table.write(rowKey, {
      ...current,
      state,
      status: answer?.status ?? 0,
      answerObject: answer?.object ?? "",
    }, found.value.version);
    return written.kind === "ok" && written.value !== "conflict";
  }

  async #storeAnswer(answer: AnswerUpload): Promise<boolean> {
    const { objects } = this.#context.platform;
    const put = await objects.put(answer.object, answer.body);
    return put.kind === "ok";
  }

  #hasExpired(addedAt: number): boolean {
    const elapsed = this.#context.clock.monotonic() - addedAt;
    return elapsed > MISSING_CLAIM_RETRY_PERIOD_MILLISECONDS;
  }

  /** Returns a settlement without its answer if MAXIMUM_PENDING_ANSWERS are pending already. */
  #omitAnswerIfFull(settlement: Settlement): Settlement {
    if (settlement.answer === undefined) return settlement;
    const answers = [...this.#pending.values()].filter(({ settlement }) =>
      settlement.answer !== undefined
    );
    if (answers.length < MAXIMUM_PENDING_ANSWERS) return settlement;
    const { rowKey, record, state } = settlement;
    return { rowKey, record, state };
  }
}
