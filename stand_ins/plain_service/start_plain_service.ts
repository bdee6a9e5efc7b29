import { createHash, randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { SystemClock } from "../../source/utilities/system_clock.ts";
import { type LoggedRequest, RequestLog } from "../engine/request_log.ts";
import type { FaultInjector } from "../faults/fault_injector.ts";
import {
  sendJson,
  startFaultyHttpServer,
} from "../faults/faulty_http_server.ts";

/** Options of a plain service stand-in. */
export interface PlainServiceOptions {
  /** Port on loopback; a free port if 0 or absent. */
  readonly port?: number;
  /** One-way latency between caller and service. */
  readonly latencyMilliseconds?: number;
  /** Time between the receipt of a whole request and its response. */
  readonly delayMilliseconds?: number;
}

/** A running plain service stand-in. */
export interface StartedPlainService {
  /** HOST:PORT. */
  readonly address: string;
  readonly startIdentity: string;
  readonly faults: FaultInjector;
  /** Makes load reports state that the service will be stopped soon. */
  markLeaving(): void;
  /** Returns the requests received. */
  requests(): ReadonlyArray<Readonly<LoggedRequest>>;
  /** Stops the service immediately and destroys all connections. */
  close(): Promise<void>;
}

/**
 * Starts a plain service stand-in that echoes each request, with a digest in place of the body.
 * @param options - Port, and latency and delay in milliseconds.
 * @example
 * ```ts
 * const service = await startPlainService({ delayMilliseconds: 5 });
 * await service.close();
 * ```
 */
export async function startPlainService(
  options: PlainServiceOptions = {},
): Promise<StartedPlainService> {
  const service = new PlainService(options.delayMilliseconds ?? 0);
  const server = await startFaultyHttpServer({
    port: options.port ?? 0,
    latencyMilliseconds: options.latencyMilliseconds ?? 0,
    handle: ({ request, response }) => service.handle(request, response),
  });
  return {
    address: server.address,
    startIdentity: service.startIdentity,
    faults: server.faults,
    markLeaving: () => service.markLeaving(),
    requests: () => service.log.entries(),
    close: () => server.close(),
  };
}

class PlainService {
  readonly startIdentity = randomUUID();
  readonly log = new RequestLog();
  readonly #clock = new SystemClock();
  readonly #delayMilliseconds: number;
  #running = 0;
  #leaving = false;

  constructor(delayMilliseconds: number) {
    this.#delayMilliseconds = delayMilliseconds;
  }

  markLeaving(): void {
    this.#leaving = true;
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const control = this.#handleControlRequest(
      `${request.method} ${request.url}`,
    );
    if (control !== undefined) {
      sendJson(response, 200, control);
      return;
    }
    this.#running += 1;
    await this.#echo(request, response);
    this.#running -= 1;
  }

  #handleControlRequest(call: string): unknown {
    if (call === "GET /log") return { requests: this.log.entries() };
    if (call === "GET /load") return this.#load();
    if (call !== "POST /leaving") return undefined;
    this.markLeaving();
    return {};
  }

  async #echo(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const entry: LoggedRequest = {
      method: request.method ?? "",
      path: request.url ?? "",
      headers: request.headers,
      body: "",
      finished: false,
    };
    this.log.add(entry);
    const digest = await digestBody(request);
    if (digest === undefined) return;
    await this.#clock.sleep(this.#delayMilliseconds);
    response.on("finish", () => {
      entry.finished = true;
    });
    const { method, path, headers } = entry;
    const serverStart = this.startIdentity;
    sendJson(response, 200, { method, path, digest, headers, serverStart });
  }

  #load(): Readonly<Record<string, unknown>> {
    return {
      start: this.startIdentity,
      running: this.#running,
      waiting: 0,
      leaving: this.#leaving,
    };
  }
}

async function digestBody(
  request: IncomingMessage,
): Promise<string | undefined> {
  const hash = createHash("sha256");
  try {
    for await (const chunk of request) hash.update(chunk as Buffer);
  } catch {
    return undefined;
  }
  return hash.digest("hex");
}
