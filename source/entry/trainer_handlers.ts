import type { ServerResponse } from "node:http";
import type { Trainer } from "../../generated/snipepath/v1/declaration_pb.ts";
import type { Sample } from "../../generated/snipepath/v1/records_pb.ts";
import type { PullResponse } from "../steps/step_pull_handler.ts";
import type { StepRefusal } from "../steps/step_refusal.ts";
import type { StepService } from "../steps/step_service.ts";
import type { EntryExchange, EntryRoute } from "./entry_handler.ts";
import { type Refusal, sendRefusal } from "./refusal.ts";
import { readJsonBody } from "./request_body.ts";
import {
  type ParsedInput,
  parsePublication,
  parsePull,
  parseStep,
} from "./trainer_handlers_input.ts";

const MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;

/** Components of the node that serve the trainers' routes. */
export interface TrainerRoutesOptions {
  readonly steps: StepService;
}

type TrainerHandler = (
  exchange: EntryExchange,
  trainer: Trainer,
) => Promise<void>;

/**
 * Creates the routes of the trainers' interface.
 * @param options - Components of the node that serve the routes.
 * @example
 * ```ts
 * const routes = createTrainerRoutes({ steps });
 * ```
 */
export function createTrainerRoutes(
  options: TrainerRoutesOptions,
): ReadonlyArray<EntryRoute> {
  const { steps } = options;
  return [
    createTrainerRoute(
      steps,
      "POST",
      "/weights",
      (exchange, trainer) => publishWeights(steps, exchange, trainer),
    ),
    createTrainerRoute(
      steps,
      "POST",
      "/steps",
      (exchange, trainer) => submitStep(steps, exchange, trainer),
    ),
    createTrainerRoute(
      steps,
      "GET",
      "/steps/:step/samples",
      (exchange) => pullSamples(steps, exchange),
    ),
    createTrainerRoute(
      steps,
      "DELETE",
      "/steps/:step",
      (exchange) => cancelStep(steps, exchange),
    ),
  ];
}

function createTrainerRoute(
  steps: StepService,
  method: EntryRoute["method"],
  path: string,
  handler: TrainerHandler,
): EntryRoute {
  return {
    method,
    path: `/v1/trainers/:trainer${path}`,
    authentication: "trainerKey",
    handler: async (exchange): Promise<void> => {
      const name = getParameter(exchange, "trainer");
      const trainer = steps.getTrainer(name);
      const refusal = checkTrainer(name, exchange, trainer);
      if (trainer === undefined || refusal !== undefined) {
        sendRefusal(exchange.response, refusal ?? refuseUnknownTrainer(name));
        return;
      }
      await handler(exchange, trainer);
    },
  };
}

function checkTrainer(
  name: string,
  exchange: EntryExchange,
  trainer: Trainer | undefined,
): Refusal | undefined {
  const { caller } = exchange;
  if (!caller.isTrainer) {
    return refuseForbidden("The key is not a trainer's key");
  }
  if (trainer === undefined) return refuseUnknownTrainer(name);
  if (trainer.organisation === caller.organisation) return undefined;
  return refuseForbidden(`Trainer ${name} belongs to another organisation`);
}

function refuseUnknownTrainer(name: string): Refusal {
  return {
    error: "notFound",
    message: `No declared trainer is named ${name}`,
    ran: "notRun",
    field: "trainer",
  };
}

function refuseForbidden(message: string): Refusal {
  return { error: "forbidden", message, ran: "notRun", field: "trainer" };
}

// Reads and validates a body; sends a refusal if it is invalid, and returns undefined then or after
// an abort.
async function readInput<Value>(
  exchange: EntryExchange,
  parse: (body: unknown) => ParsedInput<Value>,
): Promise<Value | undefined> {
  const body = await readJsonBody(exchange.request, {
    signal: exchange.signal,
    maximumBytes: MAXIMUM_BODY_BYTES,
  });
  if (body.kind === "gone") return undefined;
  const input = body.kind === "refused" ? body : parse(body.value);
  if (input.kind === "input") return input.value;
  sendRefusal(exchange.response, input.refusal);
  return undefined;
}

