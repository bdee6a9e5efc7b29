import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Which bytes a silent connection still carries. */
export type SilentDirections = "none" | "toServer" | "fromServer";

interface LinkedPair {
  readonly client: Socket;
  readonly server: Socket;
  carries: "both" | SilentDirections;
}

/** A TCP relay before a node's peer server, whose connections can be refused, cut or silenced. */
export class PeerLink {
  /** HOST:PORT that others connect to. */
  readonly address: string;
  /** Whether new connections are destroyed at once. */
  isRefusing = false;
  readonly #server: Server;
  readonly #pairs = new Set<LinkedPair>();

  private constructor(server: Server, target: string) {
    this.#server = server;
    const { address, port } = server.address() as AddressInfo;
    this.address = `${address}:${port}`;
    server.on("connection", (client) => this.#link(client, target));
  }

  /** Starts a relay to a target HOST:PORT. */
  static start(target: string): Promise<PeerLink> {
    const server = createServer();
    return new Promise((resolve) => {
      server.listen(
        0,
        "127.0.0.1",
        () => resolve(new PeerLink(server, target)),
      );
    });
  }

  /** Number of connections that carry bytes both ways. */
  get working(): number {
    return [...this.#pairs].filter(({ carries }) => carries === "both").length;
  }

  /** Makes the connections open now silent for good, in both or one direction; new ones work. */
  silence(carries: SilentDirections = "none"): void {
    for (const pair of this.#pairs) pair.carries = carries;
  }

  /** Cuts all connections. */
  cut(): void {
    for (const { client, server } of this.#pairs) {
      client.destroy();
      server.destroy();
    }
  }

  /** Stops the relay. */
  close(): Promise<void> {
    this.cut();
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  #link(client: Socket, target: string): void {
    if (this.isRefusing) {
      client.destroy();
      return;
    }
    const separator = target.lastIndexOf(":");
    const port = Number(target.slice(separator + 1));
    const server = connect(port, target.slice(0, separator));
    const pair: LinkedPair = { client, server, carries: "both" };
    this.#pairs.add(pair);
    client.on("data", (bytes) => {
      if (pair.carries === "both" || pair.carries === "toServer") {
        server.write(bytes);
      }
    });
    server.on("data", (bytes) => {
      if (pair.carries === "both" || pair.carries === "fromServer") {
        client.write(bytes);
      }
    });
    for (const socket of [client, server]) {
      socket.on("error", () => socket.destroy());
    }
    client.on("close", () => this.#end(pair));
    server.on("close", () => this.#end(pair));
  }

  /** The end of a silent connection does not get through either. */
  #end(pair: LinkedPair): void {
    if (pair.carries === "both") {
      pair.client.destroy();
      pair.server.destroy();
    }
    const isOver = pair.client.destroyed && pair.server.destroyed;
    if (isOver || pair.carries === "both") this.#pairs.delete(pair);
  }
}
