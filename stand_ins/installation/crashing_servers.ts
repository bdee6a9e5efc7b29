import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { MemoryDurableTable } from "./memory_durable_table.ts";

const RUN_MILLISECONDS = 20;
const RESTART_MILLISECONDS = 700;

/** Options of plain servers that some requests crash. */
export interface CrashingServersOptions {
  /** Table in which each start of a server registers. */
  readonly table: MemoryDurableTable;
  readonly count: number;
  /** Whether a request crashes the server that runs it. */
  readonly isCrashing: (path: string) => boolean;
  /** Whether a server starts again under its identifier; else under a new one. */
  readonly keepsIdentifier?: boolean;
  /** Returns the failure domain of a server by its number; "a" if absent. */
  readonly toFailureDomain?: (index: number) => string;
}

/** A request that arrived at one of the servers. */
export interface CrashingServerArrival {
  readonly failureDomain: string;
  /** Monotonic time, in milliseconds. */
  readonly at: number;
}

/** Plain servers of which some requests crash those that run them, and which start again. */
export interface CrashingServers {
  /** Monotonic times, in milliseconds, at which servers began to run requests that crash them. */
  readonly crashes: ReadonlyArray<number>;
  /** All requests that arrived, in order. */
  readonly arrivals: ReadonlyArray<CrashingServerArrival>;
  /** Ends all processes that run, as a loss of power does; they start again. */
  readonly endAll: () => void;
  readonly close: () => void;
}

/** Starts plain servers of the service "plain" and registers them. */
export async function startCrashingServers(
  options: CrashingServersOptions,
): Promise<CrashingServers> {
  const crashes: number[] = [];
  const arrivals: CrashingServerArrival[] = [];
  const servers = Array.from(
    { length: options.count },
    (_, index) => new CrashingServer(index, options, { crashes, arrivals }),
  );
  await Promise.all(servers.map((server) => server.start()));
  return {
    crashes,
    arrivals,
    endAll: () => servers.forEach((server) => server.end()),
    close: () => servers.forEach((server) => server.close()),
  };
}

/** What the servers record together. */
interface SeenRequests {
  readonly crashes: number[];
  readonly arrivals: CrashingServerArrival[];
}

class CrashingServer {
  readonly #name: string;
  readonly #options: CrashingServersOptions;
  readonly #failureDomain: string;
  readonly #seen: SeenRequests;
  #server: Server | undefined;
  #restart: NodeJS.Timeout | undefined;
  #port = 0;
  #starts = 0;

  constructor(
    index: number,
    options: CrashingServersOptions,
    seen: SeenRequests,
  ) {
    this.#name = `c${index}`;
    this.#failureDomain = options.toFailureDomain?.(index) ?? "a";
    this.#options = options;
    this.#seen = seen;
  }

  async start(): Promise<void> {
    const before = this.#identifier;
    this.#starts += 1;
    const identifier = this.#identifier;
    const server = createServer((request, response) => {
      request.resume().on(
        "end",
        () => void this.#serve(identifier, request, response),
      );
    });
    this.#server = server;
    await new Promise<void>((resolve) =>
      server.listen(this.#port, "127.0.0.1", resolve)
    );
    this.#port = (server.address() as AddressInfo).port;
    await this.#register(identifier, before);
  }

  end(): void {
    const server = this.#server;
    if (server === undefined) return;
    this.#server = undefined;
    server.close();
    server.closeAllConnections();
    this.#restart = setTimeout(() => void this.start(), RESTART_MILLISECONDS);
  }

  close(): void {
    this.end();
    clearTimeout(this.#restart);
  }

  get #identifier(): string {
    return this.#options.keepsIdentifier === true
      ? this.#name
      : `${this.#name}-${this.#starts}`;
  }

  async #register(identifier: string, before: string): Promise<void> {
    const place = { table: "servers", partition: "" };
    await this.#options.table.commit({
      conditions: [],
      deletes: identifier === before ? [] : [{ ...place, key: before }],
      puts: [{
        ...place,
        key: identifier,
        value: Buffer.from(JSON.stringify({
          service: "plain",
          address: `127.0.0.1:${this.#port}`,
          zone: this.#failureDomain,
          version: "v1",
          slots: 6,
          state: "ready",
          "cold_remaining_ms": 0,
          models: [],
          seq: 0,
          born: this.#starts,
        })),
      }],
    });
  }

  async #serve(
    identifier: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    response.on("error", () => {});
    this.#seen.arrivals.push({
      failureDomain: this.#failureDomain,
      at: performance.now(),
    });
    const { headers, url = "" } = request;
    const expected = headers["expect-instance"];
    if (expected !== undefined && expected !== identifier) {
      return void response.writeHead(421, { "not-executed": "1" }).end();
    }
    if (url === "/health") return void response.writeHead(200).end();
    const isCrashing = this.#options.isCrashing(url);
    if (isCrashing) this.#seen.crashes.push(performance.now());
    await new Promise((resolve) => setTimeout(resolve, RUN_MILLISECONDS));
    if (isCrashing) return this.end();
    response.writeHead(200, {
      "request-id": String(headers["request-id"]),
      "server-stamp": `signed by ${identifier}`,
    }).end("served");
  }
}
