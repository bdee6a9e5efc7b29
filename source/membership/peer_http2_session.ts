import {
  type ClientHttp2Session,
  type ClientHttp2Stream,
  connect,
  type OutgoingHttpHeaders,
} from "node:http2";

/** Session manager with a single HTTP/2 connection, which is opened once and never reopened. */
export class PeerHttp2Session {
  /** Scheme, host and port of the server. */
  readonly authority: string;
  #session: ClientHttp2Session | undefined;
  #failure: Error | undefined;
  #isClosed = false;

  /** @param address - HOST:PORT. */
  constructor(address: string) {
    this.authority = `http://${address}`;
  }

  /**
   * Sends a request once the connection is open.
   * @returns The request's stream; rejects when the connection can't be opened or has ended.
   */
  async request(
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
    options: object,
  ): Promise<ClientHttp2Stream> {
    const session = this.#session ?? this.#open();
    if (session.connecting) await this.#waitUntilOpen(session);
    if (this.#isClosed || session.destroyed || session.closed) {
      throw this.#failure ?? new Error("The connection to the peer is closed");
    }
    return session.request(
      { ...headers, ":method": method, ":path": path },
      options,
    );
  }

  /** Does nothing; the transport calls it for each received part of a response. */
  notifyResponseByteRead(): void {}

  /** Closes the connection and all streams on it. */
  close(): void {
    this.#isClosed = true;
    this.#session?.destroy();
  }

  #open(): ClientHttp2Session {
    const session = connect(this.authority);
    // The listener is never removed, because an error may be emitted after the session was destroyed.
    session.on("error", (error) => {
      this.#failure ??= error;
    });
    this.#session = session;
    if (this.#isClosed) session.destroy();
    return session;
  }

  #waitUntilOpen(session: ClientHttp2Session): Promise<void> {
    return new Promise((resolve) => {
      session.once("connect", () => resolve());
      session.once("close", () => resolve());
    });
  }
}
