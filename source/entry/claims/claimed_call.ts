import type { PlainOutcome, Work } from "../../dispatch/dispatcher.ts";
import type { EntryExchange } from "../entry_handler.ts";
import { finishCall, type PlainCall, toPlainWork } from "../plain_call.ts";
import { type Refusal, sendRefusal } from "../refusal.ts";
import { readWholeBody } from "../request_body.ts";
import {
  serveWork,
  type WorkHandlerOptions,
  type WorkResult,
} from "../served_work.ts";
import type { ClaimManager, ClaimRequest } from "./claim_manager.ts";
import type { ClaimOutcome, HeldClaim } from "./claim_outcome.ts";
import { AnswerRecorder, sendKeptAnswer } from "./kept_answer.ts";
import { BufferedRequest, digestRequest } from "./buffered_request.ts";

const KEY_PATTERN = /^[\x21-\x7e]{1,128}$/;
const ANONYMOUS_KEY_PATTERN = /^[\x21-\x7e]{32,128}$/;

/** Components of the node that serve claimed calls. */
export interface ClaimedCallOptions extends WorkHandlerOptions {
  readonly claims: ClaimManager;
}

/** A plain call with the caller's idempotency key. */
export interface ClaimedCall extends PlainCall {
  readonly key: string;
}

type ClaimedOutcome =
  | PlainOutcome
  | Exclude<ClaimOutcome, { readonly kind: "claimed" }>;

/**
 * Serves a call to a route that is not repeatable under the caller's idempotency key: the call runs at most
 * once across all nodes, and a repetition gets the stored answer.
 * @param exchange - The caller's exchange.
 * @param options - Components of the node that serve the call.
 * @param call - The call.
 * @example
 * ```ts
 * await serveClaimedCall(exchange, options, { route, declared, deadlineMilliseconds, key });
 * ```
 */
export async function serveClaimedCall(
  exchange: EntryExchange,
  options: ClaimedCallOptions,
  call: ClaimedCall,
): Promise<void> {
  const { response, signal } = exchange;
  const refusal = checkIdempotencyKey(exchange, call.key);
  if (refusal !== undefined) return sendRefusal(response, refusal);
  const body = await readWholeBody(exchange.request, { signal });
  if (body.kind === "gone") return;
  if (body.kind === "refused") return sendRefusal(response, body.refusal);
  const request = new BufferedRequest(exchange.request, body.bytes);
  const claimRequest: ClaimRequest = {
    name: {
      organisation: exchange.caller.organisation,
      route: call.route.name,
      key: call.key,
    },
    digest: digestRequest(exchange.request, body.bytes),
    requestIdentifier: exchange.requestIdentifier,
  };
  const outcome = await serveWork<ClaimedOutcome>(options, {
    exchange,
    declared: call.declared,
    deadlineMilliseconds: call.deadlineMilliseconds,
    expectedTokens: 0,
    run: (work) =>
      runClaimed({ ...exchange, request }, options, {
        call,
        claimRequest,
        work,
      }),
  });
  if (outcome.kind === "refused") {
    return sendRefusal(response, outcome.refusal);
  }
  if (outcome.kind === "kept") return sendKeptAnswer(response, outcome.answer);
  finishCall(exchange, options, outcome);
}

async function runClaimed(
  exchange: EntryExchange,
  options: ClaimedCallOptions,
  parts: {
    readonly call: ClaimedCall;
    readonly claimRequest: ClaimRequest;
    readonly work: Work;
  },
): Promise<WorkResult<ClaimedOutcome>> {
  const { call, claimRequest, work } = parts;
  const claimed = await options.claims.claim(claimRequest);
  if (claimed.kind !== "claimed") return { outcome: claimed, tokens: 0 };
  const recorder = new AnswerRecorder(exchange.response);
  const plainWork = toPlainWork(exchange, call, work);
  const outcome = await options.dispatcher.runPlain(plainWork);
  await settleClaim(options.claims, claimed.claim, { outcome, recorder });
  return { outcome, tokens: 0 };
}

async function settleClaim(
  claims: ClaimManager,
  claim: HeldClaim,
  result: {
    readonly outcome: PlainOutcome;
    readonly recorder: AnswerRecorder;
  },
): Promise<void> {
  const { outcome, recorder } = result;
  if (outcome.kind === "finished") {
    return await claims.finish(claim, recorder.answer());
  }
  if (outcome.kind === "notRun") return await claims.release(claim);
  await claims.markUnknown(claim);
}

// All callers without a key share one organisation, so their idempotency keys must be too long to collide by chance.
function checkIdempotencyKey(
  exchange: EntryExchange,
  key: string,
): Refusal | undefined {
  const isAnonymous = exchange.caller.keyIdentifier === "";
  const pattern = isAnonymous ? ANONYMOUS_KEY_PATTERN : KEY_PATTERN;
  if (pattern.test(key)) return undefined;
  const minimum = isAnonymous ? 32 : 1;
  return {
    error: "invalidRequest",
    message: `The key must have ${minimum} to 128 visible ASCII characters`,
    ran: "notRun",
    field: "header idempotency-key",
  };
}
