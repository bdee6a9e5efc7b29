import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Direction in which a silenced connection still forwards bytes. */
export type ForwardedDirection = "none" | "toServer" | "fromServer";

interface RelayedConnection {
  readonly client: Socket;
  readonly server: Socket;
  forwards: "both" | ForwardedDirection;
}

/** A TCP relay to a node's peer server that can refuse, destroy or silence connections. */
export class PeerRelay {
  /** HOST:PORT of the relay. */
  readonly address: string;
  /** Whether new connections are destroyed immediately. */
  isRefusing = false;
  readonly #server: Server;
  readonly #connections = new Set<RelayedConnection>();

  private constructor(server: Server, target: string) {
    this.#server = server;
    const { address, port } = server.address() as AddressInfo;
    this.address = `${address}:${port}`;
    server.on("connection", (client) => this.#relay(client, target));
  }

  /** Starts a relay to a target, which is HOST:PORT. */
  static start(target: string): Promise<PeerRelay> {
    const server = createServer();
    return new Promise((resolve) => {
      server.listen(
        0,
        "127.0.0.1",
        () => resolve(new PeerRelay(server, target)),
      );
    });
  }

  /** Number of connections that forward bytes in both directions. */
  get workingConnections(): number {
    return [...this.#connections].filter(({ forwards }) => forwards === "both")
      .length;
  }

  /** Stops forwarding on all open connections, in one or both directions; new connections work. */
  silence(forwards: ForwardedDirection = "none"): void {
    for (const connection of this.#connections) connection.forwards = forwards;
  }

  /** Destroys all connections. */
  destroyConnections(): void {
    for (const { client, server } of this.#connections) {
      client.destroy();
      server.destroy();
    }
  }

  /** Stops the relay and destroys its connections. */
  close(): Promise<void> {
    this.destroyConnections();
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  #relay(client: Socket, target: string): void {
    if (this.isRefusing) {
      client.destroy();
      return;
    }
    const separator = target.lastIndexOf(":");
    const port = Number(target.slice(separator + 1));
    const server = connect(port, target.slice(0, separator));
    const connection: RelayedConnection = { client, server, forwards: "both" };
    this.#connections.add(connection);
    client.on("data", (bytes) => {
      if (
        connection.forwards === "both" || connection.forwards === "toServer"
      ) {
        server.write(bytes);
      }
    });
    server.on("data", (bytes) => {
      if (
        connection.forwards === "both" || connection.forwards === "fromServer"
      ) {
        client.write(bytes);
      }
    });
    for (const socket of [client, server]) {
      socket.on("error", () => socket.destroy());
    }
    client.on("close", () => this.#handleClose(connection));
    server.on("close", () => this.#handleClose(connection));
  }

  /** Handles the close of one socket; a silenced connection keeps its other socket open. */
  #handleClose(connection: RelayedConnection): void {
    if (connection.forwards === "both") {
      connection.client.destroy();
      connection.server.destroy();
    }
    const isClosed = connection.client.destroyed && connection.server.destroyed;
    if (isClosed || connection.forwards === "both") {
      this.#connections.delete(connection);
    }
  }
}