async function publishWeights(
  steps: StepService,
  exchange: EntryExchange,
  trainer: Trainer,
): Promise<void> {
  const { response } = exchange;
  const input = await readInput(exchange, parsePublication);
  if (input === undefined) return;
  const outcome = await steps.publish({
    trainer: trainer.name,
    service: trainer.service,
    ...input,
  });
  if (outcome.kind === "refused") return sendStepRefusal(response, outcome);
  sendJson(response, {
    trainer: trainer.name,
    version: outcome.version,
    confirmed: outcome.confirmed,
    silent: outcome.silent,
  });
}

async function submitStep(
  steps: StepService,
  exchange: EntryExchange,
  trainer: Trainer,
): Promise<void> {
  const { response } = exchange;
  const input = await readInput(exchange, parseStep);
  if (input === undefined) return;
  const submission = { trainer: trainer.name, ...input };
  const outcome = await steps.submit(submission, trainer);
  if (outcome.kind === "refused") return sendStepRefusal(response, outcome);
  const { manifest } = outcome;
  sendJson(response, {
    trainer: manifest.trainer,
    step: manifest.step,
    epoch: manifest.epoch,
    stalenessBound: manifest.stalenessBoundVersions,
    cursor: outcome.cursor,
    isNew: outcome.isNew,
  });
}

async function pullSamples(
  steps: StepService,
  exchange: EntryExchange,
): Promise<void> {
  const { response, signal } = exchange;
  const input = parsePull(exchange.url.searchParams);
  if (input.kind === "refused") return sendRefusal(response, input.refusal);
  const name = {
    trainer: getParameter(exchange, "trainer"),
    step: getParameter(exchange, "step"),
  };
  const refusal = await steps.pull(
    { ...name, ...input.value, signal },
    (answer) => sendJson(response, toPullResponseBody(answer)),
  );
  if (refusal !== undefined) return sendStepRefusal(response, refusal);
  if (response.writableEnded || response.destroyed) return;
  sendRefusal(response, {
    error: "keyWithdrawn",
    message: "The key was withdrawn during the pull",
    ran: "notRun",
  });
}

async function cancelStep(
  steps: StepService,
  exchange: EntryExchange,
): Promise<void> {
  const outcome = await steps.cancel({
    trainer: getParameter(exchange, "trainer"),
    step: getParameter(exchange, "step"),
  });
  if (outcome.kind === "refused") {
    return sendStepRefusal(exchange.response, outcome);
  }
  const { trainer, step, epoch } = outcome.manifest;
  sendJson(exchange.response, { trainer, step, epoch, cancelled: true });
}

function toPullResponseBody(answer: PullResponse): unknown {
  const { manifest } = answer;
  return {
    trainer: manifest.trainer,
    step: manifest.step,
    epoch: manifest.epoch,
    samples: answer.samples.map(toSampleBody),
    cursor: answer.cursor,
    newestVersion: answer.newestVersion,
    held: answer.held,
    wanted: answer.wanted,
    isWhole: answer.held === answer.wanted,
  };
}

function toSampleBody(sample: Sample): unknown {
  return {
    index: sample.index,
    group: sample.group,
    text: sample.text,
    finishReason: sample.finishReason,
    stretches: sample.stretches.map((stretch) => ({
      weightVersion: Number(stretch.weightVersion),
      tokens: stretch.tokens,
    })),
  };
}

function sendJson(response: ServerResponse, body: unknown): void {
  if (response.destroyed) return;
  response.statusCode = 200;
  response.setHeader("content-type", "application/json");
  response.end(JSON.stringify(body) + "\n");
}

function sendStepRefusal(
  response: ServerResponse,
  refusal: StepRefusal,
): void {
  const { kind: _kind, ...content } = refusal;
  sendRefusal(response, content);
}

function getParameter(exchange: EntryExchange, name: string): string {
  return exchange.parameters[name] ?? "";
}
