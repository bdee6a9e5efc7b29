import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { create } from "@bufbuild/protobuf";
import {
  type KeptAnswer,
  KeptAnswerSchema,
} from "../../../generated/snipepath/v1/records_pb.ts";

const MAXIMUM_STORED_BYTES = 262_144;
const PER_EXCHANGE_HEADERS: ReadonlyArray<string> = [
  "connection",
  "date",
  "keep-alive",
  "transfer-encoding",
  "x-request-id",
];

/** Records a response while it is written to the caller. */
export class AnswerRecorder {
  readonly #response: ServerResponse;
  readonly #chunks: Buffer[] = [];
  #bytes = 0;

  /** @param response - A response of which nothing has been written yet. */
  constructor(response: ServerResponse) {
    this.#response = response;
    this.#recordCalls("write");
    this.#recordCalls("end");
  }

  /** Returns the recorded answer; undefined if it has more than MAXIMUM_STORED_BYTES. */
  answer(): KeptAnswer | undefined {
    if (this.#bytes > MAXIMUM_STORED_BYTES) return undefined;
    const headers = Object.entries(this.#response.getHeaders())
      .filter(([name]) => !PER_EXCHANGE_HEADERS.includes(name))
      .map(([name, value]) => ({
        name,
        values: [value ?? ""].flat().map(String),
      }));
    return create(KeptAnswerSchema, {
      status: this.#response.statusCode,
      headers,
      body: Buffer.concat(this.#chunks),
    });
  }

  #recordCalls(name: "write" | "end"): void {
    const response = this.#response;
    const original = response[name] as (...values: unknown[]) => unknown;
    const recording = (...values: unknown[]): unknown => {
      this.#record(values[0]);
      return original.apply(response, values);
    };
    Object.defineProperty(response, name, { value: recording });
  }

  #record(chunk: unknown): void {
    const isData = typeof chunk === "string" || chunk instanceof Uint8Array;
    if (!isData) return;
    const bytes = Buffer.from(chunk as string);
    this.#bytes += bytes.length;
    if (this.#bytes <= MAXIMUM_STORED_BYTES) this.#chunks.push(bytes);
    else this.#chunks.length = 0;
  }
}

/**
 * Sends a stored answer to a caller that repeats its call.
 * @param response - The response to end.
 * @param answer - The stored answer.
 * @example
 * ```ts
 * sendKeptAnswer(response, outcome.answer);
 * ```
 */
export function sendKeptAnswer(
  response: ServerResponse,
  answer: KeptAnswer,
): void {
  response.statusCode = answer.status;
  for (const { name, values } of answer.headers) {
    const [only, second] = values;
    response.setHeader(name, second === undefined ? only ?? "" : values);
  }
  response.setHeader("idempotent-replayed", "true");
  response.end(answer.body);
}
