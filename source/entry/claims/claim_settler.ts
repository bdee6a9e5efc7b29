import type { ClaimRecord } from "../../../generated/snipepath/v1/records_pb.ts";
import type { NodeContext } from "../../context/node_context.ts";
import type { ClaimState, ClaimTable } from "./claim_table.ts";

const RETRY_MILLISECONDS = 500;
const ABSENT_KEPT_MILLISECONDS = 60_000;
const MAXIMUM_AT_ONCE = 50;
const MAXIMUM_WAITING = 5000;
const MAXIMUM_WAITING_ANSWERS = 200;

/** A kept answer on its way to the object store. */
export interface AnswerToKeep {
  readonly object: string;
  readonly status: number;
  readonly body: Uint8Array;
}

/** The state in which a claim of this node is to end. */
export interface Settlement {
  readonly rowKey: string;
  /** The claim as this node wrote it, or tried to. */
  readonly record: ClaimRecord;
  readonly state: Exclude<ClaimState, "running">;
  readonly answer?: AnswerToKeep;
}

interface WaitingSettlement {
  readonly settlement: Settlement;
  readonly since: number;
}

/** Brings claims to their end state, again and again while the platform is away. */
export class ClaimSettler {
  readonly #context: NodeContext;
  readonly #table: ClaimTable;
  readonly #waiting = new Map<string, WaitingSettlement>();
  readonly #running = new Set<string>();
  #isRunning = false;

  /**
   * @param context - The node.
   * @param table - The claims.
   */
  constructor(context: NodeContext, table: ClaimTable) {
    this.#context = context;
    this.#table = table;
  }

  /** Returns how many claims wait for their end state. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Adds a claim that is to end; the oldest is given up when too many wait, and stays as it is in the table. */
  add(settlement: Settlement): void {
    const since = this.#context.clock.monotonic();
    const { requestIdentifier } = settlement.record;
    this.#waiting.set(requestIdentifier, {
      settlement: this.#bounded(settlement),
      since,
    });
    if (this.#waiting.size > MAXIMUM_WAITING) this.#dropOldest();
    if (!this.#isRunning) void this.#run();
  }

  /** Tries once to settle each claim that waits and is not being settled now. */
  async settleAll(): Promise<void> {
    const due = [...this.#waiting]
      .filter(([identifier]) => !this.#running.has(identifier))
      .slice(0, MAXIMUM_AT_ONCE);
    await Promise.all(
      due.map(([identifier, waiting]) => this.#settleOne(identifier, waiting)),
    );
  }

  // Ends when nothing waits; the next claim starts it anew.
  async #run(): Promise<void> {
    const { clock, stopping } = this.#context;
    this.#isRunning = true;
    while (!stopping.aborted && this.#waiting.size > 0) {
      await clock.sleep(RETRY_MILLISECONDS, stopping);
      await this.settleAll();
    }
    this.#isRunning = false;
  }

  #dropOldest(): void {
    const [oldest] = this.#waiting.keys();
    if (oldest !== undefined) this.#waiting.delete(oldest);
  }

  async #settleOne(
    identifier: string,
    waiting: WaitingSettlement,
  ): Promise<void> {
    this.#running.add(identifier);
    const isDone = await this.#settle(waiting);
    this.#running.delete(identifier);
    this.#waiting.delete(identifier);
    if (!isDone) this.#waiting.set(identifier, waiting);
  }

  async #settle({ settlement, since }: WaitingSettlement): Promise<boolean> {
    const { rowKey, record, state, answer } = settlement;
    const found = await this.#table.read(rowKey);
    if (found.kind !== "ok") return false;
    // A write of this node that is still under way may appear later.
    if (found.value === undefined) return this.#isGivenUp(since);
    const held = found.value.record;
    const isOwn = held.requestIdentifier === record.requestIdentifier;
    if (!isOwn) return this.#isGivenUp(since);
    if (held.state !== "running") return true;
    if (answer !== undefined && !await this.#keep(answer)) return false;
    const written = await this.#table.write(rowKey, {
      ...held,
      state,
      status: answer?.status ?? 0,
      answerObject: answer?.object ?? "",
    }, found.value.version);
    return written.kind === "ok" && written.value !== "conflict";
  }

  async #keep(answer: AnswerToKeep): Promise<boolean> {
    const { objects } = this.#context.platform;
    const put = await objects.put(answer.object, answer.body);
    return put.kind === "ok";
  }

  #isGivenUp(since: number): boolean {
    const waited = this.#context.clock.monotonic() - since;
    return waited > ABSENT_KEPT_MILLISECONDS;
  }

  #bounded(settlement: Settlement): Settlement {
    if (settlement.answer === undefined) return settlement;
    const answers = [...this.#waiting.values()].filter(({ settlement }) =>
      settlement.answer !== undefined
    );
    if (answers.length < MAXIMUM_WAITING_ANSWERS) return settlement;
    const { rowKey, record, state } = settlement;
    return { rowKey, record, state };
  }
}
