import { request } from "undici";
import type { AddressBook } from "../../clients/address_book.ts";
import { call, type CallOutcome } from "../../clients/call.ts";
import type {
  Attempt,
  CallKind,
  Journal,
  ObservedOutcome,
} from "../journal.ts";

const RESPONSE_TIMEOUT_MILLISECONDS = 15_000;
const MAXIMUM_ATTEMPTS = 12;
const RETRY_MILLISECONDS = 300;
const STREAM_END = "data: [DONE]";

/** Tokens that every completion of a soak test requests. */
export const SOAK_TOKENS = 12;

/** Key that callers use; an operator may replace it during the run. */
export interface CallerKey {
  key: string;
  identifier: string;
}

/** Options of a caller. */
export interface CallerOptions {
  readonly name: string;
  readonly organisation: string;
  readonly key: CallerKey;
  readonly model: string;
  readonly orderPath: string;
  readonly statusPath: string;
  readonly addresses: AddressBook;
  readonly journal: Journal;
  readonly getNodeName: (address: string) => string;
  readonly pauseMilliseconds: number;
  readonly signal: AbortSignal;
}

interface PlannedAttempt {
  readonly call: string;
  readonly marker: string;
  readonly kind: CallKind;
}

type SendAttempt = (
  options: CallerOptions,
  plan: PlannedAttempt,
  address: string,
) => Promise<ObservedOutcome>;

const KINDS: ReadonlyArray<CallKind> = [
  "completion",
  "openStatus",
  "stream",
  "order",
  "claimedOrder",
];

const SEND_ATTEMPT_BY_KIND: Readonly<Record<CallKind, SendAttempt>> = {
  completion: async (options, plan, address) =>
    toCompletionOutcome(
      await call({
        address,
        method: "POST",
        path: "/v1/completions",
        key: options.key.key,
        body: createCompletionBody(options, plan, false),
        timeoutMilliseconds: RESPONSE_TIMEOUT_MILLISECONDS,
      }),
    ),
  stream: sendStream,
  openStatus: async (options, plan, address) =>
    toPlainOutcome(
      await call({
        address,
        method: "GET",
        path: `${options.statusPath}/${plan.marker}`,
        timeoutMilliseconds: RESPONSE_TIMEOUT_MILLISECONDS,
      }),
    ),
  order: sendOrder,
  claimedOrder: sendOrder,
};

/**
 * Makes calls of every kind until aborted, and retries the calls that may be retried.
 * @param options - Options of the caller.
 */
export async function runCaller(options: CallerOptions): Promise<void> {
  for (let number = 0; !options.signal.aborted; number += 1) {
    const kind = KINDS[number % KINDS.length] ?? "completion";
    await makeCall(options, { kind, name: `${options.name}-${number}` });
    await sleep(options.pauseMilliseconds);
  }
}

async function makeCall(
  options: CallerOptions,
  wanted: { readonly kind: CallKind; readonly name: string },
): Promise<void> {
  const { kind, name } = wanted;
  for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
    const marker = kind === "claimedOrder" ? name : `${name}-try${attempt}`;
    const outcome = await attemptCall(options, { call: name, marker, kind });
    if (outcome.kind === "answered") return;
    const isFinal = kind === "order" && !isNotRun(outcome);
    if (isFinal || options.signal.aborted) return;
    await sleep(RETRY_MILLISECONDS);
  }
}

async function attemptCall(
  options: CallerOptions,
  plan: PlannedAttempt,
): Promise<ObservedOutcome> {
  const { addresses, journal, key } = options;
  const address = await addresses.choose();
  const sentAt = journal.now();
  const keyIdentifier = key.identifier;
  const outcome = await SEND_ATTEMPT_BY_KIND[plan.kind](options, plan, address);
  const attempt: Attempt = {
    ...plan,
    organisation: options.organisation,
    keyIdentifier: plan.kind === "openStatus" ? "" : keyIdentifier,
    node: options.getNodeName(address),
    address,
    sentAt,
    endedAt: journal.now(),
    outcome,
  };
  journal.attempts.push(attempt);
  if (outcome.kind !== "answered") addresses.avoid(address);
  return outcome;
}

