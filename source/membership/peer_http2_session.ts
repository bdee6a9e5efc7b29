import {
  type ClientHttp2Session,
  type ClientHttp2Stream,
  connect,
  type OutgoingHttpHeaders,
} from "node:http2";

/** One HTTP/2 connection that is opened once, used until it ends, and never replaced behind its user's back. */
export class PeerHttp2Session {
  /** Scheme, host and port that requests must be for. */
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
      throw this.#failure ?? new Error("The connection has ended");
    }
    return session.request(
      { ...headers, ":method": method, ":path": path },
      options,
    );
  }

  /** Called for each part of a response; nothing to do. */
  notifyResponseByteRead(): void {}

  /** Ends the connection and all that runs on it. */
  close(): void {
    this.#isClosed = true;
    this.#session?.destroy();
  }

  #open(): ClientHttp2Session {
    const session = connect(this.authority);
    // Stays for good: an error may still come after the connection was destroyed.
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
