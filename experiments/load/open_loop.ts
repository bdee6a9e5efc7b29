import type { AddressBook } from "../clients/address_book.ts";
import { call, type CallOutcome } from "../clients/call.ts";
import type { PlannedRequest, RequestStream } from "./request_plan.ts";

const RESPONSE_TIMEOUT_MILLISECONDS = 30_000;

/** Result of one request of an open loop. */
export interface RequestRecord {
  readonly stream: RequestStream;
  /** Scheduled time of sending, in milliseconds from the start of the open loop. */
  readonly scheduledMilliseconds: number;
  /** Time from the scheduled sending to the complete response or the loss, in milliseconds. */
  readonly latencyMilliseconds: number;
  /** `answered`: status 200. `refused`: any other status. `lost`: no complete response. */
  readonly outcome: "answered" | "refused" | "lost";
  /** Field `error` of a refused response, or the status if the body isn't JSON; otherwise empty. */
  readonly refusal: string;
}

/** Plan of an open loop, and the addresses, keys, model and paths to send it to. */
export interface OpenLoopOptions {
  readonly plan: ReadonlyArray<PlannedRequest>;
  /** Address book by organisation. */
  readonly addresses: ReadonlyMap<string, AddressBook>;
  /** API key by organisation. */
  readonly keys: ReadonlyMap<string, string>;
  /** Returns the HOST:PORT on which the node with an index listens for callers. */
  readonly nodeAddress: (index: number) => string;
  /** Model that completions ask for. */
  readonly model: string;
  /** Path of calls that may be repeated. */
  readonly statusPath: string;
  /** Path of calls that may not be repeated. */
  readonly orderPath: string;
}

/**
 * Sends every request at its scheduled time, independently of earlier responses, and waits for all
 * responses.
 * Latency counts from the scheduled time, so that a stalled sender doesn't hide delays.
 * @param options - Plan, addresses, keys, model and paths.
 */
export async function runOpenLoop(
  options: OpenLoopOptions,
): Promise<ReadonlyArray<RequestRecord>> {
  const startedAt = performance.now();
  const running: Promise<RequestRecord>[] = [];
  for (const planned of options.plan) {
    const waitMilliseconds = startedAt + planned.scheduledMilliseconds -
      performance.now();
    if (waitMilliseconds > 1) {
      await new Promise((resolve) => setTimeout(resolve, waitMilliseconds));
    }
    running.push(sendPlanned(options, planned, startedAt));
  }
  return await Promise.all(running);
}

async function sendPlanned(
  options: OpenLoopOptions,
  planned: PlannedRequest,
  startedAt: number,
): Promise<RequestRecord> {
  const { stream, scheduledMilliseconds } = planned;
  const book = options.addresses.get(stream.organisation);
  const address = stream.onlyNode === undefined
    ? await book?.choose() ?? ""
    : options.nodeAddress(stream.onlyNode);
  const outcome = await send(options, planned, address);
  const latencyMilliseconds = performance.now() - startedAt -
    scheduledMilliseconds;
  if (outcome.kind === "lost") {
    book?.avoid(address);
    return {
      stream,
      scheduledMilliseconds,
      latencyMilliseconds,
      outcome: "lost",
      refusal: "",
    };
  }
  if (outcome.status === 200) {
    return {
      stream,
      scheduledMilliseconds,
      latencyMilliseconds,
      outcome: "answered",
      refusal: "",
    };
  }
  const refusal = readError(outcome);
  return {
    stream,
    scheduledMilliseconds,
    latencyMilliseconds,
    outcome: "refused",
    refusal,
  };
}

function send(
  options: OpenLoopOptions,
  planned: PlannedRequest,
  address: string,
): Promise<CallOutcome> {
  const { stream, requestNumber, promptIndex } = planned;
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
        prompt: createPrompt(stream.organisation, promptIndex),
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
    path: `${base}/${stream.organisation}-${requestNumber}`,
    key,
    timeoutMilliseconds,
  });
}

function createPrompt(organisation: string, promptIndex: number): string {
  const subject = `${organisation} page ${promptIndex} `;
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
