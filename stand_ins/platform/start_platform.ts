import { createHash } from "node:crypto";
import type { ServerResponse } from "node:http";
import type { FaultSwitch } from "../faults/fault_switch.ts";
import {
  readBody,
  type StandInExchange,
  startFaultyHttpServer,
} from "../faults/faulty_http_server.ts";
import { PLATFORM_HANDLERS } from "./platform_handlers.ts";
import type { PlatformAnswer, PlatformRequest } from "./platform_exchange.ts";
import {
  createPlatformState,
  type PlatformState,
  type PlatformStateOptions,
} from "./platform_state.ts";

/** How a stand-in of the platform is started. */
export interface StartPlatformOptions extends PlatformStateOptions {
  /** Port on loopback; 0 or absent for a free one. */
  readonly port?: number;
  /** One way, between caller and platform. */
  readonly latencyMilliseconds?: number;
}

/** A running stand-in of the platform. */
export interface RunningPlatform {
  /** HOST:PORT. */
  readonly address: string;
  readonly faults: FaultSwitch;
  readonly state: PlatformState;
  /** Ends the platform and the servers it started. */
  close(): Promise<void>;
}

interface EncodedAnswer {
  readonly identifier: string;
  readonly status: number;
  readonly type: string;
  readonly body: Uint8Array;
}

/**
 * Starts a stand-in of the platform on loopback.
 * @param options - How it behaves.
 * @example
 * ```ts
 * const platform = await startPlatform({ listLagMilliseconds: 0 });
 * await fetch(`http://${platform.address}/instances`);
 * await platform.close();
 * ```
 */
export async function startPlatform(
  options: StartPlatformOptions = {},
): Promise<RunningPlatform> {
  const state = createPlatformState(options);
  const lastAnswers = new Map<string, EncodedAnswer>();
  const server = await startFaultyHttpServer({
    port: options.port ?? 0,
    latencyMilliseconds: options.latencyMilliseconds ?? 0,
    handle: (exchange) => serve(exchange, state, lastAnswers),
  });
  return {
    address: server.address,
    faults: server.faults,
    state,
    close: async () => {
      await server.close();
      await state.orders.close();
    },
  };
}

async function serve(
  exchange: StandInExchange,
  state: PlatformState,
  lastAnswers: Map<string, EncodedAnswer>,
): Promise<void> {
  const { request, response, url } = exchange;
  const identifier = String(request.headers["x-request-id"] ?? "");
  const [area = "", ...parts] = url.pathname.slice(1).split("/");
  const body = await readBody(request);
  const answer = await answerRequest(`${request.method} ${area}`, {
    state,
    url,
    parts: parts.map(decodeURIComponent).filter((part) => part !== ""),
    body,
  });
  if (isStream(answer.body)) return await sendStream(response, answer.body);
  const encoded = encode(identifier, answer);
  const earlier = lastAnswers.get(area);
  lastAnswers.set(area, encoded);
  const isCrossed = exchange.fault === "crossed" && earlier !== undefined;
  send(response, isCrossed ? earlier : encoded, exchange.fault === "garbled");
}

async function answerRequest(
  route: string,
  request: PlatformRequest,
): Promise<PlatformAnswer> {
  const handler = PLATFORM_HANDLERS[route];
  if (handler === undefined) {
    return { status: 405, body: { error: `No handler for ${route}` } };
  }
  try {
    return await handler(request);
  } catch (error) {
    return { status: 400, body: { error: String(error) } };
  }
}

function encode(identifier: string, answer: PlatformAnswer): EncodedAnswer {
  const { status, body } = answer;
  const isBytes = body instanceof Uint8Array;
  return {
    identifier,
    status,
    type: isBytes ? "application/octet-stream" : "application/json",
    body: isBytes ? body : Buffer.from(JSON.stringify(body)),
  };
}

function send(
  response: ServerResponse,
  answer: EncodedAnswer,
  isGarbled: boolean,
): void {
  response.writeHead(answer.status, {
    "content-type": answer.type,
    "x-request-id": answer.identifier,
    "content-digest": digest(answer.body),
  });
  const half = Math.floor(answer.body.length / 2);
  response.end(isGarbled ? answer.body.subarray(0, half) : answer.body);
}

function digest(body: Uint8Array): string {
  return `sha-256=:${createHash("sha256").update(body).digest("base64")}:`;
}

function isStream(body: unknown): body is AsyncIterable<Uint8Array> {
  return typeof body === "object" && body !== null &&
    Symbol.asyncIterator in body;
}

async function sendStream(
  response: ServerResponse,
  body: AsyncIterable<Uint8Array>,
): Promise<void> {
  response.writeHead(200, { "content-type": "application/octet-stream" });
  for await (const chunk of body) {
    if (response.destroyed) return;
    response.write(chunk);
  }
  response.end();
}
