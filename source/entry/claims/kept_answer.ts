import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { create } from "@bufbuild/protobuf";
import {
  type KeptAnswer,
  KeptAnswerSchema,
} from "../../../generated/snipepath/v1/records_pb.ts";

const MAXIMUM_KEPT_BYTES = 262_144;
const HEADERS_OF_ONE_EXCHANGE: ReadonlyArray<string> = [
  "connection",
  "date",
  "keep-alive",
  "transfer-encoding",
  "x-request-id",
];

/** Copies an answer while it is written to a caller. */
export class AnswerRecorder {
  readonly #response: ServerResponse;
  readonly #chunks: Buffer[] = [];
  #bytes = 0;

  /** @param response - The response, of which nothing has been written. */
  constructor(response: ServerResponse) {
    this.#response = response;
    this.#copyCalls("write");
    this.#copyCalls("end");
  }

  /** Returns the answer that was written; undefined when it is too large to keep. */
  answer(): KeptAnswer | undefined {
    if (this.#bytes > MAXIMUM_KEPT_BYTES) return undefined;
    const headers = Object.entries(this.#response.getHeaders())
      .filter(([name]) => !HEADERS_OF_ONE_EXCHANGE.includes(name))
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

  #copyCalls(name: "write" | "end"): void {
    const response = this.#response;
    const original = response[name] as (...values: unknown[]) => unknown;
    const copying = (...values: unknown[]): unknown => {
      this.#keep(values[0]);
      return original.apply(response, values);
    };
    Object.defineProperty(response, name, { value: copying });
  }

  #keep(chunk: unknown): void {
    const isData = typeof chunk === "string" || chunk instanceof Uint8Array;
    if (!isData) return;
    const bytes = Buffer.from(chunk as string);
    this.#bytes += bytes.length;
    if (this.#bytes <= MAXIMUM_KEPT_BYTES) this.#chunks.push(bytes);
    else this.#chunks.length = 0;
  }
}

/**
 * Sends a kept answer to a caller that asks again.
 * @param response - The response to end.
 * @param answer - The kept answer.
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
