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
  ANSWER_NOT_STORED,
  type ClaimOutcome,
  type HeldClaim,
  KEY_REUSED,
  MAY_HAVE_RUN,
  PLATFORM_UNAVAILABLE,
  STILL_RUNNING,
} from "./claim_outcome.ts";
import { ClaimSettler } from "./claim_settler.ts";
import {
  type ClaimName,
  claimRowKey,
  ClaimTable,
  type VersionedClaim,
} from "./claim_table.ts";
import { withTimeout } from "../../utilities/with_timeout.ts";

const MAXIMUM_ATTEMPTS = 3;
const CLAIM_TIMEOUT_MILLISECONDS = 1000;
const SETTLE_TIMEOUT_MILLISECONDS = 500;

/** A request to claim an idempotency key for a call. */
export interface ClaimRequest {
  readonly name: ClaimName;
  /** SHA-256 of the request, in hexadecimal. */
  readonly digest: string;
  readonly requestIdentifier: string;
}

/**
 * Ensures by claims that a call that is not repeatable runs at most once for each idempotency key,
 * across all nodes.
 *
 * A node writes the claim to the table before it dispatches the call. A node that does not know whether its
 * write took effect does not dispatch the call.
 * @example
 * ```ts
 * const outcome = await claims.claim({ name, digest, requestIdentifier });
 * if (outcome.kind === "claimed") await run();
 * ```
 */
export class ClaimManager {
  readonly #context: NodeContext;
  readonly #table: ClaimTable;
  readonly #settler: ClaimSettler;

  /** @param context - Context of the node. */
  constructor(context: NodeContext) {
    this.#context = context;
    this.#table = new ClaimTable(context.platform.table);
    this.#settler = new ClaimSettler(context, this.#table);
  }

  /** Returns how many claims have a final state that is not yet written to the platform. */
  get unsettledCount(): number {
    return this.#settler.size;
  }

  /** Claims an idempotency key; refuses the call if the table does not respond within CLAIM_TIMEOUT_MILLISECONDS. */
  async claim(request: ClaimRequest): Promise<ClaimOutcome> {
    const rowKey = claimRowKey(request.name);
    const record = this.#createRecord(request);
    const claiming = this.#claimWithRetries(rowKey, record);
    const outcome = await withTimeout(claiming, {
      clock: this.#context.clock,
      milliseconds: CLAIM_TIMEOUT_MILLISECONDS,
    });
    if (outcome === undefined || outcome === PLATFORM_UNAVAILABLE) {
      this.#settler.add({ rowKey, record, state: "notRun" });
      return PLATFORM_UNAVAILABLE;
    }
    return outcome;
  }

  /** Stores the answer of a call that ran; the answer is undefined if it is too large to store. */
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

  /** Releases the claim of a call that certainly did not run. */
  async release({ rowKey, record }: HeldClaim): Promise<void> {
    await this.#settle({ rowKey, record, state: "notRun" });
  }

  /** Records that it is unknown whether the call ran. */
  async markUnknown({ rowKey, record }: HeldClaim): Promise<void> {
    await this.#settle({ rowKey, record, state: "unknown" });
  }

  async #settle(
    settlement: Parameters<ClaimSettler["add"]>[0],
  ): Promise<void> {
    this.#settler.add(settlement);
    await withTimeout(this.#settler.settleAll(), {
      clock: this.#context.clock,
      milliseconds: SETTLE_TIMEOUT_MILLISECONDS,
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

  async #claimWithRetries(
    rowKey: string,
    record: ClaimRecord,
  ): Promise<ClaimOutcome> {
    let version = 0;
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const written = await this.#table.write(rowKey, record, version);
      if (written.kind === "notRun") return PLATFORM_UNAVAILABLE;
      if (written.kind === "ok" && written.value !== "conflict") {
        return toClaimed(rowKey, { record, version: written.value.version });
      }
      const found = await this.#table.read(rowKey);
      if (found.kind !== "ok") return PLATFORM_UNAVAILABLE;
      const outcome = await this.#decide(rowKey, record, found.value);
      if (outcome !== undefined) return outcome;
      version = found.value?.version ?? 0;
    }
    return PLATFORM_UNAVAILABLE;
  }

  // Returns undefined if the claim may be written over the version that was found.
  async #decide(
    rowKey: string,
    record: ClaimRecord,
    found: VersionedClaim | undefined,
  ): Promise<ClaimOutcome | undefined> {
    if (found === undefined) return undefined;
    const current = found.record;
    if (current.requestIdentifier === record.requestIdentifier) {
      return toClaimed(rowKey, found);
    }
    if (current.state === "unknown") return MAY_HAVE_RUN;
    if (current.requestDigest !== record.requestDigest) return KEY_REUSED;
    if (current.state === "notRun") return undefined;
    if (current.state !== "finished") return STILL_RUNNING;
    return await this.#findAnswer(current);
  }

  async #findAnswer(record: ClaimRecord): Promise<ClaimOutcome> {
    if (record.answerObject === "") return ANSWER_NOT_STORED;
    const object = await this.#context.platform.objects.get(
      record.answerObject,
    );
    if (object.kind !== "ok") return ANSWER_UNAVAILABLE;
    if (object.value === undefined) return ANSWER_NOT_STORED;
    return parseAnswer(object.value);
  }
}

function parseAnswer(bytes: Uint8Array): ClaimOutcome {
  try {
    return { kind: "kept", answer: fromBinary(KeptAnswerSchema, bytes) };
  } catch {
    return ANSWER_NOT_STORED;
  }
}

const ANSWER_UNAVAILABLE: ClaimOutcome = {
  kind: "refused",
  refusal: {
    error: "platformUnavailable",
    message:
      "A call with the idempotency key ran; its answer can't be read now",
    ran: "unknown",
    retryAfterMilliseconds: 2000,
  },
};

function toClaimed(rowKey: string, claim: VersionedClaim): ClaimOutcome {
  invariant(
    claim.record.state === "running",
    `A call must not run while its claim is in state ${claim.record.state}`,
  );
  return { kind: "claimed", claim: { rowKey, ...claim } };
}
