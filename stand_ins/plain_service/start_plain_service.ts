import { createHash, randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { SystemClock } from "../../source/utilities/system_clock.ts";
import { type LoggedRequest, RequestLog } from "../engine/request_log.ts";
import type { FaultSwitch } from "../faults/fault_switch.ts";
import {
  sendJson,
  startFaultyHttpServer,
} from "../faults/faulty_http_server.ts";

/** How a plain service stand-in behaves. */
export interface PlainServiceOptions {
  /** Port on loopback; 0 or absent for a free one. */
  readonly port?: number;
  /** One way, between caller and service, in milliseconds. */
  readonly latencyMilliseconds?: number;
  /** Time until it answers, in milliseconds. */
  readonly delayMilliseconds?: number;
}

/** A running plain service stand-in. */
export interface StartedPlainService {
  /** HOST:PORT. */
  readonly address: string;
  readonly startIdentity: string;
  readonly faults: FaultSwitch;
  /** Says that the service is about to end. */
  leave(): void;
  /** Returns the calls seen. */
  log(): ReadonlyArray<Readonly<LoggedRequest>>;
  /** Ends at once and cuts all connections. */
  close(): Promise<void>;
}

/**
 * Starts a plain service stand-in, which echoes what it is called with.
 * @param options - How it behaves.
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
    leave: () => service.leave(),
    log: () => service.log.entries(),
    close: () => server.close(),
  };
}

class PlainService {
  readonly startIdentity = randomUUID();
  readonly log = new RequestLog();
  readonly #clock = new SystemClock();
  readonly #delay: number;
  #running = 0;
  #leaving = false;

  constructor(delayMilliseconds: number) {
    this.#delay = delayMilliseconds;
  }

  leave(): void {
    this.#leaving = true;
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const control = this.#control(`${request.method} ${request.url}`);
    if (control !== undefined) {
      sendJson(response, 200, control);
      return;
    }
    this.#running += 1;
    await this.#echo(request, response);
    this.#running -= 1;
  }

  #control(call: string): unknown {
    if (call === "GET /log") return { requests: this.log.entries() };
    if (call === "GET /load") return this.#load();
    if (call !== "POST /leaving") return undefined;
    this.leave();
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
    await this.#clock.sleep(this.#delay);
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
