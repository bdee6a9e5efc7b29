import { createHash } from "node:crypto";
import type { ServerResponse } from "node:http";
import type { FaultInjector } from "../faults/fault_injector.ts";
import {
  readBody,
  type StandInExchange,
  startFaultyHttpServer,
} from "../faults/faulty_http_server.ts";
import { PLATFORM_HANDLERS } from "./platform_handlers.ts";
import type { PlatformRequest, PlatformResponse } from "./platform_exchange.ts";
import {
  createPlatformState,
  type PlatformState,
  type PlatformStateOptions,
} from "./platform_state.ts";

/** Options of a platform stand-in that serves HTTP. */
export interface StartPlatformOptions extends PlatformStateOptions {
  /** Port on loopback; a free port if 0 or absent. */
  readonly port?: number;
  /** One-way latency between caller and platform. */
  readonly latencyMilliseconds?: number;
}

/** A running platform stand-in. */
export interface RunningPlatform {
  /** HOST:PORT. */
  readonly address: string;
  readonly faults: FaultInjector;
  readonly state: PlatformState;
  /** Stops the platform and the servers that it started. */
  close(): Promise<void>;
}

interface EncodedResponse {
  readonly identifier: string;
  readonly status: number;
  readonly type: string;
  readonly body: Uint8Array;
}

/**
 * Starts a platform stand-in on loopback.
 * @param options - Port, latency in milliseconds, and options of the platform.
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
  const lastResponses = new Map<string, EncodedResponse>();
  const server = await startFaultyHttpServer({
    port: options.port ?? 0,
    latencyMilliseconds: options.latencyMilliseconds ?? 0,
    handle: (exchange) => handleExchange(exchange, state, lastResponses),
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

async function handleExchange(
  exchange: StandInExchange,
  state: PlatformState,
  lastResponses: Map<string, EncodedResponse>,
): Promise<void> {
  const { request, response, url } = exchange;
  const identifier = String(request.headers["x-request-id"] ?? "");
  const [area = "", ...parts] = url.pathname.slice(1).split("/");
  const body = await readBody(request);
  const answer = await dispatchRequest(`${request.method} ${area}`, {
    state,
    url,
    parts: parts.map(decodeURIComponent).filter((part) => part !== ""),
    body,
  });
  if (isStream(answer.body)) return await sendStream(response, answer.body);
  const encoded = encodeResponse(identifier, answer);
  const previous = lastResponses.get(area);
  lastResponses.set(area, encoded);
  const isFromEarlierRequest = exchange.fault === "crossed" &&
    previous !== undefined;
  sendResponse(
    response,
    isFromEarlierRequest ? previous : encoded,
    exchange.fault === "garbled",
  );
}

async function dispatchRequest(
  route: string,
  request: PlatformRequest,
): Promise<PlatformResponse> {
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

function encodeResponse(
  identifier: string,
  answer: PlatformResponse,
): EncodedResponse {
  const { status, body } = answer;
  const isBytes = body instanceof Uint8Array;
  return {
    identifier,
    status,
    type: isBytes ? "application/octet-stream" : "application/json",
    body: isBytes ? body : Buffer.from(JSON.stringify(body)),
  };
}

function sendResponse(
  response: ServerResponse,
  answer: EncodedResponse,
  isGarbled: boolean,
): void {
  response.writeHead(answer.status, {
    "content-type": answer.type,
    "x-request-id": answer.identifier,
    "content-digest": formatContentDigest(answer.body),
  });
  const half = Math.floor(answer.body.length / 2);
  response.end(isGarbled ? answer.body.subarray(0, half) : answer.body);
}

function formatContentDigest(body: Uint8Array): string {
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
