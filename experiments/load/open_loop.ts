import type { AddressBook } from "../clients/address_book.ts";
import { call, type CallOutcome } from "../clients/call.ts";
import type { PlannedRequest, RequestStream } from "./request_plan.ts";

const RESPONSE_TIMEOUT_MILLISECONDS = 30_000;

/** Result of one request of an open loop. */
export interface RequestRecord {
  readonly stream: RequestStream;
  /** Scheduled time of sending, in milliseconds from the start. */
  readonly at: number;
  /** Time from the scheduled sending to the complete response, in milliseconds. */
  readonly latency: number;
  readonly outcome: "answered" | "refused" | "lost";
  /** Type of the refusal; empty otherwise. */
  readonly refusal: string;
}

/** Plan and targets of an open loop. */
export interface OpenLoopOptions {
  readonly plan: ReadonlyArray<PlannedRequest>;
  /** Address book by organisation. */
  readonly addresses: ReadonlyMap<string, AddressBook>;
  readonly keys: ReadonlyMap<string, string>;
  /** Returns the caller address of a node by its index. */
  readonly nodeAddress: (index: number) => string;
  readonly model: string;
  readonly statusPath: string;
  readonly orderPath: string;
}

/**
 * Sends every request at its scheduled time, independently of earlier responses, and waits for all.
 * Latency counts from the scheduled time, so that a stalled sender doesn't hide delays.
 * @param options - Plan and targets.
 */
export async function runOpenLoop(
  options: OpenLoopOptions,
): Promise<ReadonlyArray<RequestRecord>> {
  const startedAt = performance.now();
  const running: Promise<RequestRecord>[] = [];
  for (const planned of options.plan) {
    const wait = startedAt + planned.at - performance.now();
    if (wait > 1) await new Promise((resolve) => setTimeout(resolve, wait));
    running.push(sendPlanned(options, planned, startedAt));
  }
  return await Promise.all(running);
}

async function sendPlanned(
  options: OpenLoopOptions,
  planned: PlannedRequest,
  startedAt: number,
): Promise<RequestRecord> {
  const { stream, at } = planned;
  const book = options.addresses.get(stream.organisation);
  const address = stream.onlyNode === undefined
    ? await book?.choose() ?? ""
    : options.nodeAddress(stream.onlyNode);
  const outcome = await send(options, planned, address);
  const latency = performance.now() - startedAt - at;
  if (outcome.kind === "lost") {
    book?.avoid(address);
    return { stream, at, latency, outcome: "lost", refusal: "" };
  }
  if (outcome.status === 200) {
    return { stream, at, latency, outcome: "answered", refusal: "" };
  }
  const refusal = readError(outcome);
  return { stream, at, latency, outcome: "refused", refusal };
}

function send(
  options: OpenLoopOptions,
  planned: PlannedRequest,
  address: string,
): Promise<CallOutcome> {
  const { stream, number, prompt } = planned;
  const key = options.keys.get(stream.organisation);
  const timeoutMilliseconds = RESPONSE_TIMEOUT_MILLISECONDS;
  if (stream.kind === "completion") {
    return call({
      address,
      method: "POST",
      path: "/v1/completions",
      key,
      body: {
        model: options.model,
        class: stream.classOfWork,
        prompt: createPrompt(stream.organisation, prompt),
        ["max_tokens"]: stream.tokens,
      },
      timeoutMilliseconds,
    });
  }
  const base = stream.kind === "status"
    ? options.statusPath
    : options.orderPath;
  return call({
    address,
    method: "GET",
    path: `${base}/${stream.organisation}-${number}`,
    key,
    timeoutMilliseconds,
  });
}

function createPrompt(organisation: string, prompt: number): string {
  const subject = `${organisation} page ${prompt} `;
  return `Contract the text of ${subject.repeat(24)}`;
}

function readError(
  outcome: Extract<CallOutcome, { readonly kind: "answer" }>,
): string {
  try {
    return String((JSON.parse(outcome.text) as { error: unknown }).error);
  } catch {
    return `status ${outcome.status}`;
  }
}
