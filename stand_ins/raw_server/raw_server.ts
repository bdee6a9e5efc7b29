import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** A connection to a raw server that gives access to the raw bytes. */
export class RawConnection {
  readonly #socket: Socket;
  #received = "";
  #readLength = 0;
  #isClosed = false;
  #notifyWaiter: () => void = () => {};

  /** @param socket - Accepted socket. */
  constructor(socket: Socket) {
    this.#socket = socket;
    socket.setEncoding("latin1");
    socket.on("error", () => {});
    socket.on("data", (text) => {
      this.#received += text;
      this.#notifyWaiter();
    });
    socket.on("close", () => {
      this.#isClosed = true;
      this.#notifyWaiter();
    });
  }

  /** All bytes received, as one character per byte. */
  get received(): string {
    return this.#received;
  }

  /** Whether the connection is closed. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Bytes received after the last request that was read. */
  get pending(): string {
    return this.#received.slice(this.#readLength);
  }

  /**
   * Waits until the pending bytes meet a condition and returns true, or false if the connection
   * closes first.
   */
  async waitUntil(condition: (pending: string) => boolean): Promise<boolean> {
    while (!condition(this.pending)) {
      if (this.#isClosed) return false;
      await new Promise<void>((resolve) => {
        this.#notifyWaiter = resolve;
      });
    }
    return true;
  }

  /** Waits until the connection is closed. */
  async waitUntilClosed(): Promise<void> {
    while (!this.#isClosed) {
      await new Promise<void>((resolve) => {
        this.#notifyWaiter = resolve;
      });
    }
  }

  /** Reads a whole request, or returns undefined if the connection closes first. */
  async readRequest(): Promise<string | undefined> {
    const whole = await this.waitUntil(isWholeRequest);
    if (!whole) return undefined;
    const request = this.pending;
    this.#readLength = this.#received.length;
    return request;
  }

  /** Sends text as one byte per character. */
  write(text: string): void {
    if (!this.#socket.destroyed) this.#socket.write(text, "latin1");
  }

  /** Closes the connection gracefully. */
  end(): void {
    this.#socket.end();
  }

  /** Resets the connection with a TCP RST. */
  reset(): void {
    this.#socket.resetAndDestroy();
  }
}

/** Function that a raw server runs on each connection. */
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
 * @param script - Function to run on each connection.
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

// Clients of another program may still connect to the port if that program used it shortly before,
// so a script that fails on their bytes must not fail the test.
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

let refusingAddressCount = 0;

/**
 * Returns a loopback address that refuses connections, a different one at each call.
 *
 * The port of a closed server is unsuitable, because the next server may be assigned the same port.
 * @example
 * ```ts
 * const address = createRefusingAddress();
 * ```
 */
export function createRefusingAddress(): string {
  refusingAddressCount += 1;
  return `127.1.${refusingAddressCount >> 8}.${refusingAddressCount & 255}:1`;
}

/**
 * Returns the value of a header of a raw request, or an empty string if it is absent.
 * @param request - Bytes of the request, one character each.
 * @param name - Name of the header in lower case.
 * @example
 * ```ts
 * const identifier = getHeader(request, "x-request-id");
 * ```
 */
export function getHeader(request: string, name: string): string {
  const head = request.split("\r\n\r\n")[0] ?? "";
  const line = head.split("\r\n")
    .find((text) => text.toLowerCase().startsWith(`${name}:`));
  return line?.slice(name.length + 1).trim() ?? "";
}

function isWholeRequest(text: string): boolean {
  const end = text.indexOf("\r\n\r\n");
  if (end === -1) return false;
  const body = text.slice(end + 4);
  const length = getHeader(text, "content-length");
  if (length !== "") return body.length >= Number(length);
  return getHeader(text, "transfer-encoding") === "" ||
    body.endsWith("0\r\n\r\n");
}

function closeServer(server: Server, sockets: Set<Socket>): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    for (const socket of sockets) socket.destroy();
  });
}
