import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** One connection to a raw server, read and written byte by byte. */
export class RawConnection {
  readonly #socket: Socket;
  #received = "";
  #consumed = 0;
  #ended = false;
  #wake: () => void = () => {};

  /** @param socket - The accepted socket. */
  constructor(socket: Socket) {
    this.#socket = socket;
    socket.setEncoding("latin1");
    socket.on("error", () => {});
    socket.on("data", (text) => {
      this.#received += text;
      this.#wake();
    });
    socket.on("close", () => {
      this.#ended = true;
      this.#wake();
    });
  }

  /** All bytes received, one character each. */
  get received(): string {
    return this.#received;
  }

  /** Whether the other side has closed the connection. */
  get ended(): boolean {
    return this.#ended;
  }

  /** Bytes received after the last whole request that was taken. */
  get pending(): string {
    return this.#received.slice(this.#consumed);
  }

  /** Waits until the pending bytes meet a condition; false when the connection ended before. */
  async until(condition: (pending: string) => boolean): Promise<boolean> {
    while (!condition(this.pending)) {
      if (this.#ended) return false;
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
    }
    return true;
  }

  /** Waits until the other side closes the connection. */
  async untilEnded(): Promise<void> {
    while (!this.#ended) {
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
    }
  }

  /** Takes a whole request; undefined when the connection ended before. */
  async request(): Promise<string | undefined> {
    const whole = await this.until(isWholeRequest);
    if (!whole) return undefined;
    const request = this.pending;
    this.#consumed = this.#received.length;
    return request;
  }

  /** Sends bytes. */
  write(text: string): void {
    if (!this.#socket.destroyed) this.#socket.write(text, "latin1");
  }

  /** Closes the connection in order. */
  end(): void {
    this.#socket.end();
  }

  /** Resets the connection. */
  reset(): void {
    this.#socket.resetAndDestroy();
  }
}

/** What a raw server does with each connection. */
export type RawScript = (connection: RawConnection) => Promise<void> | void;

/** A running raw server. */
export interface RawServer {
  /** HOST:PORT. */
  readonly address: string;
  /** Connections in the order in which they were accepted. */
  readonly connections: ReadonlyArray<RawConnection>;
  close(): Promise<void>;
}

/**
 * Starts a TCP server that runs a script on each connection.
 * @param script - What it does.
 * @example
 * ```ts
 * const server = await startRawServer((connection) => connection.reset());
 * ```
 */
export async function startRawServer(script: RawScript): Promise<RawServer> {
  const connections: RawConnection[] = [];
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    const connection = new RawConnection(socket);
    connections.push(connection);
    void runScript(script, connection);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    connections,
    close: () => closeServer(server, sockets),
  };
}

// Strangers may dial the port when it was another program's shortly before.
async function runScript(
  script: RawScript,
  connection: RawConnection,
): Promise<void> {
  try {
    await script(connection);
  } catch {
    connection.reset();
  }
}

let refusingCount = 0;

/**
 * Returns a loopback address that refuses connections, another one at each call.
 *
 * The port of a closed server won't do: the next server may be given it.
 * @example
 * ```ts
 * const address = refusingAddress();
 * ```
 */
export function refusingAddress(): string {
  refusingCount += 1;
  return `127.1.${refusingCount >> 8}.${refusingCount & 255}:1`;
}

/**
 * Returns the value of a header of a raw request.
 * @param request - The request's bytes.
 * @param name - The header's name in lower case.
 * @example
 * ```ts
 * const identifier = headerOf(request, "x-request-id");
 * ```
 */
export function headerOf(request: string, name: string): string {
  const head = request.split("\r\n\r\n")[0] ?? "";
  const line = head.split("\r\n")
    .find((text) => text.toLowerCase().startsWith(`${name}:`));
  return line?.slice(name.length + 1).trim() ?? "";
}

function isWholeRequest(text: string): boolean {
  const end = text.indexOf("\r\n\r\n");
  if (end === -1) return false;
  const body = text.slice(end + 4);
  const length = headerOf(text, "content-length");
  if (length !== "") return body.length >= Number(length);
  return headerOf(text, "transfer-encoding") === "" ||
    body.endsWith("0\r\n\r\n");
}

function closeServer(server: Server, sockets: Set<Socket>): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    for (const socket of sockets) socket.destroy();
  });
}