/**
 * Returns the prompt of a completion.
 * @param organisation - Organisation of the caller.
 * @param marker - Marker of the attempt.
 */
export function createSoakPrompt(organisation: string, marker: string): string {
  return `Spell for ${organisation} [${marker}]`;
}

function createCompletionBody(
  options: CallerOptions,
  plan: PlannedAttempt,
  stream: boolean,
): unknown {
  return {
    model: options.model,
    class: "interactive",
    prompt: createSoakPrompt(options.organisation, plan.marker),
    max_tokens: SOAK_TOKENS,
    stream,
  };
}

async function sendOrder(
  options: CallerOptions,
  plan: PlannedAttempt,
  address: string,
): Promise<ObservedOutcome> {
  return toPlainOutcome(
    await call({
      address,
      method: "POST",
      path: `${options.orderPath}/${plan.marker}`,
      key: options.key.key,
      body: { book: plan.marker },
      headers: plan.kind === "claimedOrder"
        ? { "idempotency-key": plan.marker }
        : {},
      timeoutMilliseconds: RESPONSE_TIMEOUT_MILLISECONDS,
    }),
  );
}

async function sendStream(
  options: CallerOptions,
  plan: PlannedAttempt,
  address: string,
): Promise<ObservedOutcome> {
  try {
    const response = await request(`http://${address}/v1/completions`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${options.key.key}`,
        "content-type": "application/json",
      },
      body: JSON.stringify(createCompletionBody(options, plan, true)),
      signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MILLISECONDS),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) return toRefusal(text);
    return readStream(text);
  } catch (error) {
    return { kind: "lost", reason: String(error) };
  }
}

interface StreamEvent {
  readonly choices?: ReadonlyArray<
    { readonly text: string; readonly finish_reason: string | null }
  >;
}

function readStream(text: string): ObservedOutcome {
  const lines = text.split("\n").filter((line) => line.startsWith("data: "));
  if (lines.at(-1) !== STREAM_END) {
    return {
      kind: "lost",
      reason: `The stream ended early: ${text.slice(-200)}`,
    };
  }
  const choices = lines.slice(0, -1).map((line) =>
    (JSON.parse(line.slice("data: ".length)) as StreamEvent).choices?.[0]
  );
  return {
    kind: "answered",
    text: choices.map((choice) => choice?.text ?? "").join(""),
    finishReason: choices.at(-1)?.finish_reason ?? "",
  };
}

function toCompletionOutcome(outcome: CallOutcome): ObservedOutcome {
  if (outcome.kind === "lost") return outcome;
  if (outcome.status !== 200) return toRefusal(outcome.text);
  const choice = (JSON.parse(outcome.text) as StreamEvent).choices?.[0];
  return {
    kind: "answered",
    text: choice?.text ?? "",
    finishReason: choice?.finish_reason ?? "",
  };
}

function toPlainOutcome(outcome: CallOutcome): ObservedOutcome {
  if (outcome.kind === "lost") return outcome;
  if (outcome.status !== 200) return toRefusal(outcome.text);
  return { kind: "answered", text: readPath(outcome.text), finishReason: "" };
}

// Returns a response that is not an echo unchanged, so that the checks report it.
function readPath(text: string): string {
  try {
    return String((JSON.parse(text) as { readonly path: unknown }).path);
  } catch {
    return text;
  }
}

function toRefusal(text: string): ObservedOutcome {
  try {
    const body = JSON.parse(text) as Record<string, unknown>;
    return {
      kind: "refused",
      error: String(body["error"]),
      ran: String(body["ran"]),
      hasRetryAfter: body["retryAfterMilliseconds"] !== undefined,
    };
  } catch {
    return {
      kind: "refused",
      error: `untyped: ${text.slice(0, 100)}`,
      ran: "unknown",
      hasRetryAfter: false,
    };
  }
}

function isNotRun(outcome: ObservedOutcome): boolean {
  return outcome.kind === "refused" && outcome.ran === "notRun";
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
