import type {
  CompletionOutcome,
  FinishedCompletion,
  Work,
} from "../dispatch/dispatcher.ts";
import type { CompletionMetadata } from "./completion_answer.ts";
import { CompletionStream, sendCompletion } from "./completion_answer.ts";
import {
  type CompletionRequest,
  parseCompletion,
} from "./completion_request.ts";
import {
  type DeclaredWork,
  findCompletionWork,
  findDeadline,
} from "./declared_work.ts";
import type { EntryExchange, EntryRoute } from "./entry_handler.ts";
import {
  NO_CONFIGURATION,
  type Refusal,
  sendRefusal,
  toRefusal,
} from "./refusal.ts";
import { readJsonBody } from "./request_body.ts";
import {
  serveWork,
  type WorkHandlerOptions,
  type WorkResult,
} from "./served_work.ts";

const CHARACTERS_PER_TOKEN = 4;

interface PlannedCompletion {
  readonly request: CompletionRequest;
  readonly declared: DeclaredWork;
  readonly deadlineMilliseconds: number;
}

/**
 * Creates the route that serves completions of model engines.
 * @param options - Components of the node that serve the route.
 * @example
 * ```ts
 * const routes = [createCompletionRoute({ context, configuration, admission, dispatcher, usage })];
 * ```
 */
export function createCompletionRoute(options: WorkHandlerOptions): EntryRoute {
  return {
    method: "POST",
    path: "/v1/completions",
    authentication: "optionalKey",
    handler: (exchange) => handleCompletion(exchange, options),
  };
}

async function handleCompletion(
  exchange: EntryExchange,
  options: WorkHandlerOptions,
): Promise<void> {
  const { request, response, signal } = exchange;
  const body = await readJsonBody(request, { signal });
  if (body.kind === "gone") return;
  if (body.kind === "refused") return sendRefusal(response, body.refusal);
  const completion = planCompletion(exchange, options, body.value);
  if ("error" in completion) return sendRefusal(response, completion);
  await serveCompletion(exchange, options, completion);
}

function planCompletion(
  exchange: EntryExchange,
  options: WorkHandlerOptions,
  body: unknown,
): PlannedCompletion | Refusal {
  const parsed = parseCompletion(body);
  if (parsed.kind === "refused") return parsed.refusal;
  const declaration = options.configuration.current()?.declaration;
  if (declaration === undefined) return NO_CONFIGURATION;
  const { model, classOfWork } = parsed.request;
  const { caller } = exchange;
  const declared = findCompletionWork(declaration, {
    model,
    classOfWork,
    caller,
  });
  if ("error" in declared) return declared;
  const deadline = findDeadline(
    declared.classOfWork,
    exchange.request.headers["x-deadline-milliseconds"],
  );
  if (deadline.kind === "refused") return deadline.refusal;
  const deadlineMilliseconds = deadline.milliseconds;
  return { request: parsed.request, declared, deadlineMilliseconds };
}

async function serveCompletion(
  exchange: EntryExchange,
  options: WorkHandlerOptions,
  completion: PlannedCompletion,
): Promise<void> {
  const { response } = exchange;
  const { request } = completion;
  const metadata: CompletionMetadata = {
    requestIdentifier: exchange.requestIdentifier,
    model: request.model,
    created: Math.floor(options.context.clock.wall() / 1000),
  };
  const stream = request.stream
    ? new CompletionStream(response, metadata)
    : undefined;
  const promptTokens = Math.ceil(request.prompt.length / CHARACTERS_PER_TOKEN);
  const outcome = await serveWork<CompletionOutcome>(options, {
    exchange,
    declared: completion.declared,
    deadlineMilliseconds: completion.deadlineMilliseconds,
    expectedTokens: promptTokens + request.maximumTokens,
    run: (work) => runCompletion(options, work, { request, stream }),
  });
  if (outcome.kind === "finished") {
    recordUsage(exchange, options, outcome);
    if (stream !== undefined) return stream.end(outcome);
    return sendCompletion(response, metadata, outcome);
  }
  recordPartialUsage(exchange, options, stream);
  sendRefusal(response, toRefusal(outcome));
}

async function runCompletion(
  options: WorkHandlerOptions,
  work: Work,
  parts: {
    readonly request: CompletionRequest;
    readonly stream: CompletionStream | undefined;
  },
): Promise<WorkResult<CompletionOutcome>> {
  const { request, stream } = parts;
  let streamedTokens = 0;
  const outcome = await options.dispatcher.runCompletion({
    ...work,
    prompt: request.prompt,
    maximumTokens: request.maximumTokens,
    minimumWeightVersion: 0,
    ...(stream === undefined ? {} : {
      onTokens: (tokens) => {
        streamedTokens += tokens.tokens;
        stream.write(tokens);
      },
    }),
  });
  const tokens = outcome.kind === "finished"
    ? outcome.usage.promptTokens + outcome.usage.generatedTokens
    : streamedTokens;
  return { outcome, tokens };
}

function recordUsage(
  exchange: EntryExchange,
  options: WorkHandlerOptions,
  completion: FinishedCompletion,
): void {
  options.usage.record(exchange.caller.organisation, {
    requests: 1,
    promptTokens: completion.usage.promptTokens,
    generatedTokens: completion.usage.generatedTokens,
  });
}

// Charges a caller that disconnects during a stream for the streamed tokens; no other unfinished
// answer is charged.
function recordPartialUsage(
  exchange: EntryExchange,
  options: WorkHandlerOptions,
  stream: CompletionStream | undefined,
): void {
  if (stream === undefined || stream.tokens === 0) return;
  if (exchange.signal.reason !== "callerGone") return;
  options.usage.record(exchange.caller.organisation, {
    requests: 1,
    promptTokens: 0,
    generatedTokens: stream.tokens,
  });
}
