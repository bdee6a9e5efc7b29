import type { PlainOutcome, Work } from "../../dispatch/dispatcher.ts";
import type { EntryExchange } from "../entry_handler.ts";
import { endCall, type PlainCall, toPlainWork } from "../plain_call.ts";
import { type Refusal, sendRefusal } from "../refusal.ts";
import { readWholeBody } from "../request_body.ts";
import {
  type ServedAmount,
  serveWork,
  type WorkHandlerOptions,
} from "../served_work.ts";
import type { ClaimKeeper, ClaimRequest } from "./claim_keeper.ts";
import type { ClaimOutcome, HeldClaim } from "./claim_outcome.ts";
import { AnswerRecorder, sendKeptAnswer } from "./kept_answer.ts";
import { digestRequest, WholeRequest } from "./whole_request.ts";

const KEY_PATTERN = /^[\x21-\x7e]{1,128}$/;
const OPEN_KEY_PATTERN = /^[\x21-\x7e]{32,128}$/;

/** What claimed calls are served with. */
export interface ClaimedCallOptions extends WorkHandlerOptions {
  readonly claims: ClaimKeeper;
}

/** A plain call with the caller's idempotency key. */
export interface ClaimedCall extends PlainCall {
  readonly key: string;
}

type ClaimedOutcome =
  | PlainOutcome
  | Exclude<ClaimOutcome, { readonly kind: "claimed" }>;

/**
 * Serves a call that may not be repeated under the caller's idempotency key: it runs at most once over
 * all nodes, and a repetition gets the kept answer.
 * @param exchange - The caller's exchange.
 * @param options - The parts of the node.
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
  const fault = checkKey(exchange, call.key);
  if (fault !== undefined) return sendRefusal(response, fault);
  const body = await readWholeBody(exchange.request, { signal });
  if (body.kind === "gone") return;
  if (body.kind === "refused") return sendRefusal(response, body.refusal);
  const request = new WholeRequest(exchange.request, body.bytes);
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
      run({ ...exchange, request }, options, { call, claimRequest, work }),
  });
  if (outcome.kind === "refused") {
    return sendRefusal(response, outcome.refusal);
  }
  if (outcome.kind === "kept") return sendKeptAnswer(response, outcome.answer);
  endCall(exchange, options, outcome);
}

async function run(
  exchange: EntryExchange,
  options: ClaimedCallOptions,
  parts: {
    readonly call: ClaimedCall;
    readonly claimRequest: ClaimRequest;
    readonly work: Work;
  },
): Promise<ServedAmount<ClaimedOutcome>> {
  const { call, claimRequest, work } = parts;
  const claimed = await options.claims.claim(claimRequest);
  if (claimed.kind !== "claimed") return { outcome: claimed, tokens: 0 };
  const recorder = new AnswerRecorder(exchange.response);
  const plainWork = toPlainWork(exchange, call, work);
  const outcome = await options.dispatcher.runPlain(plainWork);
  await settle(options.claims, claimed.claim, { outcome, recorder });
  return { outcome, tokens: 0 };
}

async function settle(
  claims: ClaimKeeper,
  claim: HeldClaim,
  end: { readonly outcome: PlainOutcome; readonly recorder: AnswerRecorder },
): Promise<void> {
  const { outcome, recorder } = end;
  if (outcome.kind === "finished") {
    return await claims.finish(claim, recorder.answer());
  }
  if (outcome.kind === "notRun") return await claims.release(claim);
  await claims.leave(claim);
}

// On an open route all callers share one organisation, so a key must be hard to meet by chance.
function checkKey(exchange: EntryExchange, key: string): Refusal | undefined {
  const isOpen = exchange.caller.keyIdentifier === "";
  const pattern = isOpen ? OPEN_KEY_PATTERN : KEY_PATTERN;
  if (pattern.test(key)) return undefined;
  const least = isOpen ? 32 : 1;
  return {
    error: "invalidRequest",
    message: `The key must have ${least} to 128 visible ASCII characters`,
    ran: "notRun",
    field: "header idempotency-key",
  };
}
