import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import {
  type ClaimRecord,
  ClaimRecordSchema,
  type KeptAnswer,
  KeptAnswerSchema,
} from "../../../generated/snipepath/v1/records_pb.ts";
import type { NodeContext } from "../../context/node_context.ts";
import { invariant } from "../../utilities/invariant.ts";
import {
  ANSWER_NOT_KEPT,
  type ClaimOutcome,
  type HeldClaim,
  MAY_HAVE_RUN,
  OTHER_REQUEST,
  STILL_RUNNING,
  STORE_AWAY,
} from "./claim_outcome.ts";
import { ClaimSettler } from "./claim_settler.ts";
import {
  type ClaimName,
  claimRowKey,
  ClaimTable,
  type VersionedClaim,
} from "./claim_table.ts";
import { within } from "../../utilities/within.ts";

const MAXIMUM_ATTEMPTS = 3;
const CLAIM_MILLISECONDS = 1000;
const SETTLE_MILLISECONDS = 500;

/** A call that asks for a claim. */
export interface ClaimRequest {
  readonly name: ClaimName;
  /** SHA-256 of the request, in hexadecimal. */
  readonly digest: string;
  readonly requestIdentifier: string;
}

/**
 * Lets a call that may not be repeated run at most once for each idempotency key, over all nodes.
 *
 * The claim is in the table before anything is dispatched. Who does not know whether it holds the
 * claim does not run.
 * @example
 * ```ts
 * const outcome = await claims.claim({ name, digest, requestIdentifier });
 * if (outcome.kind === "claimed") await run();
 * ```
 */
export class ClaimKeeper {
  readonly #context: NodeContext;
  readonly #table: ClaimTable;
  readonly #settler: ClaimSettler;

  /** @param context - The node. */
  constructor(context: NodeContext) {
    this.#context = context;
    this.#table = new ClaimTable(context.platform.table);
    this.#settler = new ClaimSettler(context, this.#table);
  }

  /** Returns how many claims wait for the platform. */
  get unsettled(): number {
    return this.#settler.size;
  }

  /** Claims a key; refuses as not run when the table does not answer within a bounded time. */
  async claim(request: ClaimRequest): Promise<ClaimOutcome> {
    const rowKey = claimRowKey(request.name);
    const record = this.#createRecord(request);
    const claiming = this.#attemptAll(rowKey, record);
    const outcome = await within(claiming, {
      clock: this.#context.clock,
      milliseconds: CLAIM_MILLISECONDS,
    });
    if (outcome === undefined || outcome === STORE_AWAY) {
      this.#settler.add({ rowKey, record, state: "notRun" });
      return STORE_AWAY;
    }
    return outcome;
  }

  /** Keeps the answer of a call that ran; undefined for one that is too large. */
  async finish(
    claim: HeldClaim,
    answer: KeptAnswer | undefined,
  ): Promise<void> {
    const { rowKey, record } = claim;
    await this.#settle({
      rowKey,
      record,
      state: "finished",
      ...(answer === undefined ? {} : {
        answer: {
          object: `claims/${rowKey}/${record.requestIdentifier}`,
          status: answer.status,
          body: toBinary(KeptAnswerSchema, answer),
        },
      }),
    });
  }

  /** Gives back the claim of a call that provably did not run. */
  async release({ rowKey, record }: HeldClaim): Promise<void> {
    await this.#settle({ rowKey, record, state: "notRun" });
  }

  /** Notes that nobody can tell whether the call ran. */
  async leave({ rowKey, record }: HeldClaim): Promise<void> {
    await this.#settle({ rowKey, record, state: "unknown" });
  }

  async #settle(
    settlement: Parameters<ClaimSettler["add"]>[0],
  ): Promise<void> {
    this.#settler.add(settlement);
    await within(this.#settler.settleAll(), {
      clock: this.#context.clock,
      milliseconds: SETTLE_MILLISECONDS,
    });
  }

  #createRecord(request: ClaimRequest): ClaimRecord {
    const { settings, nodeStart, clock } = this.#context;
    return create(ClaimRecordSchema, {
      node: settings.node,
      nodeStart,
      requestDigest: request.digest,
      state: "running",
      requestIdentifier: request.requestIdentifier,
      claimedAtUnixMilliseconds: BigInt(Math.round(clock.wall())),
    });
  }

  async #attemptAll(
    rowKey: string,
    record: ClaimRecord,
  ): Promise<ClaimOutcome> {
    let version = 0;
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const written = await this.#table.write(rowKey, record, version);
      if (written.kind === "notRun") return STORE_AWAY;
      if (written.kind === "ok" && written.value !== "conflict") {
        return hold(rowKey, { record, version: written.value.version });
      }
      const found = await this.#table.read(rowKey);
      if (found.kind !== "ok") return STORE_AWAY;
      const outcome = await this.#judge(rowKey, record, found.value);
      if (outcome !== undefined) return outcome;
      version = found.value?.version ?? 0;
    }
    return STORE_AWAY;
  }

  // Undefined when the claim may be written over the version that was found.
  async #judge(
    rowKey: string,
    record: ClaimRecord,
    found: VersionedClaim | undefined,
  ): Promise<ClaimOutcome | undefined> {
    if (found === undefined) return undefined;
    const held = found.record;
    if (held.requestIdentifier === record.requestIdentifier) {
      return hold(rowKey, found);
    }
    if (held.state === "unknown") return MAY_HAVE_RUN;
    if (held.requestDigest !== record.requestDigest) return OTHER_REQUEST;
    if (held.state === "notRun") return undefined;
    if (held.state !== "finished") return STILL_RUNNING;
    return await this.#findAnswer(held);
  }

  async #findAnswer(record: ClaimRecord): Promise<ClaimOutcome> {
    if (record.answerObject === "") return ANSWER_NOT_KEPT;
    const object = await this.#context.platform.objects.get(
      record.answerObject,
    );
    if (object.kind !== "ok") return KEPT_BUT_AWAY;
    if (object.value === undefined) return ANSWER_NOT_KEPT;
    return parseAnswer(object.value);
  }
}

function parseAnswer(bytes: Uint8Array): ClaimOutcome {
  try {
    return { kind: "kept", answer: fromBinary(KeptAnswerSchema, bytes) };
  } catch {
    return ANSWER_NOT_KEPT;
  }
}

const KEPT_BUT_AWAY: ClaimOutcome = {
  kind: "refused",
  refusal: {
    error: "platformUnavailable",
    message:
      "A call with the idempotency key ran; its answer can't be read now",
    ran: "unknown",
    retryAfterMilliseconds: 2000,
  },
};

function hold(rowKey: string, claim: VersionedClaim): ClaimOutcome {
  invariant(
    claim.record.state === "running",
    `A claim in state ${claim.record.state} was about to run`,
  );
  return { kind: "claimed", claim: { rowKey, ...claim } };
}
